// Package top defines the status that a controller reports about the running fleet, and prints the statuses of
// several controllers as tables.
package top

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Path is the HTTP path of a controller's status. It is served on the address of the metrics.
const Path = "/status"

// Status is the state of the fleet as one controller knows it.
type Status struct {
	Name              string           `json:"name"`
	Ready             bool             `json:"ready"`
	UpS               int              `json:"up_s"`
	ReportingMachines int              `json:"machines_reporting_here"`
	Shards            map[string]Shard `json:"parts"`
	Classes           map[string]Class `json:"classes"`
	Teams             map[string]Team  `json:"teams"`
	Zones             map[string]Zone  `json:"zones"` // of the shards whose status the controller knows
	Tiers             map[string]Tier  `json:"tiers,omitempty"`
	Stalls            map[string]Stall `json:"stalls,omitempty"` // of the shards that the controller leads, by shard
	Budget            Budget           `json:"state_service"`
	Revision          uint64           `json:"revision"`
}

// Shard holds the leader of a shard and the leader's fencing token.
type Shard struct {
	Leader       string `json:"holder"`
	FencingToken uint64 `json:"term"`
}

// Class counts the jobs of a class that have not ended, and their tasks.
type Class struct {
	PendingJobs   int `json:"jobs_pending"`
	RunningJobs   int `json:"jobs_running"`
	Tasks         int `json:"tasks"`
	RunningTasks  int `json:"tasks_running"`
	FinishedTasks int `json:"tasks_done"`
}

// Team holds a team's usage, guarantee and limit. A guarantee or limit of 0 means none.
type Team struct {
	CPUs    float64 `json:"cpus"`
	CPUsMin float64 `json:"cpus_guaranteed"`
	CPUsMax float64 `json:"cpus_max"`
	GPUs    float64 `json:"gpus"`
	GPUsMin float64 `json:"gpus_guaranteed"`
	GPUsMax float64 `json:"gpus_max"`
}

// Tier compares a priority tier's usage of GPUs with its guaranteed share.
type Tier struct {
	Order    int     `json:"order"`
	GPUs     float64 `json:"cards"`
	Share    float64 `json:"share"`
	Lent     float64 `json:"lent"`          // GPUs of the share that other tiers use
	Waiting  int     `json:"tasks_waiting"` // tasks that are not placed
	Reclaims int     `json:"claims_back"`   // jobs for which lent GPUs are being reclaimed
}

// Zone counts the machines of a zone whose heartbeats are expected, and those of them whose heartbeats
// are overdue.
type Zone struct {
	Machines int `json:"machines"`
	Overdue  int `json:"overdue"`

	Recovery string `json:"return,omitempty"` // current step of the zone's recovery, if it recovers
}

// Stall reports that a shard's leader starts no tasks although there are pending tasks and free capacity for them.
type Stall struct {
	DurationS int    `json:"for_s"`
	Cause     string `json:"cause"`
	Job       string `json:"job"` // a job that could start
}

// Budget counts the controller's requests to the state service since it started.
type Budget struct {
	RPS        float64 `json:"requests_allowed_s"`
	WriteRPS   float64 `json:"changes_allowed_s"`
	Requests   uint64  `json:"requests"`
	Changes    uint64  `json:"changes"`
	Refused    uint64  `json:"refused"`
	Unanswered uint64  `json:"unanswered"`
}

// View holds the statuses of several controllers, read at the same time.
type View struct {
	At          time.Time          `json:"at"`
	Statuses    map[string]*Status `json:"controllers"` // by address
	Unreachable map[string]string  `json:"unanswered"`  // errors, by address
}

// newest returns the status with the highest revision. Information that every controller has is taken from it.
func (v *View) newest() *Status {
	var best *Status
	for _, s := range v.Statuses {
		if best == nil || s.Revision > best.Revision || s.Revision == best.Revision && s.Name < best.Name {
			best = s
		}
	}
	return best
}

// mergeStatuses combines what comes from the leaders of shards and may not have reached every controller. Of several
// entries for the same zone, team or tier it takes the largest.
func (v *View) mergeStatuses() (zones map[string]Zone, teams map[string]Team, tiers map[string]Tier) {
	zones, teams, tiers = map[string]Zone{}, map[string]Team{}, map[string]Tier{}
	for _, addr := range slices.Sorted(maps.Keys(v.Statuses)) {
		s := v.Statuses[addr]
		for name, z := range s.Zones {
			if z.Machines >= zones[name].Machines {
				zones[name] = z
			}
		}
		for name, t := range s.Tiers {
			if o, known := tiers[name]; !known || t.GPUs+t.Share >= o.GPUs+o.Share {
				tiers[name] = t
			}
		}
		for name, t := range s.Teams {
			if o := teams[name]; t.GPUs+t.CPUs >= o.GPUs+o.CPUs {
				teams[name] = t
			}
		}
	}
	return zones, teams, tiers
}

// ratePerSecond formats the increase of a counter per second over the duration d.
func ratePerSecond(now, before uint64, d time.Duration) string {
	if d <= 0 || now < before {
		return "-"
	}
	return fmt.Sprintf("%.1f", float64(now-before)/d.Seconds())
}

// Print writes the view as tables. Rates are relative to the previous view; without one they are left out.
func (v *View) Print(out io.Writer, previous *View) {
	table := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	line := func(format string, args ...any) { fmt.Fprintf(table, format+"\n", args...) }
	s := v.newest()
	if s == nil {
		line("no controller answers")
	} else {
		v.printFleet(line, s)
	}
	line("CONTROLLER\tNAME\tREADY\tUP\tMACHINES\tREQUESTS/S\tCHANGES/S\tREFUSED\tUNANSWERED\t")
	for _, addr := range slices.Sorted(maps.Keys(v.Statuses)) {
		c, requests, changes := v.Statuses[addr], "-", "-"
		if previous != nil && previous.Statuses[addr] != nil {
			d := v.At.Sub(previous.At)
			requests = ratePerSecond(c.Budget.Requests, previous.Statuses[addr].Budget.Requests, d)
			changes = ratePerSecond(c.Budget.Changes, previous.Statuses[addr].Budget.Changes, d)
		}
		line("%s\t%s\t%v\t%v\t%d\t%s of %.0f\t%s of %.0f\t%d\t%d\t", addr, c.Name, c.Ready, time.Duration(c.UpS)*time.Second, c.ReportingMachines,
			requests, c.Budget.RPS, changes, c.Budget.WriteRPS, c.Budget.Refused, c.Budget.Unanswered)
	}
	_ = table.Flush()
	for _, addr := range slices.Sorted(maps.Keys(v.Unreachable)) {
		fmt.Fprintf(out, "%s  %s\n", addr, v.Unreachable[addr])
	}
}

// printFleet writes the tables about the fleet as a whole; s is the newest status.
func (v *View) printFleet(line func(string, ...any), s *Status) {
	line("SHARD\tLEADER\tTOKEN\t")
	for _, shard := range slices.Sorted(maps.Keys(s.Shards)) {
		state := s.Shards[shard]
		line("%s\t%s\t%d\t", shard, cmp.Or(state.Leader, "nobody"), state.FencingToken)
	}
	for _, addr := range slices.Sorted(maps.Keys(v.Statuses)) {
		for shard, x := range v.Statuses[addr].Stalls {
			line("\nNOTHING STARTS in %s for %v: %s (%s could)", shard, time.Duration(x.DurationS)*time.Second, x.Cause, x.Job)
		}
	}
	line("\nCLASS\tPENDING\tRUNNING\tTASKS\tON MACHINES\tDONE\t")
	for _, name := range slices.Sorted(maps.Keys(s.Classes)) {
		c := s.Classes[name]
		line("%s\t%d\t%d\t%d\t%d\t%d\t", name, c.PendingJobs, c.RunningJobs, c.Tasks, c.RunningTasks, c.FinishedTasks)
	}
	zones, teams, tiers := v.mergeStatuses()
	if len(tiers) > 0 {
		line("\nTIER\tCARDS\tSHARE\tLENT\tTASKS WAITING\tRECLAIMS\t")
	}
	for _, name := range slices.SortedFunc(maps.Keys(tiers), func(a, b string) int { return cmp.Or(cmp.Compare(tiers[a].Order, tiers[b].Order), cmp.Compare(a, b)) }) {
		x := tiers[name]
		line("%s\t%.0f\t%.0f\t%.0f\t%d\t%d\t", name, x.GPUs, x.Share, x.Lent, x.Waiting, x.Reclaims)
	}
	line("\nTEAM\tGPUS\tGUARANTEED\tLIMIT\tCPUS\tGUARANTEED\tLIMIT\t")
	orNone := func(x float64) string {
		if x == 0 {
			return "-"
		}
		return fmt.Sprintf("%.0f", x)
	}
	for _, name := range slices.Sorted(maps.Keys(teams)) {
		x := teams[name]
		line("%s\t%.0f\t%s\t%s\t%.0f\t%s\t%s\t", name, x.GPUs, orNone(x.GPUsMin), orNone(x.GPUsMax), x.CPUs, orNone(x.CPUsMin), orNone(x.CPUsMax))
	}
	line("\nZONE\tMACHINES\tOVERDUE\t")
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		line("%s\t%d\t%d\t%s", name, zones[name].Machines, zones[name].Overdue, zones[name].Recovery)
	}
	line("")
}
