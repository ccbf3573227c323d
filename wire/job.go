package wire

import "time"

// Shape tells how the tasks of a job belong together.
type Shape string

// The shapes of jobs.
const (
	Array   Shape = "sweep"
	Gang    Shape = "gang"
	Service Shape = "service"
)

// Priority orders jobs; see Rank.
type Priority string

// The priorities, highest first.
const (
	Production Priority = "production"
	High       Priority = "high"
	Normal     Priority = "normal"
	Low        Priority = "low"
)

// Rank gives the priority as a number, larger first; -1 is none.
func (p Priority) Rank() int {
	switch p {
	case Production:
		return 3
	case High:
		return 2
	case Normal:
		return 1
	case Low:
		return 0
	}
	return -1
}

// Stage is the state of a job as its user sees it.
type Stage string

// The stages of a job.
const (
	Pending   Stage = "pending"
	Running   Stage = "running"
	Done      Stage = "done"
	Cancelled Stage = "withdrawn"
)

// Final reports whether the stage never changes again.
func (s Stage) Final() bool { return s == Done || s == Cancelled }

// MaxTasks is the most tasks that a job may have.
const MaxTasks = 100_000

// Job is the description of a job, valid once DecodeJob has returned it.
type Job struct {
	ID          string   `cbor:"uid"`
	Class       string   `cbor:"breed"`
	Team        string   `cbor:"keeper"`
	Shape       Shape    `cbor:"shape"`
	Priority    Priority `cbor:"rank"`
	Tasks       int      `cbor:"cells"`
	CPUs        float64  `cbor:"vcpus"`
	GPUs        float64  `cbor:"accelerators"`
	MemoryGB    float64  `cbor:"mem_gb"`
	Image       string   `cbor:"comb"`
	ImageGB     float64  `cbor:"image_gb"`
	Types       []string `cbor:"frames,omitempty"`
	Zone        string   `cbor:"apiary,omitempty"`
	OneZone     bool     `cbor:"one_zone"`
	Spread      bool     `cbor:"spread"`
	Spot        bool     `cbor:"borrowed"`
	EstimateS   float64  `cbor:"expect_s"`
	CheckpointS float64  `cbor:"capping_s"`
	SaveS       float64  `cbor:"seal_s"`
	DeadlineS   float64  `cbor:"due_s,omitempty"`
	// Work says what each task does, in the form that the kind of agent on its machine understands.
	// The controllers store it and hand it to machines, and never interpret it.
	Work string `cbor:"work,omitempty"`
}

// MaxWork bounds the text of Work.
const MaxWork = 4096

// Estimate is the owner's guess of a task's run time.
func (j *Job) Estimate() time.Duration { return Seconds(j.EstimateS) }

// Seconds turns a duration of the wire into the library's type.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// JobPrefix begins every job id.
const JobPrefix = "wk-"

// MaxDigits is how many digits may follow it.
const MaxDigits = 64 - len(JobPrefix)

// ValidJobID reports whether id has the form that job ids always have.
func ValidJobID(id string) bool {
	if len(id) <= len(JobPrefix) || len(id) > len(JobPrefix)+MaxDigits || id[:len(JobPrefix)] != JobPrefix {
		return false
	}
	for _, c := range id[len(JobPrefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
