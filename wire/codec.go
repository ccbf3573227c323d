// Package wire defines the CBOR messages that amberdeal exchanges with users, workers, the cloud and
// the state service. No other package defines names of these protocols. The cbor tags and the paths are part
// of the protocols and must never change. Go names may change, except those of the fields of TaskID and
// ReportedTask: controllers also send these types to each other with encoding/gob, which matches fields
// by their Go names.
//
// The Go names are the usual terms of cluster scheduling. These names on the wire differ from them:
//
//	/holds, tenure    lease
//	/multi            transaction
//	/runs             jobs
//	abort, withdrawn  cancel, cancelled
//	apiary, apiaries  zone, zones
//	ask               ID of a scale-out request
//	borrowed          spot
//	breed             job class
//	capping_s         checkpoint interval
//	cell, cells       task, tasks
//	comb              container image
//	crown             fencing token
//	data              value of a key
//	drop              delete
//	due_s             deadline
//	era               revision
//	flight            incarnation of a worker
//	frame, frames     machine type, machine types
//	halted            stopped
//	held_s            time since a machine was rented
//	hive, hives       machine, machines
//	keeper            team
//	log               events
//	mark              version of a key
//	mates_gone        other tasks of the gang were lost
//	orders            commands
//	path              key
//	queen             leader
//	rank              priority
//	seal_s            time that a task needs to save its progress
//	stored            saved
//	sweep             job array
//	tally             sequence number of a heartbeat
//	touch             renew
//	try               attempt
package wire

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// MaxBodyBytes is the maximum size in bytes of a request body, and of a response to a worker or a user.
const MaxBodyBytes = 64 << 10

var (
	decoder = must(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 17,
		IndefLength:      cbor.IndefLengthAllowed,
		// A name that differs from that of a field only in case is an unknown field.
		FieldNameMatching: cbor.FieldNameMatchingCaseSensitive,
	}.DecMode())
	encoder = must(cbor.CanonicalEncOptions().EncMode())
)

// must returns v, or panics if err is not nil.
func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // only for invalid options above, or a value that has no CBOR form
	}
	return v
}

// Raw is a CBOR value that is kept undecoded.
type Raw = cbor.RawMessage

// Encode returns the CBOR encoding of v. It panics if v has no CBOR form; all message types of this
// package have one.
func Encode(v any) []byte {
	return must(encoder.Marshal(v))
}

// Decode decodes the CBOR map in body into v. It rejects anything but a single complete map, because
// every message of the protocols is a map.
func Decode(body []byte, v any) error {
	if !isMap(body) {
		return errors.New("not a CBOR map")
	}
	return decoder.Unmarshal(body, v)
}

// DecodeValue decodes a CBOR value of any type, such as a stored one, into v.
func DecodeValue(body []byte, v any) error { return decoder.Unmarshal(body, v) }

// The first byte of a CBOR value: its upper three bits are the major type, and the lower five, the
// additional information, hold the length or tell how many of the following bytes hold it.
const (
	majorTypeMap        = 5
	additionalInfoMask  = 31
	infoOneByteLength   = 24 // the length is in the next byte; each higher value doubles the number of bytes
	infoEightByteLength = 27 // the length is in the next eight bytes
)

// isMap reports whether a CBOR value starts with the head of a map.
func isMap(body []byte) bool { return len(body) > 0 && body[0]>>5 == majorTypeMap }

// mapBody returns the bytes after the head of a CBOR map, or nil if body is not a map.
func mapBody(body []byte) []byte {
	if !isMap(body) {
		return nil
	}
	lengthBytes := 0 // bytes of the head after the first
	if info := body[0] & additionalInfoMask; info >= infoOneByteLength && info <= infoEightByteLength {
		lengthBytes = 1 << (info - infoOneByteLength)
	}
	return body[min(1+lengthBytes, len(body)):]
}
