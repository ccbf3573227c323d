package snapshot

import (
	"bytes"
	"reflect"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/wire"
)

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }

// TestGoldenFrames checks that the encoding of the frames of an export has not changed.
func TestGoldenFrames(t *testing.T) {
	goldentest.CheckEncoding[Header](t, "header.cbor", encode, wire.DecodeValue)
	goldentest.CheckEncoding[frame](t, "frame.cbor", encode, wire.DecodeValue)
}

// TestGoldenFile checks that an export still has the same bytes as the golden file, and that the
// golden file is read to the same header and keys.
func TestGoldenFile(t *testing.T) {
	want := goldentest.FilledValue[Header](t)
	items := []wire.KeyValue{{Key: "amberdeal/a", Value: wire.Encode("one"), Version: 3}, {Key: "amberdeal/b", Value: wire.Encode(map[string]int{"n": 2}), Version: 4}}
	var out bytes.Buffer
	if err := Write(&out, want, items); err != nil {
		t.Fatal(err)
	}
	goldentest.CompareBytes(t, "export.state", out.Bytes())
	header, got, sum, err := Read(bytes.NewReader(goldentest.ReadGolden(t, "export.state", out.Bytes())))
	if err != nil {
		t.Fatal(err)
	}
	if header != want || !reflect.DeepEqual(got, items) {
		t.Errorf("read %+v %+v, want %+v %+v", header, got, want, items)
	}
	goldentest.CompareText(t, "export.sum", sum+"\n")
}
