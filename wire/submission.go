package wire

import (
	"errors"
	"fmt"
)

// submission has the fields of Job as pointers, so that missing fields can be detected.
type submission struct {
	ID          *string   `cbor:"uid"`
	Class       *string   `cbor:"breed"`
	Team        *string   `cbor:"keeper"`
	Shape       *Shape    `cbor:"shape"`
	Priority    *Priority `cbor:"rank"`
	Tasks       *int64    `cbor:"cells"`
	CPUs        *float64  `cbor:"vcpus"`
	GPUs        *float64  `cbor:"accelerators"`
	MemoryGB    *float64  `cbor:"mem_gb"`
	Image       *string   `cbor:"comb"`
	ImageGB     *float64  `cbor:"image_gb"`
	Types       *[]string `cbor:"frames"`
	Zone        *string   `cbor:"apiary"`
	OneZone     *bool     `cbor:"one_zone"`
	Spread      *bool     `cbor:"spread"`
	Spot        *bool     `cbor:"borrowed"`
	EstimateS   *float64  `cbor:"expect_s"`
	CheckpointS *float64  `cbor:"capping_s"`
	SaveS       *float64  `cbor:"seal_s"`
	DeadlineS   *float64  `cbor:"due_s"`
	Work        *string   `cbor:"work"`
}

// SubmittedID returns the job ID in a submission that may be invalid or incomplete otherwise, or an
// empty string if there is no valid ID. It decodes field by field until it finds the ID or a field
// that is malformed.
func SubmittedID(body []byte) string {
	rest := mapBody(body)
	for len(rest) > 0 {
		var key, value Raw
		var err error
		if rest, err = decoder.UnmarshalFirst(rest, &key); err != nil {
			return ""
		}
		if rest, err = decoder.UnmarshalFirst(rest, &value); err != nil {
			return ""
		}
		if id, ok := idField(key, value); ok {
			return id
		}
	}
	return ""
}

// idField returns the job ID in a field of a submission; ok is false if it is another field or the ID is invalid.
func idField(key, value Raw) (id string, ok bool) {
	var name string
	if DecodeValue(key, &name) != nil || name != "uid" || DecodeValue(value, &id) != nil {
		return "", false
	}
	return id, ValidJobID(id)
}

// DecodeJob decodes and validates a submission. The error names all fields that are missing or invalid.
func DecodeJob(body []byte) (*Job, error) {
	var s submission
	if err := Decode(body, &s); err != nil {
		return nil, err
	}
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s.toJob(), nil
}

// maxMachineTypes is the maximum number of machine types that a submission may name.
const maxMachineTypes = 64

// validate returns an error that joins all validation errors of a submission.
func (s *submission) validate() error {
	errs := []error{
		checkText("uid", s.ID), checkText("breed", s.Class), checkText("keeper", s.Team), checkText("comb", s.Image),
		checkAmount("vcpus", s.CPUs), checkAmount("accelerators", s.GPUs), checkAmount("mem_gb", s.MemoryGB), checkAmount("image_gb", s.ImageGB),
		checkAmount("expect_s", s.EstimateS), checkAmount("capping_s", s.CheckpointS), checkAmount("seal_s", s.SaveS),
		checkPresent("one_zone", s.OneZone), checkPresent("spread", s.Spread), checkPresent("borrowed", s.Spot),
	}
	invalid := func(format string, args ...any) { errs = append(errs, fmt.Errorf(format, args...)) }
	if s.ID != nil && !ValidJobID(*s.ID) {
		invalid("field uid: %.40q is not wk- and digits", *s.ID)
	}
	if s.Shape == nil || *s.Shape != Array && *s.Shape != Gang && *s.Shape != Service {
		invalid("field shape: must be sweep, gang or service")
	}
	if s.Priority == nil || s.Priority.Rank() < 0 {
		invalid("field rank: must be production, high, normal or low")
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		invalid("field cells: must be a count from 1 to %d", MaxTasks)
	}
	if s.DeadlineS != nil {
		errs = append(errs, checkAmount("due_s", s.DeadlineS))
	}
	if s.Work != nil && len(*s.Work) > MaxWorkBytes {
		invalid("field work: more than %d bytes", MaxWorkBytes)
	}
	if s.Types != nil && (len(*s.Types) == 0 || len(*s.Types) > maxMachineTypes) {
		invalid("field frames: must be null, for any, or name 1 to %d types", maxMachineTypes)
	}
	if s.Zone != nil {
		errs = append(errs, checkText("apiary", s.Zone))
	}
	return errors.Join(errs...)
}

// toJob converts a valid submission to a Job.
func (s *submission) toJob() *Job {
	return &Job{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: *s.Shape, Priority: *s.Priority, Tasks: int(*s.Tasks),
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		Types: orZero(s.Types), Zone: orZero(s.Zone), OneZone: *s.OneZone, Spread: *s.Spread, Spot: *s.Spot,
		EstimateS: *s.EstimateS, CheckpointS: *s.CheckpointS, SaveS: *s.SaveS, DeadlineS: orZero(s.DeadlineS),
		Work: orZero(s.Work),
	}
}

// orZero returns what p points to, or the zero value if p is nil.
func orZero[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}
