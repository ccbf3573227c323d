package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Where the tasks of a job find room: now, or soonest.

// undoEntry is what a try has changed of a machine.
type undoEntry struct {
	machine        *Machine
	free, stopping Resources
	loadByRank     [4]Resources
	usedByPlan     bool
	plannedFetches int
	task           int // that was marked as stopping, or -1
}

// recordUndo remembers a machine as it is before a change.
func (pl *planner) recordUndo(m *Machine, task int) {
	pl.undoLog = append(pl.undoLog, undoEntry{m, m.Free, m.stopping, m.loadByRank, m.usedByPlan, len(m.plannedFetches), task})
}

// allowsOffer reports whether a job's tasks may ever be on such a machine.
func allowsOffer(j *Job, o Offer) bool {
	return (len(j.Types) == 0 || slices.Contains(j.Types, o.Type)) && (j.Zone == "" || j.Zone == o.Zone) && (j.Spot || !o.Spot) && (j.SpreadRule == nil || j.SpreadRule.permitsZone(o.Zone))
}

// zoneAllowed reports whether one more task of a job may be in a zone, given
// where its tasks are, old attempts included.
func zoneAllowed(j *Job, in map[string]int, zone string) bool {
	if j.OneZone {
		for z, n := range in {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	return !j.Spread || in[zone] < (j.Tasks+1)/2
}

// search looks for machines for the tasks of one job, or for one try of it in
// one zone. Room only shrinks meanwhile, so that what did not fit is not looked
// at again.
type search struct {
	planner       *planner
	job           *Job
	need          Resources
	tasksByZone   map[string]int // tasks by zone
	zone          string         // the only one, or empty
	maxShareCost  float64        // price of a task's share of a new machine, 0 for none
	allowedOffers []bool         // by offer

	spotOnly     bool
	scanned      bool
	withImage    []candidate // with the image and room
	withoutImage []*Machine  // with room
	deferred     []*Machine  // with room, where an image comes that this one's would slow down

	costByOffer      []float64 // by offer
	offersByCost     []int     // offers, the cheapest first
	bootingCursor    []int     // by offer, the booting machines that did not fit
	noPreempt        bool
	waitsForTurnover bool // next has found room that comes free, on no machine in particular
}

// candidate is a machine with what placing a task there spoils.
type candidate struct {
	*Machine
	valueLost float64
	cost      float64 // of a task's share, by the offer
}

func (pl *planner) newSearch(j *Job, in map[string]int, zone string) *search {
	s := &search{planner: pl, job: j, need: ResourcesOf(j.Job), tasksByZone: in, zone: zone, allowedOffers: make([]bool, len(pl.offers))}
	for i, o := range pl.offers {
		s.allowedOffers[i] = allowsOffer(j, o) && (zone == "" || zone == o.Zone)
	}
	return s
}

// permitsOffer reports whether the job may use an offer.
func (s *search) permitsOffer(offer int) bool {
	if offer < len(s.allowedOffers) {
		return s.allowedOffers[offer]
	}
	o := s.planner.offers[offer] // new since the search began
	return allowsOffer(s.job, o) && (s.zone == "" || s.zone == o.Zone)
}

// permitsMachine reports whether one more task may be on a machine, room aside.
func (s *search) permitsMachine(m *Machine) bool {
	return s.permitsOffer(m.offerIndex) && !s.job.AvoidMachines[m.ID] && zoneAllowed(s.job, s.tasksByZone, m.Zone)
}

func (s *search) scan() {
	s.scanned = true
	s.priceOffers()
	for _, m := range s.planner.usable {
		if !s.allowedOffers[m.offerIndex] || s.spotOnly && !m.Spot || !m.Free.Fits(s.need) || s.job.AvoidMachines[m.ID] {
			continue
		}
		if m.hasImage(s.job.Image) {
			s.withImage = append(s.withImage, candidate{m, s.planner.valueLost(m, s.need), s.costByOffer[m.offerIndex]})
		} else if m.defersFetch(s.job) {
			s.deferred = append(s.deferred, m)
		} else {
			s.withoutImage = append(s.withoutImage, m)
		}
	}
}

// countSlots counts how many tasks have room now, up to a number.
func (s *search) countSlots(most int) int {
	n := 0
	for _, c := range s.withImage {
		n += c.Free.Slots(s.need)
	}
	for _, m := range s.withoutImage {
		if n >= most {
			break
		}
		n += m.Free.Slots(s.need)
	}
	return n
}

// bestFit picks the machine for a task: one that holds the image or fetches
// it, else the roomiest of a zone. Among holders the one is taken whose room is
// spoilt least, and among zones the one whose roomiest machine is the fullest.
func (s *search) bestFit() *Machine {
	if !s.scanned {
		s.scan()
	}
	if s.job.SpreadRule != nil {
		return s.bestFitEvenly()
	}
	best := -1
	for i, c := range s.withImage {
		if zoneAllowed(s.job, s.tasksByZone, c.Zone) && (best < 0 || betterCandidate(s.job, c, s.withImage[best])) {
			best = i
		}
	}
	if best >= 0 {
		return s.withImage[best].Machine
	}
	roomiest := make(map[string]*Machine)
	for _, m := range s.withoutImage {
		if r := roomiest[m.Zone]; r == nil || emptierMachine(s.job, m, r) {
			roomiest[m.Zone] = m
		}
	}
	var pick *Machine
	for _, zone := range slices.Sorted(maps.Keys(roomiest)) {
		m := roomiest[zone]
		if zoneAllowed(s.job, s.tasksByZone, zone) && (pick == nil || pick.reservedForOther(s.job) && !m.reservedForOther(s.job) || s.tasksByZone[zone] < s.tasksByZone[pick.Zone] && s.job.Spread || s.tasksByZone[zone] == s.tasksByZone[pick.Zone] && fuller(s.job, m, pick)) {
			pick = m
		}
	}
	return pick
}

// place occupies a machine for a task.
func (s *search) place(m *Machine) {
	s.planner.occupy(s.job, m)
	if s.job.Shape == wire.Array {
		after := s.job.Estimate()
		if t := s.planner.types[m.Type]; t != nil && !m.Usable {
			after += wire.Seconds(t.BootS)
		}
		s.planner.addTurnover(m.offerIndex, after, s.need, turnoverShare)
	}
	s.tasksByZone[m.Zone]++
	if !s.scanned {
		return
	}
	i := slices.IndexFunc(s.withImage, func(c candidate) bool { return c.Machine == m })
	if i < 0 {
		if k := slices.Index(s.withoutImage, m); k >= 0 {
			s.withoutImage = slices.Delete(s.withoutImage, k, k+1)
			i, s.withImage = len(s.withImage), append(s.withImage, candidate{Machine: m, cost: s.costByOffer[m.offerIndex]})
		}
	}
	switch {
	case i < 0:
	case m.Free.Fits(s.need):
		s.withImage[i].valueLost = s.planner.valueLost(m, s.need)
	default:
		s.withImage = slices.Delete(s.withImage, i, i+1)
	}
}

// placeTasks places the tasks of an array or a service one by one.
func (pl *planner) placeTasks(j *Job) {
	team, need := pl.Teams[j.Team], ResourcesOf(j.Job)
	if team == nil {
		return
	}
	s := pl.newSearch(j, j.InZone, "")
	waiting := s.launchNow(j.Waiting[j.launchedEarly:])
	if len(waiting) > 0 && !team.allows(need) {
		if pl.reportQuotaDemand(j, len(waiting)); pl.worthReservingQuota(j, need) {
			team.consume(need) // its next task goes before smaller ones that stand behind it
		}
		return
	}
	coming, none, launching := 0, 0, pl.LaunchBudget > 0
	for k := range waiting {
		if !team.allows(need) {
			pl.reportQuotaDemand(j, len(waiting)-k)
			break
		}
		if pl.useRemoteCapacity(j, 1) { // it goes there, rather than have more rented here
			team.consume(need)
			coming++
			continue
		}
		m := s.soonestMachine()
		if m == nil && !s.waitsForTurnover {
			none = len(waiting) - k
			break
		}
		if m == nil || !m.Usable {
			coming++
		}
		if m != nil {
			s.place(m)
		}
		team.consume(need)
	}
	if launching {
		pl.reportUnplaced(j, coming, none)
	}
}

// launchNow launches tasks where there is room now, in order, and gives back the rest.
func (s *search) launchNow(waiting []int) []int {
	pl, j, far := s.planner, s.job, false
	for team := pl.Teams[j.Team]; len(waiting) > 0 && pl.LaunchBudget > 0 && team.allows(s.need); waiting = waiting[1:] {
		m := s.bestFit()
		if m == nil {
			break
		}
		if !far && !m.hasImage(j.Image) {
			if soon := s.preemptNearImage(); soon != nil {
				s.place(soon)
				team.consume(s.need)
				continue
			}
			far = true
		}
		pl.plan.Launches = append(pl.plan.Launches, Launch{j, waiting[0], m.ID})
		pl.LaunchBudget--
		s.place(m)
		team.consume(s.need)
	}
	return waiting
}

// longFetch is a fetch that takes longer than lesser work takes to end.
const longFetch = 6 * time.Second

// preemptNearImage makes room for a production task where its image is, rather than
// have it wait for a long fetch beside others; nil means that there is none.
// Its replicas would be away for that fetch, which is longer still when
// several images come to one machine at once.
func (s *search) preemptNearImage() *Machine {
	if s.job.Priority != wire.Production || s.planner.fetchTime(s.job) < longFetch || s.job.SpreadRule != nil {
		return nil
	}
	near := func(m *Machine) bool { return m.hasImage(s.job.Image) && s.permitsMachine(m) }
	if m := s.planner.stoppingMachine(s.need, near); m != nil {
		return m
	}
	return s.planner.preempt(s.job, s.need, near)
}

// stoppingMachine finds a machine that has room once what is stopping is gone.
func (pl *planner) stoppingMachine(need Resources, ok func(*Machine) bool) *Machine {
	for _, m := range pl.stoppingMachines {
		if m.Free.AddScaled(m.stopping, 1).Fits(need) && ok(m) {
			return m
		}
	}
	return nil
}

func (pl *planner) occupy(j *Job, m *Machine) {
	pl.recordUndo(m, -1)
	m.Free = m.Free.AddScaled(ResourcesOf(j.Job), -1)
	m.usedByPlan = true
	if !m.hasImage(j.Image) {
		m.plannedFetches = append(m.plannedFetches, Fetch{j.Image, j.Priority == wire.Production})
	}
}

// betterCandidate reports whether a is to be taken rather than b.
func betterCandidate(j *Job, a, b candidate) bool {
	if ka, kb := a.reservedForOther(j), b.reservedForOther(j); ka != kb {
		return kb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ea, eb := a.empty(), b.empty(); ea != eb {
		return eb // an empty machine may be returned
	}
	if ca, cb := a.isFetching(j.Image), b.isFetching(j.Image); j.Priority == wire.Production && ca != cb {
		return cb
	}
	if math.Abs(a.cost-b.cost) > 1e-6*(a.cost+b.cost) {
		return a.cost < b.cost // so that the dear ones fall empty first
	}
	if math.Abs(a.valueLost-b.valueLost) > 1e-6*(a.valueLost+b.valueLost) {
		return a.valueLost < b.valueLost
	}
	return fuller(j, a.Machine, b.Machine)
}

// fuller reports whether a is the better of two machines for keeping others
// free: cheap ones first where the job may, then the one with less room.
func fuller(j *Job, a, b *Machine) bool {
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	return cmp.Or(cmp.Compare(a.Free.GPUs, b.Free.GPUs), cmp.Compare(a.Free.CPUs, b.Free.CPUs), cmp.Compare(a.ID, b.ID)) < 0
}

// emptierMachine reports whether a is the better of two machines for a task that must
// fetch its image: cheap ones first here too, then the one with more room.
func emptierMachine(j *Job, a, b *Machine) bool {
	if ka, kb := a.reservedForOther(j), b.reservedForOther(j); ka != kb {
		return kb
	}
	if j.Spot && a.Spot != b.Spot {
		return a.Spot
	}
	if ca, cb := a.fetchesNothing(), b.fetchesNothing(); j.Priority == wire.Production && ca != cb {
		return ca
	}
	return fuller(j, b, a)
}
