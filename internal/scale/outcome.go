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

// Role is a part of the system that is measured.
type Role string

// The roles. CPU time of emulated workers and of the state service is not that of real ones and is
// not reported: the agents represent workers.
const (
	Leader       Role = "controller that holds the fleet"
	Follower     Role = "other controllers"
	Worker       Role = "worker"
	Agent        Role = "agent"
	StateService Role = "state service"
	Link         Role = "link between two controllers"
)

// Measure is what is measured of a role.
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

// Row is one figure of a step, as in the columnar file.
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
	StartsReached     float64    `json:"starts_reached"` // per second, while it was measured
	BytesPerStart     float64    `json:"state_bytes_per_start"`
	WorkersUp         int        `json:"workers_up"`
	TasksRunning      int        `json:"tasks_running"` // when it was measured
	FleetFull         bool       `json:"full"`          // the fleet was as full as required by then
	FillSeconds       float64    `json:"fill_s"`
	Accept            load.Times `json:"accept_ms"`
	Start             load.Times `json:"start_ms"`
	Urgent            load.Times `json:"urgent_start_ms"`
	FailedSubmissions int        `json:"answers_503"`
	Submitted         int        `json:"submitted"`
	FailoverSeconds   float64    `json:"takeover_claim_s"`  // from the kill to the next election, 0 if none was seen
	FailoverStart     load.Times `json:"takeover_start_ms"` // urgent work that came after the kill
	Actions           int        `json:"actions"`
	Violations        []string   `json:"rules_broken"`
}

// add records a figure of a role.
func (o *Outcome) add(role Role, measure Measure, value float64) {
	p := o.Step
	o.Rows = append(o.Rows, Row{p[Workers], p[Teams], p[Controllers], p[Tasks], p[Starts], role, measure, value})
}

// value returns a figure of a role, if it was measured.
func (o *Outcome) value(role Role, measure Measure) (float64, bool) {
	for _, r := range o.Rows {
		if r.Role == role && r.Measure == measure {
			return r.Value, true
		}
	}
	return 0, false
}

// position returns a step's position on an axis; for starts it is the rate that was reached.
func (o *Outcome) position(axis Axis) float64 {
	if axis == Starts {
		return o.StartsReached
	}
	return o.Step[axis]
}

// outcomeFile returns the path of a step's outcome.
func outcomeFile(dir string, step Point) string {
	return filepath.Join(dir, fmt.Sprintf("step-%v.json", step))
}

// outcomeKind is what a file of an outcome holds, in errors.
const outcomeKind = "the outcome of a step"

// loadOutcome reads the outcome of an earlier run, nil if there is none.
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

// writeTable writes the columnar file of all steps.
func writeTable(dir string, all []*Outcome) error {
	var rows []Row
	for _, o := range all {
		rows = append(rows, o.Rows...)
	}
	if err := parquet.WriteFile(filepath.Join(dir, "scale.parquet"), rows); err != nil {
		return fmt.Errorf("writing the table of all steps: %w", err)
	}
	return nil
}
