package goldentest

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"testing"
)

// CheckGob proves that a message of a gob stream is the same as it was: Frozen is a
// copy of the type as it was when the golden file was written.
//
// gob matches fields by their Go names and drops what it doesn't know without an
// error, so that a renamed field is lost between two versions. What T writes must
// therefore be whole in Frozen, and what Frozen writes must be whole in T. The bytes
// themselves aren't compared: they hold the names of the types, which no decoder
// looks at, and numbers that follow the order in which the process met the types.
func CheckGob[T, Frozen any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		now, then := Filled[T](t), Filled[Frozen](t)
		if a, b := Leaves(now), Leaves(then); !slices.Equal(a, b) {
			t.Fatalf("%T and %T differ in shape:\n%v\n%v", now, then, a, b)
		}
		checkDecoded(t, "the golden file", Read(t, name, encodeGob(t, now)), now)
		checkDecoded(t, "the frozen type's message", encodeGob(t, then), now)
		checkDecoded(t, "the message, read by the frozen type", encodeGob(t, now), then)
	})
}

// checkDecoded decodes a message and compares it with what it should hold.
func checkDecoded[T any](t *testing.T, what string, text []byte, want T) {
	t.Helper()
	var got T
	if err := gob.NewDecoder(bytes.NewReader(text)).Decode(&got); err != nil {
		t.Errorf("%s: %v", what, err)
		return
	}
	if zeros := Zeros(got); len(zeros) > 0 {
		t.Errorf("%s: these fields are lost: %v", what, zeros)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%s: decoded\n     %+v\nnot  %+v", what, got, want)
	}
}

func encodeGob(t *testing.T, v any) []byte {
	t.Helper()
	var out bytes.Buffer
	if err := gob.NewEncoder(&out).Encode(v); err != nil {
		t.Fatal(err)
	}
	return out.Bytes()
}
