// Package goldentest provides helpers for tests of encodings: values in which no field is zero, and golden
// files, which are written once and never change.
//
// A golden file proves that a change of the Go code has not changed what is stored or sent. No helper overwrites
// one: with AMBERDEAL_GOLDEN=write in the environment, only golden files that don't exist yet are written.
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

// Fill sets each exported field of the value that v points to, at any depth, to a distinct value that is not
// zero; booleans are set to true. A type always gets the same values. Slices and maps get one entry, so that
// every encoding of them is deterministic.
func Fill(v any) {
	f := filler{}
	f.fill(reflect.ValueOf(v).Elem())
}

// filler sets values and counts them.
type filler struct{ n int64 }

var timeType = reflect.TypeFor[time.Time]()

// epoch is the Unix time, in seconds, on which generated times are based. The value is arbitrary.
const epoch = 1_700_000_000

func (f *filler) fill(v reflect.Value) {
	switch {
	case v.Type() == timeType:
		f.n++
		v.Set(reflect.ValueOf(time.Unix(epoch+f.n, f.n).UTC()))
	case v.Type().String() == "cbor.RawMessage":
		// The CBOR encoding of a string of one letter.
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

// setScalar sets a number, a string or an interface to a value derived from n.
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
		panic(fmt.Sprintf("goldentest: values of type %s are not supported", v.Type()))
	}
}

// compositeKinds are the kinds of values that contain other values, see fillComposite.
var compositeKinds = []reflect.Kind{reflect.Pointer, reflect.Slice, reflect.Array, reflect.Map, reflect.Struct}

// fillComposite fills the values that a value of one of compositeKinds contains.
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

// Zeros returns the paths of the exported fields of v, at any depth, that are zero or empty.
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

// Leaves returns the values of v's exported fields in order, at any depth, without field names. Two types of the
// same shape that are filled by Fill have the same leaves.
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

// formatScalar formats a value without calling methods of its type, such as String.
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

// walk visits the leaves of a value in order. A leaf contains no other value: a scalar, a time, or an empty
// container.
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

// FilledValue returns a value of type T in which no exported field is zero, or fails the test.
func FilledValue[T any](t testing.TB) T {
	t.Helper()
	var v T
	Fill(&v)
	if zeros := Zeros(v); len(zeros) > 0 {
		t.Fatalf("%T: these fields are zero: %s", v, strings.Join(zeros, ", "))
	}
	return v
}

// CompareBytes compares text byte by byte with the golden file testdata/golden/NAME.
func CompareBytes(t testing.TB, name string, text []byte) {
	t.Helper()
	if want := ReadGolden(t, name, text); !bytes.Equal(want, text) {
		t.Errorf("%s: the bytes have changed\n was %x\n  is %x", name, want, text)
	}
}

// CompareText compares text line by line with the golden file testdata/golden/NAME, and reports the first line that differs.
func CompareText(t testing.TB, name, text string) {
	t.Helper()
	want := strings.Split(string(ReadGolden(t, name, []byte(text))), "\n")
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

// ReadGolden returns the content of the golden file testdata/golden/NAME. If the file doesn't exist, Read writes text
// to it with AMBERDEAL_GOLDEN=write in the environment, and fails the test otherwise.
func ReadGolden(t testing.TB, name string, text []byte) []byte {
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

// CheckEncoding encodes a filled value of T and compares it with the golden file NAME. It also decodes the golden file
// and compares the result with the filled value.
func CheckEncoding[T any](t *testing.T, name string, encode func(any) ([]byte, error), decode func([]byte, any) error) {
	t.Helper()
	t.Run(name, func(t *testing.T) {
		v := FilledValue[T](t)
		clearUnencoded(reflect.ValueOf(&v))
		text, err := encode(v)
		if err != nil {
			t.Fatal(err)
		}
		CompareBytes(t, name, text)
		var decoded T
		if err := decode(ReadGolden(t, name, text), &decoded); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(decoded, v) {
			t.Errorf("decoded\n     %+v\nnot  %+v", decoded, v)
		}
	})
}

// clearUnencoded sets the fields to zero that a cbor or json tag of "-" excludes from the encoding.
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

// Columns returns the columns of a Parquet schema's text without the schema's name. The name is that of the Go
// type, which readers of a file ignore, so that the type may be renamed.
func Columns(schema string) string {
	_, columns, _ := strings.Cut(schema, "{\n")
	return columns + "\n"
}
