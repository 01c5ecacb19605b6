package protocol

import (
	"bytes"
	"compress/zlib"
	"errors"
	"fmt"
	"io"
)

const (
	compressionThresholdBytes = 16 << 10 // compressing smaller ones costs more processor time than it saves
	maxDocumentBytes          = 16 << 20 // decompressed
	zlibFirstByte             = 0x78     // RFC 1950: deflate with a window of 32 KiB; JSON text never begins with it
)

// ErrDocumentTooLarge is the error of a compressed document that exceeds the accepted size.
var ErrDocumentTooLarge = errors.New("document exceeds 16 MiB")

// CompressDocument returns a configuration as an Update carries it: compressed with zlib where it exceeds 16 KiB and
// becomes smaller by it, else unchanged. Each router gets it, some of them in other zones.
func CompressDocument(document []byte) []byte {
	if len(document) <= compressionThresholdBytes {
		return document
	}
	var compressed bytes.Buffer
	writer, err := zlib.NewWriterLevel(&compressed, zlib.BestSpeed)
	if err != nil {
		return document // only a level unknown to zlib is rejected; the document still arrives
	}
	_, err = writer.Write(document)
	if err = errors.Join(err, writer.Close()); err != nil || compressed.Len() >= len(document) {
		return document
	}
	return compressed.Bytes()
}

// DecompressDocument returns what CompressDocument was given. The error wraps ErrDocumentTooLarge where the document
// exceeds 16 MiB, or says what is malformed.
func DecompressDocument(carried []byte) ([]byte, error) {
	if len(carried) == 0 || carried[0] != zlibFirstByte {
		return carried, nil
	}
	reader, err := zlib.NewReader(bytes.NewReader(carried))
	if err != nil {
		return nil, fmt.Errorf("protocol: decompress document of %d bytes: %w", len(carried), err)
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("protocol: decompress document of %d bytes: %w", len(carried), err)
	}
	if len(document) > maxDocumentBytes {
		return nil, fmt.Errorf("protocol: decompress document of %d bytes: %w", len(carried), ErrDocumentTooLarge)
	}
	return document, nil
}
