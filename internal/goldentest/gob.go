package goldentest

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"slices"
	"testing"
)

// CheckGob checks that the gob encoding of T is compatible with that of Frozen, a copy of the type as it was
// when the golden file NAME was written.
//
// gob matches fields by their Go names and drops unknown fields without an error, so that a renamed field would
// be lost between two versions. Therefore every field that T writes must be decoded into Frozen, and every field
// that Frozen writes into T. The encoded bytes aren't compared: they contain the names of the types, which
// decoders ignore, and type ids that depend on the order in which the process first encoded the types.
func CheckGob[T, Frozen any](t *testing.T, name string) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		current, frozen := FilledValue[T](t), FilledValue[Frozen](t)
		if a, b := Leaves(current), Leaves(frozen); !slices.Equal(a, b) {
			t.Fatalf("%T and %T differ in shape:\n%v\n%v", current, frozen, a, b)
		}
		checkDecoded(t, "the golden file", ReadGolden(t, name, encodeGob(t, current)), current)
		checkDecoded(t, "the frozen type's message", encodeGob(t, frozen), current)
		checkDecoded(t, "the message, read by the frozen type", encodeGob(t, current), frozen)
	})
}

// checkDecoded decodes a message and compares the result with the expected value.
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
