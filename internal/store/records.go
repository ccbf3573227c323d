package store

import (
	"encoding/base64"
	"strconv"
	"strings"

	"amberdeal.example/amberdeal/wire"
)

// Root begins every key of amberdeal, so that one watch follows them all.
const Root = "amberdeal/"

// The kinds of keys.
const (
	jobs     = Root + "job/"
	progress = Root + "progress/"
	machines = Root + "machine/"
	asks     = Root + "ask/"
	parts    = Root + "part/"
	rounds   = Root + "round/"
	// TermKey holds the fleet-wide counter of terms.
	TermKey = Root + "term"
	// TypesKey holds the machine types last seen.
	TypesKey = Root + "types"
)

// JobKey holds a job: accept, cancel and done are ordered by its version.
func JobKey(id string) string { return jobs + id }

// MachineKey holds a machine that may be launched on.
func MachineKey(id string) string { return machines + id }

// AskKey holds the intent of a rental.
func AskKey(name string) string { return asks + name }

// PartKey holds the claim of a part.
func PartKey(part string) string { return parts + part }

// RoundKey holds the last round of a part.
func RoundKey(part string) string { return rounds + part }

// ProgressKey holds which tasks of a block of a job are finished.
func ProgressKey(job string, block int) string {
	return progress + job + "/" + strconv.Itoa(block)
}

// JobRecord is a job as it is stored. A final one keeps its stage and size,
// and what its tasks take for as long as some may still be ending.
type JobRecord struct {
	Stage   wire.Stage `cbor:"stage"`
	Tasks   int        `cbor:"tasks"`
	Created int64      `cbor:"created,omitempty"` // ms since 1970
	Job     *wire.Job  `cbor:"job,omitempty"`
	Takes   *Takes     `cbor:"takes,omitempty"`
}

// Takes is what each task of a job takes, and whose limit it counts against.
type Takes struct {
	Team     string  `cbor:"team"`
	CPUs     float64 `cbor:"cpus"`
	GPUs     float64 `cbor:"gpus"`
	MemoryGB float64 `cbor:"memory_gb"`
}

// TaskTakes tells what each task of the job takes; nil if that is not known.
func (r *JobRecord) TaskTakes() *Takes {
	if r.Job != nil {
		return &Takes{r.Job.Team, r.Job.CPUs, r.Job.GPUs, r.Job.MemoryGB}
	}
	return r.Takes
}

// End gives the record of the job once it is done or cancelled.
func (r *JobRecord) End(stage wire.Stage) JobRecord {
	return JobRecord{Stage: stage, Tasks: r.Tasks, Takes: r.TaskTakes()}
}

// MachineRecord is what a new holder must know of a machine. Tasks names every
// attempt that may be there: it is written in the round that launches them.
type MachineRecord struct {
	Tasks map[string]uint64 `cbor:"tasks,omitempty"`
	Addr  string            `cbor:"addr,omitempty"`
	Type  string            `cbor:"type"`
	Zone  string            `cbor:"zone"`
	Spot  bool              `cbor:"spot"`
}

// AskRecord is the intent of a rental.
type AskRecord struct {
	Type  string `cbor:"type"`
	Zone  string `cbor:"zone"`
	Spot  bool   `cbor:"spot"`
	Count int    `cbor:"count"`
}

// PartRecord says who holds a part. It is attached to the holder's lease.
type PartRecord struct {
	Holder string `cbor:"holder"`
	Term   uint64 `cbor:"term"`
	Lease  uint64 `cbor:"lease"`
}

// RoundRecord is the last round of a part, and what each team uses.
type RoundRecord struct {
	Term  uint64                `cbor:"term"`
	Round uint64                `cbor:"round"`
	Teams map[string][2]float64 `cbor:"teams"` // CPUs, GPUs
}

// TypesRecord keeps the machine types through an outage of the cloud.
type TypesRecord struct {
	Types []wire.MachineType `cbor:"types"`
}

// BlockTasks is how many tasks share a progress record: few enough that its
// bits fit the smallest value that settings may allow (1 KiB).
const BlockTasks = 4096

// Bits marks the finished tasks of a job.
type Bits struct {
	words []uint64
	count int
}

// NewBits has room for n tasks.
func NewBits(n int) *Bits { return &Bits{words: make([]uint64, (n+63)/64)} }

// Has reports whether task i is marked.
func (b *Bits) Has(i int) bool { return i/64 < len(b.words) && b.words[i/64]>>(i%64)&1 == 1 }

// Set marks task i and reports whether that is new.
func (b *Bits) Set(i int) bool {
	if i/64 >= len(b.words) || b.Has(i) {
		return false
	}
	b.words[i/64] |= 1 << (i % 64)
	b.count++
	return true
}

// Count tells how many are marked.
func (b *Bits) Count() int { return b.count }

// Block gives the text form of one block.
func (b *Bits) Block(n int) string {
	const perBlock = BlockTasks / 64
	var out []byte
	for i := n * perBlock; i < min((n+1)*perBlock, len(b.words)); i++ {
		for s := 0; s < 64; s += 8 {
			out = append(out, byte(b.words[i]>>s))
		}
	}
	return base64.RawStdEncoding.EncodeToString(out)
}

// Merge marks what the text form of a block marks.
func (b *Bits) Merge(n int, text string) {
	raw, err := base64.RawStdEncoding.DecodeString(text)
	if err != nil {
		return
	}
	for i, c := range raw {
		for s := range 8 {
			if c>>s&1 == 1 {
				b.Set(n*BlockTasks + i*8 + s)
			}
		}
	}
}

// splitProgress takes a progress key apart.
func splitProgress(key string) (job string, block int, ok bool) {
	job, num, ok := strings.Cut(strings.TrimPrefix(key, progress), "/")
	block, err := strconv.Atoi(num)
	return job, block, ok && err == nil && block >= 0
}
