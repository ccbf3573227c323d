// Package wire holds the CBOR formats of every interface of amberdeal: users, workers, the cloud and
// the state service. It is the only place where the names used on the wire appear; the Go names are
// the terms of the field. The cbor tags are the bytes: a tag never changes, a Go name may, except in
// TaskID and ReportedTask, which also travel between controllers by their Go field names.
package wire

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBody bounds a request body, and an answer to a worker or a user.
const MaxBody = 64 << 10

var (
	decoder = mustNotFail(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		IndefLength:      cbor.IndefLengthAllowed,
		// A field of nearly the same name is one that a receiver doesn't know.
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode())
	encoder = mustNotFail(cbor.CanonicalEncOptions().EncMode())
)

func mustNotFail[T any](v T, err error) T {
	if err != nil {
		panic(err) // only a wrong constant above can do this
	}
	return v
}

// Raw is a value that is passed on undecoded.
type Raw = cbor.RawMessage

// Encode gives the CBOR form of v. The formats of this package always encode; it panics on a value
// that has no CBOR form.
func Encode(v any) []byte {
	return mustNotFail(encoder.Marshal(v))
}

// Decode reads the CBOR value in body into v. Anything but one whole map is refused, because every
// message of the protocols is a map.
func Decode(body []byte, v any) error {
	if !isMap(body) {
		return errors.New("not a CBOR map")
	}
	return decoder.Unmarshal(body, v)
}

// DecodeValue reads any CBOR value, such as a stored one, into v.
func DecodeValue(body []byte, v any) error { return decoder.Unmarshal(body, v) }

// The head of a CBOR value: three bits for its kind, and five that give its length, or how many
// bytes beyond the first do.
const (
	mapKind       = 5
	infoBits      = 31
	firstLongInfo = 24 // the length is in one more byte; each further info doubles that
	lastLongInfo  = 27
)

// isMap reports whether a CBOR value begins as a map.
func isMap(body []byte) bool { return len(body) > 0 && body[0]>>5 == mapKind }

// mapBody gives what follows the head of a CBOR map, or nothing.
func mapBody(body []byte) []byte {
	if !isMap(body) {
		return nil
	}
	more := 0 // bytes of the head beyond the first
	if info := body[0] & infoBits; info >= firstLongInfo && info <= lastLongInfo {
		more = 1 << (info - firstLongInfo)
	}
	return body[min(1+more, len(body)):]
}
