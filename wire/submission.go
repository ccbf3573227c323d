package wire

import (
	"errors"
	"fmt"
)

// submission mirrors Job with pointers, so that a missing field shows.
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

// SubmittedID gives the id in a submission of which the rest may not be understood, or nothing: it
// looks at one field after the other, as far as it gets.
func SubmittedID(body []byte) string {
	rest := mapBody(body)
	for len(rest) > 0 {
		var key, value Raw
		var name, id string
		var err error
		if rest, err = decoder.UnmarshalFirst(rest, &key); err != nil {
			return ""
		}
		if rest, err = decoder.UnmarshalFirst(rest, &value); err != nil {
			return ""
		}
		if DecodeValue(key, &name) == nil && name == "uid" && DecodeValue(value, &id) == nil && ValidJobID(id) {
			return id
		}
	}
	return ""
}

// DecodeJob reads and checks a submission. The error names the first fields
// that are missing or invalid.
func DecodeJob(body []byte) (*Job, error) {
	var s submission
	if err := Decode(body, &s); err != nil {
		return nil, err
	}
	errs := []error{
		checkText("uid", s.ID), checkText("breed", s.Class), checkText("keeper", s.Team), checkText("comb", s.Image),
		checkAmount("vcpus", s.CPUs), checkAmount("accelerators", s.GPUs), checkAmount("mem_gb", s.MemoryGB), checkAmount("image_gb", s.ImageGB),
		checkAmount("expect_s", s.EstimateS), checkAmount("capping_s", s.CheckpointS), checkAmount("seal_s", s.SaveS),
		checkPresent("one_zone", s.OneZone), checkPresent("spread", s.Spread), checkPresent("borrowed", s.Spot),
	}
	if s.ID != nil && !ValidJobID(*s.ID) {
		errs = append(errs, fmt.Errorf("field uid: %.40q is not wk- and digits", *s.ID))
	}
	if s.Shape == nil || *s.Shape != Array && *s.Shape != Gang && *s.Shape != Service {
		errs = append(errs, errors.New("field shape: must be sweep, gang or service"))
	}
	if s.Priority == nil || s.Priority.Rank() < 0 {
		errs = append(errs, errors.New("field rank: must be production, high, normal or low"))
	}
	if s.Tasks == nil || *s.Tasks < 1 || *s.Tasks > MaxTasks {
		errs = append(errs, fmt.Errorf("field cells: must be a count from 1 to %d", MaxTasks))
	}
	if s.DeadlineS != nil {
		errs = append(errs, checkAmount("due_s", s.DeadlineS))
	}
	if s.Work != nil && len(*s.Work) > MaxWork {
		errs = append(errs, fmt.Errorf("field work: more than %d bytes", MaxWork))
	}
	if s.Types != nil && (len(*s.Types) == 0 || len(*s.Types) > 64) {
		errs = append(errs, errors.New("field frames: must be null, for any, or name 1 to 64 types"))
	}
	if s.Zone != nil {
		errs = append(errs, checkText("apiary", s.Zone))
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	j := &Job{
		ID: *s.ID, Class: *s.Class, Team: *s.Team, Shape: *s.Shape, Priority: *s.Priority, Tasks: int(*s.Tasks),
		CPUs: *s.CPUs, GPUs: *s.GPUs, MemoryGB: *s.MemoryGB, Image: *s.Image, ImageGB: *s.ImageGB,
		OneZone: *s.OneZone, Spread: *s.Spread, Spot: *s.Spot,
		EstimateS: *s.EstimateS, CheckpointS: *s.CheckpointS, SaveS: *s.SaveS,
	}
	if s.Types != nil {
		j.Types = *s.Types
	}
	if s.Zone != nil {
		j.Zone = *s.Zone
	}
	if s.DeadlineS != nil {
		j.DeadlineS = *s.DeadlineS
	}
	if s.Work != nil {
		j.Work = *s.Work
	}
	return j, nil
}
