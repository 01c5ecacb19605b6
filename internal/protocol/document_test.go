package protocol

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func TestDocumentComesBackUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "part")
		document := append([]byte("{"), bytes.Repeat(part, rapid.IntRange(0, 2000).Draw(t, "times"))...)
		got, err := DecompressDocument(CompressDocument(document))
		if err != nil || !bytes.Equal(got, document) {
			t.Fatalf("got %d bytes and %v, want the %d bytes that were compressed", len(got), err, len(document))
		}
	})
}

func TestLargeDocumentIsCompressed(t *testing.T) {
	document := []byte("{" + string(bytes.Repeat([]byte(`"name":"model",`), 3000)) + "}")
	compressed := CompressDocument(document)
	if len(compressed) > len(document)/10 {
		t.Errorf("compress %d bytes: got %d, want a tenth or less", len(document), len(compressed))
	}
	if got, err := DecompressDocument(compressed[:len(compressed)/2]); err == nil {
		t.Errorf("decompress half of a document: got %d bytes, want an error", len(got))
	}
	if got, err := DecompressDocument([]byte("xylophone")); err == nil {
		t.Errorf("decompress what is neither JSON nor compressed: got %q, want an error", got)
	}
}
