package protocol

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"
)

func TestDocumentComesBackWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.Byte(), 1, 50).Draw(t, "part")
		document := append([]byte("{"), bytes.Repeat(part, rapid.IntRange(0, 2000).Draw(t, "times"))...)
		back, err := DecompressDocument(CompressDocument(document))
		if err != nil || !bytes.Equal(back, document) {
			t.Fatalf("%d bytes came back as %d: %v", len(document), len(back), err)
		}
	})
}

func TestLargeDocumentIsPacked(t *testing.T) {
	document := []byte("{" + string(bytes.Repeat([]byte(`"name":"model",`), 3000)) + "}")
	packed := CompressDocument(document)
	if len(packed) > len(document)/10 {
		t.Errorf("%d bytes are packed into %d", len(document), len(packed))
	}
	if _, err := DecompressDocument(packed[:len(packed)/2]); err == nil {
		t.Error("half a packed document was taken")
	}
	if _, err := DecompressDocument([]byte("xylophone")); err == nil {
		t.Error("what is neither JSON nor packed was unpacked")
	}
}
