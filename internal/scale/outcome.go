package scale

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/parquet-go/parquet-go"

	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/outcomefile"
)

// Role is a component of the system that is measured.
type Role string

// The roles. Emulated workers and the emulated state service do not use the CPU time of real ones, so theirs is not
// reported; the agents stand for real workers.
const (
	Leader       Role = "controller that holds the fleet"
	Follower     Role = "other controllers"
	Worker       Role = "worker"
	Agent        Role = "agent"
	StateService Role = "state service"
	Link         Role = "link between two controllers"
)

// Measure is a quantity that is measured for a role.
type Measure string

// The measures, each of one process, link or worker.
const (
	CPU         Measure = "core share"
	Memory      Measure = "memory MB"
	BytesIn     Measure = "KB/s in"
	BytesOut    Measure = "KB/s out"
	MessagesIn  Measure = "messages/s in"
	MessagesOut Measure = "messages/s out"
	Keys        Measure = "keys"
	Requests    Measure = "requests/s"
	Changes     Measure = "changes/s"
)

// Row is one measured value of a step, as stored in the Parquet file.
type Row struct {
	Workers     float64 `json:"workers" parquet:"workers"`
	Teams       float64 `json:"teams" parquet:"teams"`
	Controllers float64 `json:"controllers" parquet:"controllers"`
	Tasks       float64 `json:"tasks" parquet:"tasks"`
	Starts      float64 `json:"starts" parquet:"starts_asked"`
	Role        Role    `json:"role" parquet:"role,dict"`
	Measure     Measure `json:"measure" parquet:"measure,dict"`
	Value       float64 `json:"value" parquet:"value"`
}

// Outcome is the result of a step.
type Outcome struct {
	Step              Point      `json:"step"`
	Rows              []Row      `json:"rows"`
	StartsReached     float64    `json:"starts_reached"` // task starts per second during the measurement
	BytesPerStart     float64    `json:"state_bytes_per_start"`
	Up                int        `json:"workers_up"`
	TasksRunning      int        `json:"tasks_running"` // at the end of the measurement
	FleetFull         bool       `json:"full"`          // the fleet was full before FillTimeout had passed
	FillSeconds       float64    `json:"fill_s"`
	Accept            load.Times `json:"accept_ms"`
	Start             load.Times `json:"start_ms"`
	Urgent            load.Times `json:"urgent_start_ms"`
	FailedSubmissions int        `json:"answers_503"`
	Submitted         int        `json:"submitted"`
	FailoverSeconds   float64    `json:"takeover_claim_s"`  // from the kill of the leader to the next election; 0 if none was seen
	FailoverStart     load.Times `json:"takeover_start_ms"` // urgent jobs that were submitted after the kill
	Actions           int        `json:"actions"`
	Violations        []string   `json:"rules_broken"`
}

// add records a measured value of a role.
func (o *Outcome) add(role Role, measure Measure, value float64) {
	p := o.Step
	o.Rows = append(o.Rows, Row{p[Workers], p[Teams], p[Controllers], p[Tasks], p[Starts], role, measure, value})
}

// value returns a measured value of a role, and whether it was measured.
func (o *Outcome) value(role Role, measure Measure) (float64, bool) {
	for _, r := range o.Rows {
		if r.Role == role && r.Measure == measure {
			return r.Value, true
		}
	}
	return 0, false
}

// position returns a step's position on an axis. For starts it is the measured rate, not the requested one.
func (o *Outcome) position(axis Axis) float64 {
	if axis == Starts {
		return o.StartsReached
	}
	return o.Step[axis]
}

// outcomeFile returns the path of the file that holds a step's outcome.
func outcomeFile(dir string, step Point) string {
	return filepath.Join(dir, fmt.Sprintf("step-%v.json", step))
}

// outcomeKind names the content of an outcome file in error messages.
const outcomeKind = "the outcome of a step"

// loadOutcome reads a step's outcome of an earlier run. It returns nil if there is none.
func loadOutcome(dir string, step Point) (*Outcome, error) {
	path := outcomeFile(dir, step)
	o := new(Outcome)
	err := outcomefile.Load(path, outcomeKind, o)
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if len(o.Rows) == 0 {
		return nil, fmt.Errorf("%s: not %s: no figures", path, outcomeKind)
	}
	return o, nil
}

// writeTable writes the Parquet file with the rows of all steps.
func writeTable(dir string, outcomes []*Outcome) error {
	var rows []Row
	for _, o := range outcomes {
		rows = append(rows, o.Rows...)
	}
	if err := parquet.WriteFile(filepath.Join(dir, "scale.parquet"), rows); err != nil {
		return fmt.Errorf("writing the table of all steps: %w", err)
	}
	return nil
}
