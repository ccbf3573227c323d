package wire

import "time"

// Shape is how the tasks of a job depend on each other.
type Shape string

// The shapes of jobs.
const (
	Array   Shape = "sweep"   // independent tasks
	Gang    Shape = "gang"    // tasks that run at the same time or not at all
	Service Shape = "service" // replicas that run until the job is cancelled
)

// Priority is the priority of a job. Rank orders the priorities.
type Priority string

// The priorities, highest first.
const (
	Production Priority = "production"
	High       Priority = "high"
	Normal     Priority = "normal"
	Low        Priority = "low"
)

// Rank returns the priority as a number, where a higher number goes first, or -1 for an unknown priority.
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

// Stage is the state of a job as reported to its user.
type Stage string

// The stages of a job.
const (
	Pending   Stage = "pending"
	Running   Stage = "running"
	Done      Stage = "done"
	Cancelled Stage = "withdrawn"
)

// Final reports whether a job in this stage never changes its stage again.
func (s Stage) Final() bool { return s == Done || s == Cancelled }

// MaxTasks is the maximum number of tasks of a job.
const MaxTasks = 100_000

// Job describes a job. The jobs that DecodeJob returns are valid.
type Job struct {
	ID          string   `cbor:"uid"`
	Class       string   `cbor:"breed"`
	Team        string   `cbor:"keeper"`
	Shape       Shape    `cbor:"shape"`
	Priority    Priority `cbor:"rank"`
	Tasks       int      `cbor:"cells"`
	CPUs        float64  `cbor:"vcpus"`        // for each task
	GPUs        float64  `cbor:"accelerators"` // for each task
	MemoryGB    float64  `cbor:"mem_gb"`       // for each task
	Image       string   `cbor:"comb"`
	ImageGB     float64  `cbor:"image_gb"`
	Types       []string `cbor:"frames,omitempty"` // allowed machine types; empty means any
	Zone        string   `cbor:"apiary,omitempty"` // required zone; empty means any
	OneZone     bool     `cbor:"one_zone"`         // whether all tasks must run in the same zone
	Spread      bool     `cbor:"spread"`
	Spot        bool     `cbor:"borrowed"`  // whether spot machines are allowed
	EstimateS   float64  `cbor:"expect_s"`  // expected run time of a task
	CheckpointS float64  `cbor:"capping_s"` // interval between checkpoints; 0 means that a task saves nothing
	SaveS       float64  `cbor:"seal_s"`    // time that a task needs to save its progress
	DeadlineS   float64  `cbor:"due_s,omitempty"`
	// Work describes what each task runs, in a format that depends on the agent on the machine.
	// Controllers store it and pass it to machines, but never interpret it.
	Work string `cbor:"work,omitempty"`
}

// MaxWorkBytes is the maximum length of Job.Work in bytes.
const MaxWorkBytes = 4096

// Estimate returns the run time that the user expects of a task.
func (j *Job) Estimate() time.Duration { return Seconds(j.EstimateS) }

// Seconds converts a number of seconds, as used on the wire, to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// JobIDPrefix is the prefix of every job ID.
const JobIDPrefix = "wk-"

// MaxJobIDDigits is the maximum number of digits after JobIDPrefix.
const MaxJobIDDigits = 64 - len(JobIDPrefix)

// ValidJobID reports whether id is a well-formed job ID: JobIDPrefix followed by decimal digits.
func ValidJobID(id string) bool {
	if len(id) <= len(JobIDPrefix) || len(id) > len(JobIDPrefix)+MaxJobIDDigits || id[:len(JobIDPrefix)] != JobIDPrefix {
		return false
	}
	for _, c := range id[len(JobIDPrefix):] {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}
