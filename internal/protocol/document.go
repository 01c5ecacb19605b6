package protocol

import (
	"bytes"
	"compress/zlib"
	"errors"
	"fmt"
	"io"
)

const (
	compressionThresholdBytes = 16 << 10 // smaller documents are not worth the time
	maxDocumentBytes          = 16 << 20 // unpacked
	zlibFirstByte             = 0x78     // first byte of what is packed; JSON never begins with it
)

// ErrDocumentTooLarge says that a packed document is larger than any that is taken.
var ErrDocumentTooLarge = errors.New("document is too large")

// CompressDocument returns a configuration as updates carry it: large ones packed. Each router of an instance gets it, in
// another zone maybe.
func CompressDocument(document []byte) []byte {
	if len(document) <= compressionThresholdBytes {
		return document
	}
	var packed bytes.Buffer
	writer, err := zlib.NewWriterLevel(&packed, zlib.BestSpeed)
	if err != nil {
		return document // a level that is not known: a mistake in this file
	}
	_, err = writer.Write(document)
	if err = errors.Join(err, writer.Close()); err != nil || packed.Len() >= len(document) {
		return document
	}
	return packed.Bytes()
}

// DecompressDocument returns what PackDocument was given.
func DecompressDocument(carried []byte) ([]byte, error) {
	if len(carried) == 0 || carried[0] != zlibFirstByte {
		return carried, nil
	}
	reader, err := zlib.NewReader(bytes.NewReader(carried))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	document, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes+1))
	if err != nil {
		return nil, fmt.Errorf("unpack document: %w", err)
	}
	if len(document) > maxDocumentBytes {
		return nil, fmt.Errorf("unpack document: %w", ErrDocumentTooLarge)
	}
	return document, nil
}
