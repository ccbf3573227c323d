// Package round is the holder's loop: it collects what the workers and the
// cloud report, decides, and writes each round as one fenced transaction.
// Only after the store has taken a round are its launches said to anyone.
package leader

import (
	"fmt"
	"log/slog"
	"sync"
	"time"

	"amberdeal.example/amberdeal/internal/autoscale"
	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/leadership"
	"amberdeal.example/amberdeal/internal/reshard"
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/throttle"
	"amberdeal.example/amberdeal/internal/zone"
	"amberdeal.example/amberdeal/internal/zonerecovery"
	"amberdeal.example/amberdeal/wire"
)

// history is what the holder remembers of a job beside its placements.
type history struct {
	failed     map[string]bool // machines on which it failed
	notBefore  time.Time       // back-off
	failures   int
	finished   *store.Bits  // tasks that were reported done
	stored     *store.Bits  // and are in the store
	ended      time.Time    // when it was cancelled or done
	live       uint64       // the last revision at which it was seen live
	since      time.Time    // when tasks of it first waited here
	allocation coAllocation // of a gang
	stands     time.Time    // since when no task of it is anywhere and some could be
	vain       map[int]int  // times that a task was stopped before its image had come
	alone      uint64       // the attempt of a gang of which a task waited for the others in vain
}

// Jobs is what is known of jobs, be they over.
type Jobs interface {
	Job(id string) (store.JobRecord, bool)
	// Settled reports whether no task of a job can be anywhere any more.
	Settled(id string) bool
	// Unfolded reports whether jobs are over that may be folded.
	Unfolded() bool
	// Carried reports whether a part needs the ledgers of earlier groupings no more.
	Carried(part string) bool
	// Leftover names the slots of these.
	Leftover() []string
}

// Holder holds one part of the fleet under one term. Its methods are pure but
// for the lock: times and events come in, commands and transactions go out.
type Holder struct {
	cfg   *config.Config
	held  leadership.Held
	log   *slog.Logger
	known Jobs

	mu           sync.Mutex
	fleet        *fleet.Fleet
	types        []wire.MachineType
	ledger       *store.Ledger
	times        times
	round        uint64
	squeeze      int // halvings of what a round may hold, after one that did not fit
	contention   contention
	stalls       stallDetector
	wrote        time.Time // when a round was last decided
	awake        time.Time // when the holder last went on after it had stood still
	tended       time.Time // when the placements were last compared with the jobs
	knows        time.Time // every end of a job that was in the store by then is taken in
	sequence     uint64    // of attempts and asks within the term
	group        *fleet.Grouping
	others       map[string]PartStatus // of the parts that siblings hold, as last told
	edges        int                   // siblings that pass reports on to here
	status       PartStatus            // that was last told
	stood        time.Time
	outlook      outlook
	given        map[string]handed // tasks that were lately given to other parts
	names        names             // what the own ledger names
	grants       grants
	said         uint64 // up to which revision the ledger says that nothing is left of ended jobs
	number       uint64 // of the grouping
	past         *reshard.Past
	carry        carry
	implied      map[string]implied // shares of jobs whose records don't say them
	jobs         map[string]*history
	rentals      *autoscale.Book
	kickRent     chan struct{}
	dropAsks     map[string]bool           // asks to drop from the store
	dropMachines map[string]bool           // machine records to drop
	release      map[string]bool           // machines to release
	unstored     unstored                  // jobs with tasks that are done but not stored
	live         map[string]*store.LiveJob // of the last snapshot
	kick         chan struct{}
	kickDirect   chan struct{}
	called       map[string]called
	pace         *throttle.Pace   // of calls that can wait
	raising      int              // machines that are called now only to be heard
	raises       []*fleet.Machine // that siblings may call, as of a time
	raisesAt     time.Time
	trials       []trial     // of the last calls
	reachedAt    time.Time   // when a call from here was last answered
	rebuilt      bool        // every machine is accounted for
	resumed      bool        // every one but those that are silent
	states       *zone.Zones // of zones
	witnesses    map[string]zone.Witness
	lastIn       map[string]time.Time        // when a machine of each zone was last heard
	strays       map[string]time.Time        // and one that is of the fleet no more
	silenced     []silenced                  // machines that were given up for their silence
	left         zonerecovery.Room           // that the last plan has left
	spells       map[string]*scheduler.Stood // by machine
	hushed       map[string]time.Time        // zones of which hardly a machine is heard here, and since when
	returns      map[string]*zonerecovery.Plan
	uneven       bool                 // services are to be moved, by the last plan
	roused       map[string]time.Time // zones of which a machine was heard again, and when
	newTypes     bool
	claims       claims
	odd          Odd
	counts       map[string]Count
	counted      time.Time
}

// times holds what the holder waits for, as it follows from how often workers
// report: give or take a quarter of that, and a second or more for the way.
type times struct {
	fresh   time.Duration // age of a report up to which a machine is launched on
	direct  time.Duration // and up to which the launch goes straight to it
	overdue time.Duration // age from which on a machine is asked by a direct call
	silence time.Duration // age from which on a machine is given up
	mute    time.Duration // for which one that answers calls may send no report
}

func timesOf(c *config.Config) times {
	late := c.Workers.Report * 5 / 4
	return times{fresh: late + 2250*time.Millisecond, direct: late + 1250*time.Millisecond,
		overdue: c.Workers.Report * 7 / 5, silence: c.Silence(),
		mute: late + 5*time.Second} // a report may be lost, which takes 4 s and another
}

// answers bounds how long after its last confirmed renewal a holder answers at all. Siblings
// may end its lease at any time after that renewal, so that a claim may follow at once.
func answers(c *config.Config) time.Duration { return max(c.Workers.Linger(), c.Tuning.Lease) }

// New gives the holder of a claim, from a snapshot and the part's ledgers, which are not
// older.
func New(cfg *config.Config, held leadership.Held, snap store.Snapshot, left store.PartLedgers, types []wire.MachineType,
	known Jobs, now time.Time, log *slog.Logger) *Holder {
	ledger, last := store.NewLedger(left.Name, cfg.Store.ValueBytes, left.Own)
	h := &Holder{
		cfg: cfg, held: held, log: log.With("part", held.Part, "term", held.Term), known: known,
		fleet:  fleet.New(held.Term, now, cfg.Workers.Lease, answers(cfg), cfg.Cloud.ListLag),
		ledger: ledger, times: timesOf(cfg), types: types, round: last.Round, wrote: now,
		jobs: map[string]*history{}, rentals: autoscale.New(cfg.Cloud.RPS), kickRent: make(chan struct{}, 1), dropAsks: map[string]bool{}, dropMachines: map[string]bool{},
		release: map[string]bool{}, unstored: unstored{}, stalls: stallDetector{well: now},
		group: cfg.Grouping(), given: map[string]handed{}, number: left.Number, implied: map[string]implied{},
		kick: make(chan struct{}, 1), kickDirect: make(chan struct{}, 1), called: map[string]called{}, pace: throttle.New(),
		lastIn: map[string]time.Time{}, strays: map[string]time.Time{}, roused: map[string]time.Time{}, hushed: map[string]time.Time{},
	}
	h.past = reshard.NewPast(h.group, left)
	h.carryFrom(left.Carried, &last)
	h.recallZones(now, &last)
	h.recallReturns(now, &last)
	h.recallClaims(last.Claims)
	for _, id := range sortedKeys(last.Machines) { // in order, each is added at the end
		m := last.Machines[id]
		if h.group.PartOf(m.Zone, m.Type) == held.Part {
			h.fleet.Recall(now, id, m.Addr, m.Type, m.Zone, m.Spot, m.Session, unsettled(m.Tasks, known))
		}
	}
	for name, a := range last.Asks {
		h.rentals.Left(name, scheduler.Rent{Offer: scheduler.Offer{Type: a.Type, Zone: a.Zone, Spot: a.Spot}, Count: a.Count})
	}
	for id, done := range last.Finished {
		if snap.Live[id] == nil {
			ledger.ForgetJob(id, wire.MaxTasks)
			continue
		}
		j := h.history(id)
		for _, i := range done.Beyond(store.NewBits(0)) {
			j.finished.Set(i)
			j.stored.Set(i)
		}
		if !h.group.Whole() {
			h.unstored.add(id, h.round) // the rest may have been given away since
		}
	}
	h.live, h.knows = snap.Live, snap.Fresh
	h.carryFinished()
	for id, l := range h.live {
		if l.Record.CoAllocation >= store.CoAllocationFirst { // whether it was started here, nobody knows
			h.history(id).allocation.started = l.Record.CoAllocation
		}
	}
	h.log.Info("recalled", "machines", len(last.Machines), "asks", len(last.Asks), "ledger", ledger.String())
	return h
}

// unsettled leaves out the tasks of jobs that were folded: an earlier holder had
// proof that they are gone, whatever a machine's record, which is not written for
// that, still says.
func unsettled(tasks map[string]uint64, known Jobs) map[string]uint64 {
	out := make(map[string]uint64, len(tasks))
	for name, attempt := range tasks {
		if t, err := wire.ParseTaskID(name); err == nil && !known.Settled(t.Job) {
			out[name] = attempt
		}
	}
	return out
}

// Ending names the jobs of which a task is or may be on a machine, or whose end
// this holder has not taken in. Until the fleet is rebuilt, but for silent machines,
// nobody can tell: what may be on those is known by their records.
func (h *Holder) Ending() (jobs map[string]bool, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	jobs = make(map[string]bool)
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if !p.Past() {
				jobs[p.Task.Job] = true
			}
		}
	}
	for id, j := range h.jobs {
		if j.ended.IsZero() {
			jobs[id] = true
		}
	}
	return jobs, h.resumed
}

// Term is the holder's term.
func (h *Holder) Term() uint64 { return h.held.Term }

// Kick asks for a round soon.
func (h *Holder) Kick() {
	select {
	case h.kick <- struct{}{}:
	default:
	}
}

// Entitled reports whether reports may be answered: while the claim surely lasts or for
// a while after its last renewal, and for a while after the last time that this holder
// surely knew of every cancellation. A renewal says nothing of what is known: each answer
// lets a worker's tasks live for another lease, also those of a job of which a holder that
// is refused by the store, or whose view stands still, does not know that it was cancelled.
func (h *Holder) Entitled(now time.Time, valid bool, confirmed time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	linger := h.cfg.Workers.Linger()
	return (valid || now.Sub(confirmed) < linger) && now.Sub(h.knows) < linger
}

func (h *Holder) history(job string) *history {
	j := h.jobs[job]
	if j == nil {
		j = &history{failed: map[string]bool{}, finished: store.NewBits(0), stored: store.NewBits(0)}
		h.jobs[job] = j
	}
	return j
}

// SetTypes takes in the cloud's machine types.
func (h *Holder) SetTypes(t []wire.MachineType) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.types, h.newTypes = t, true
}

// Report takes in a worker's report and gives the answer to it; ok is false where there
// must be none. launch says whether the claim surely lasts.
func (h *Holder) Report(now time.Time, r *wire.Report, launch bool) (a wire.Answer, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.observe(now, r, true) || h.fleet.Lapses(now, r.Machine) {
		return a, false
	}
	cmds := h.fleet.Answer(now, r, launch)
	for _, c := range cmds {
		h.log.Debug("command", "verb", c.Verb, "task", c.Task, "attempt", c.Attempt, "machine", r.Machine)
	}
	return wire.Answer{Term: h.held.Term, Commands: cmds}, true
}

// Inspected takes in a report that came as the body of a direct call.
func (h *Holder) Inspected(now time.Time, r *wire.Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.observe(now, r, false)
}

// observe takes in a report, whichever way it came. One that is older than what is known
// shows nothing, and one that can't be is not even answered: what made it up may make up more.
func (h *Holder) observe(now time.Time, r *wire.Report, own bool) (ok bool) {
	if why := h.impossible(r); why != "" {
		h.odd.Impossible++
		h.log.Warn("impossible report", "machine", r.Machine, "session", r.Session, "number", r.Seq, "why", why)
		return false
	}
	if !h.fleet.News(r) {
		h.odd.Late++
		return true
	}
	h.hear(now, r.Machine)
	h.heardIn(now, r)
	h.take(now, h.fleet.Observe(now, r, own))
	return true
}

// impossible says what a report can't say, or nothing. Attempts are of terms up to this one;
// where the fleet is in parts, the holder of another may have given a gang's.
func (h *Holder) impossible(r *wire.Report) string {
	if r.Term > h.held.Term {
		return fmt.Sprintf("term %d, which nobody has claimed below this one", r.Term)
	}
	for _, t := range r.Tasks {
		term, n := t.Attempt>>24, t.Attempt&(1<<24-1)
		if h.group.Whole() && term > h.held.Term || term == h.held.Term && n > h.sequence {
			return fmt.Sprintf("task %s of attempt %d, which was never given", t.ID, t.Attempt)
		}
	}
	return ""
}

// Odd counts reports that changed nothing.
type Odd struct{ Late, Impossible uint64 }

// Odd tells how many reports changed nothing.
func (h *Holder) Odd() Odd {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.odd
}

// take deals with what reports and proofs have shown.
func (h *Holder) take(now time.Time, events []fleet.Event) {
	for _, e := range events {
		p := e.Placement
		if e.Gone {
			h.log.Info("task gone", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine)
		} else if p.State == fleet.Ended && !p.Settled {
			h.ended(now, p)
		} else if p.State == fleet.Running {
			h.log.Debug("task running", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "after", now.Sub(p.Placed))
		}
		// What a report shows for the first time, of a job that is known to be over, is
		// stopped by the answer to that report, which may be the last one for long.
		if m := h.fleet.Machine(p.Machine); m != nil && !e.Gone && p.Active() && p.Stop == nil && h.live[p.Task.Job] == nil {
			h.over(now, m, p)
		}
	}
	if len(events) > 0 || !h.rebuilt {
		h.Kick()
	}
}

func (h *Holder) ended(now time.Time, p *fleet.Placement) {
	j, m := h.history(p.Task.Job), h.fleet.Machine(p.Machine)
	h.log.Debug("task ended", "task", p.Task, "attempt", p.Attempt, "machine", p.Machine, "cause", p.Cause, "saved", p.Saved)
	if p.Cause == wire.CauseDone {
		clear(m.Faults)
		h.finish(p.Task, j)
		return
	}
	p.Settled = true
	switch p.Cause {
	case wire.CauseError:
		// Evidence about the machine and about the job: other jobs failing
		// here condemn the machine, this job failing elsewhere makes it wait.
		h.log.Info("task failed", "task", p.Task, "machine", p.Machine)
		m.Faults[p.Task.Job]++
		j.failed[p.Machine] = true
		j.failures++
		if len(m.Faults) >= 2 && m.Draining == "" {
			m.Draining = "different jobs fail on it"
			h.log.Warn("machine condemned", "machine", m.ID, "why", m.Draining)
		}
		if n := len(j.failed); n >= 3 {
			j.notBefore = now.Add(min(mostBackOff, time.Second<<min(n, 7)))
		}
	case wire.CauseAlone:
		j.alone = p.Attempt
	case wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown:
		h.log.Info("launch refused", "task", p.Task, "machine", p.Machine, "cause", p.Cause)
		j.notBefore = now.Add(time.Second)
	}
}

// mostBackOff bounds how long a job that fails again and again waits for its next try: it must not be
// left waiting beside machines on which it may do.
const mostBackOff = 45 * time.Second

// finish marks a task as done; the tasks of a gang complete together.
func (h *Holder) finish(t wire.TaskID, j *history) {
	j.finished.Set(t.Index)
	l := h.live[t.Job]
	gang := l != nil && l.Record.Job.Shape == wire.Gang
	h.spare(t, gang)
	if gang {
		for i := range l.Record.Tasks {
			j.finished.Set(i)
			h.spare(wire.TaskID{Job: t.Job, Index: i}, true)
		}
	}
	h.unstored.add(t.Job, h.round)
}

// Count is how many tasks of a job run and are done, for display.
type Count struct{ Running, Done int }

// countGap is how old the counts may be: users expect no more of them than to
// follow within a few seconds.
const countGap = time.Second

// Counts gives the counts of all live jobs that have any. The map is shared and
// never changed.
func (h *Holder) Counts(now time.Time) map[string]Count {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.counts != nil && now.Sub(h.counted) < countGap {
		return h.counts
	}
	out := make(map[string]Count, len(h.live))
	for id, j := range h.jobs {
		if n := j.stored.Count(); n > 0 && h.live[id] != nil {
			out[id] = Count{Done: n}
		}
	}
	for _, m := range h.fleet.Machines() {
		for _, p := range m.Placements() {
			if (p.State == fleet.Running || p.State == fleet.Saving) && h.live[p.Task.Job] != nil {
				c := out[p.Task.Job]
				c.Running++
				out[p.Task.Job] = c
			}
		}
	}
	h.counts, h.counted = out, now
	return out
}
