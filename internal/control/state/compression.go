package state

import (
	"bytes"
	"compress/zlib"
	"fmt"
	"io"
)

// compressAboveBytes is the size above which bodies and documents are compressed; for smaller ones the saving
// does not justify the time.
const compressAboveBytes = 16 << 10

func compress(content []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := zlib.NewWriterLevel(&compressed, zlib.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := writer.Write(content); err != nil {
		return nil, err
	}
	if err := writer.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// decompress reverses compress. It fails with errTooLarge when the content has more than maxBytes, so that a small input
// cannot occupy much memory.
func decompress(compressed []byte, maxBytes int) ([]byte, error) {
	reader, err := zlib.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	content, err := io.ReadAll(io.LimitReader(reader, int64(maxBytes)+1))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	if len(content) > maxBytes {
		return nil, errTooLarge
	}
	return content, nil
}
