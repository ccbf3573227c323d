package snapshot

import (
	"bytes"
	"reflect"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/wire"
)

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }

// TestGoldenFrames: each frame of an export is written as it was.
func TestGoldenFrames(t *testing.T) {
	goldentest.Check[Header](t, "header.cbor", encode, wire.DecodeValue)
	goldentest.Check[frame](t, "frame.cbor", encode, wire.DecodeValue)
}

// TestGoldenFile: an export is written as it was, and one of then is read to the same keys.
func TestGoldenFile(t *testing.T) {
	head := goldentest.Filled[Header](t)
	items := []wire.KeyValue{{Key: "amberdeal/a", Value: wire.Encode("one"), Version: 3}, {Key: "amberdeal/b", Value: wire.Encode(map[string]int{"n": 2}), Version: 4}}
	var out bytes.Buffer
	if err := Write(&out, head, items); err != nil {
		t.Fatal(err)
	}
	goldentest.File(t, "export.state", out.Bytes())
	h, back, sum, err := Read(bytes.NewReader(goldentest.Read(t, "export.state", out.Bytes())))
	if err != nil {
		t.Fatal(err)
	}
	if h != head || !reflect.DeepEqual(back, items) {
		t.Errorf("%+v %+v, not %+v %+v", h, back, head, items)
	}
	goldentest.Text(t, "export.sum", sum+"\n")
}
