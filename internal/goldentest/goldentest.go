// Package goldentest holds what tests of byte formats share: values in which no
// field is zero, and files of bytes that were written once and never change.
//
// A golden file is the proof that a change of the Go code has not changed what
// is stored or sent. Check never overwrites one: with AMBERDEAL_GOLDEN=write in
// the environment it writes those that don't exist yet, and nothing else.
package goldentest

import (
	"bytes"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

// Fill gives each exported field of the value that v points to, however deep, a
// value of its own that is not zero. The same type is always filled alike. Slices
// and maps get one entry, so that every encoding of them is deterministic.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem())
}

// filler counts the values that it has given out.
type filler struct{ n int64 }

var timeType = reflect.TypeFor[time.Time]()

// epoch is the first time that is given out; any would do.
const epoch = 1_700_000_000

func (f *filler) fill(v reflect.Value) {
	switch {
	case v.Type() == timeType:
		f.n++
		v.Set(reflect.ValueOf(time.Unix(epoch+f.n, f.n).UTC()))
	case v.Type().String() == "cbor.RawMessage":
		// An encoded value: a text of one letter.
		f.n++
		v.SetBytes([]byte{0x61, 'a' + byte(f.n%26)})
	case v.Kind() == reflect.Bool:
		v.SetBool(true)
	case slices.Contains(compositeKinds, v.Kind()):
		f.fillComposite(v)
	default:
		f.n++
		setScalar(v, f.n)
	}
}

// setScalar sets a number, a text or an interface to a value that is made from n.
func setScalar(v reflect.Value, n int64) {
	switch v.Kind() {
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(n)
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(n))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprintf("s%d", n))
	case reflect.Interface:
		v.Set(reflect.ValueOf(fmt.Sprintf("i%d", n)))
	default:
		panic(fmt.Sprintf("goldentest: a %s can't be filled", v.Type()))
	}
}

// compositeKinds are the kinds of values that hold others, see fillComposite.
var compositeKinds = []reflect.Kind{reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map, reflect.Struct}

// fillComposite fills the values that a value of one of compositeKinds holds.
func (f *filler) fillComposite(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		f.fill(v.Elem())
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		f.fill(v.Index(0))
	case reflect.Array:
		for i := range v.Len() {
			f.fill(v.Index(i))
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		f.fill(key)
		f.fill(value)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).IsExported() {
				f.fill(v.Field(i))
			}
		}
	}
}

// Zeros names the exported fields of v, however deep, that are zero or empty.
func Zeros(v any) []string {
	var zeros []string
	walk(reflect.ValueOf(v), "", func(path string, leaf reflect.Value) {
		if !leaf.IsValid() || leaf.IsZero() || math.IsNaN(asFloat(leaf)) {
			zeros = append(zeros, path)
		}
	})
	return zeros
}

func asFloat(v reflect.Value) float64 {
	if v.CanFloat() {
		return v.Float()
	}
	return 0
}

// Leaves lists the values of v's exported fields in their order, however deep,
// without any names: two types of the same shape give the same list.
func Leaves(v any) []string { return leaves(reflect.ValueOf(v)) }

func leaves(v reflect.Value) []string {
	var out []string
	walk(v, "", func(_ string, leaf reflect.Value) {
		switch {
		case !leaf.IsValid():
			out = append(out, "none")
		case leaf.Type() == timeType:
			out = append(out, leaf.Interface().(time.Time).Format(time.RFC3339Nano))
		default:
			out = append(out, formatScalar(leaf))
		}
	})
	return out
}

// formatScalar prints a value without the methods of its type.
func formatScalar(v reflect.Value) string {
	switch {
	case v.CanInt():
		return fmt.Sprint(v.Int())
	case v.CanUint():
		return fmt.Sprint(v.Uint())
	case v.CanFloat():
		return fmt.Sprint(v.Float())
	case v.Kind() == reflect.String:
		return v.String()
	case v.Kind() == reflect.Bool:
		return fmt.Sprint(v.Bool())
	}
	return v.Kind().String() // an empty map, slice or pointer
}

// visitor is called with each leaf of a value and the path to it.
type visitor func(path string, leaf reflect.Value)

// walk visits the leaves of a value in order: what holds no other value, or is empty.
func walk(v reflect.Value, path string, visit visitor) {
	if !v.IsValid() || v.Type() == timeType {
		visit(path, v)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			visit(path, v)
			return
		}
		walk(v.Elem(), path, visit)
	case reflect.Slice, reflect.Array:
		walkSequence(v, path, visit)
	case reflect.Map:
		walkMap(v, path, visit)
	case reflect.Struct:
		walkFields(v, path, visit)
	default:
		visit(path, v)
	}
}

func walkSequence(v reflect.Value, path string, visit visitor) {
	if v.Len() == 0 {
		visit(path, v)
	}
	for i := range v.Len() {
		walk(v.Index(i), fmt.Sprintf("%s[%d]", path, i), visit)
	}
}

func walkMap(v reflect.Value, path string, visit visitor) {
	if v.Len() == 0 {
		visit(path, v)
	}
	keys := v.MapKeys()
	slices.SortFunc(keys, func(a, b reflect.Value) int { return slices.Compare(leaves(a), leaves(b)) })
	for _, key := range keys {
		walk(key, path+".key", visit)
		walk(v.MapIndex(key), path+".value", visit)
	}
}

func walkFields(v reflect.Value, path string, visit visitor) {
	for i := range v.NumField() {
		if field := v.Type().Field(i); field.IsExported() {
			walk(v.Field(i), path+"."+field.Name, visit)
		}
	}
}

// Filled gives a value of a type with no field zero, or fails the test.
func Filled[T any](t testing.TB) T {
	t.Helper()
	var v T
	Fill(&v)
	if zeros := Zeros(v); len(zeros) > 0 {
		t.Fatalf("%T: these fields are zero: %s", v, strings.Join(zeros, ", "))
	}
	return v
}

// File compares text with the golden file testdata/golden/NAME.
func File(t testing.TB, name string, text []byte) {
	t.Helper()
	if want := Read(t, name, text); !bytes.Equal(want, text) {
		t.Errorf("%s: the bytes have changed\n was %x\n  is %x", name, want, text)
	}
}

// Text compares a text of lines with the golden file testdata/golden/NAME.
func Text(t testing.TB, name, text string) {
	t.Helper()
	want := strings.Split(string(Read(t, name, []byte(text))), "\n")
	lines := strings.Split(text, "\n")
	for i := range max(len(want), len(lines)) {
		if was, is := lineAt(want, i), lineAt(lines, i); was != is {
			t.Fatalf("%s: line %d has changed\n was %q\n  is %q", name, i+1, was, is)
		}
	}
}

func lineAt(lines []string, i int) string {
	if i < len(lines) {
		return lines[i]
	}
	return "(none)"
}

// Read gives the golden file testdata/golden/NAME. Where it doesn't exist, it is
// written with text if AMBERDEAL_GOLDEN=write says so; else the test fails.
func Read(t testing.TB, name string, text []byte) []byte {
	t.Helper()
	file := filepath.Join("testdata", "golden", name)
	want, err := os.ReadFile(file)
	if os.IsNotExist(err) && os.Getenv("AMBERDEAL_GOLDEN") == "write" {
		if err = os.MkdirAll(filepath.Dir(file), 0o755); err == nil {
			err = os.WriteFile(file, text, 0o644)
		}
		want = text
	}
	if err != nil {
		t.Fatal(err)
	}
	return want
}

// Check encodes a filled value of T and compares it with the golden file NAME, and
// decodes the golden file and compares that with the filled value.
func Check[T any](t *testing.T, name string, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		v := Filled[T](t)
		clearUnencoded(reflect.ValueOf(&v))
		text, err := encode(v)
		if err != nil {
			t.Fatal(err)
		}
		File(t, name, text)
		var back T
		if err := decode(Read(t, name, text), &back); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(back, v) {
			t.Errorf("decoded\n     %+v\nnot  %+v", back, v)
		}
	})
}

// clearUnencoded empties the fields that their tag keeps out of every encoding.
func clearUnencoded(v reflect.Value) {
	switch v.Kind() {
	case reflect.Pointer:
		clearUnencoded(v.Elem())
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			clearUnencoded(v.Index(i))
		}
	case reflect.Struct:
		for i := range v.NumField() {
			field := v.Type().Field(i)
			switch {
			case !field.IsExported():
			case field.Tag.Get("cbor") == "-" || field.Tag.Get("json") == "-":
				v.Field(i).SetZero()
			default:
				clearUnencoded(v.Field(i))
			}
		}
	}
}

// Columns gives the columns of a parquet schema's text without its name, which is that
// of a Go type and means nothing to a reader.
func Columns(schema string) string {
	_, columns, _ := strings.Cut(schema, "{\n")
	return columns + "\n"
}
