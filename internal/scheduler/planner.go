package scheduler

import (
	"math"
	"slices"

	"amberdeal.example/amberdeal/wire"
)

// planner carries a plan in the making. A fleet has thousands of machines, and
// most jobs fit few of them: what a job could use is looked up once and kept in
// a search, and a try that fails is undone by what it changed.
type planner struct {
	*Snapshot
	plan             Plan
	types            map[string]*wire.MachineType
	classes          []classProfile
	offers           []Offer
	usable           []*Machine
	booting          [][]*Machine // by offer, also the hypothetical ones
	stoppingMachines []*Machine   // of which tasks are being stopped
	newMachines      []*Machine   // hypothetical machines that would be rented
	machinesInZone   map[string]int
	requested        map[Offer]int // hypothetical machines, by offer
	lowestRank       int           // the least rank of a running job
	undoLog          []undoEntry
	searchBudget     int            // machines that may still be looked at closely
	serviceClasses   []*Job         // one of each class, once asked for
	headroomByClass  map[string]int // tasks for which room is held on machines that are there, by class
	turnover         turnover

	reservingGangs  []*Job               // gangs, in their turn
	serviceUsage    map[string]Resources // what services take, by team, once asked for
	productionWaits bool                 // production waits
	tiering         *tiering             // nil where none are set
}

// maxSearchBudget bounds how many machines a plan looks at closely, to stop lesser work
// or to hold room that is to come: enough for any fleet in a quiet minute. What
// comes later in the order is looked at in the next round.
const maxSearchBudget = 100_000

// Schedule makes the plan for a picture, whose machines and teams it changes.
func Schedule(p *Snapshot) Plan {
	pl := &planner{Snapshot: p, types: make(map[string]*wire.MachineType), machinesInZone: make(map[string]int), lowestRank: math.MaxInt, searchBudget: maxSearchBudget}
	for i := range p.Types {
		pl.types[p.Types[i].Name] = &p.Types[i]
	}
	teams := make(map[string]Team, len(p.Teams)) // as they are, without what the plan holds
	for name, t := range p.Teams {
		teams[name] = *t
	}
	pl.indexMachines()
	pl.sortJobs()
	pl.profileClasses()
	pl.countTurnover()
	pl.reserveMachines()
	queue := pl.buildQueue()
	pl.launchFirstReplicas()
	held := false
	for _, j := range queue {
		if pl.beginJob(j, true); len(j.Waiting) == 0 || j.Terminating || j.MaybeRunning && j.reservationTurn == 0 {
			continue
		}
		pl.undoLog = pl.undoLog[:0]
		if !held && j.Priority != wire.Production && (j.reservationTurn == 0 || j.Shape == wire.Array) && !pl.needsHeadroom(j) {
			pl.reserveHeadroom()
			held = true
		}
		if j.Shape == wire.Gang {
			pl.placeGang(j)
		} else {
			pl.placeTasks(j)
		}
	}
	if !held {
		pl.reserveHeadroom()
	}
	pl.admitStarved(teams)
	pl.planScaleOut()
	pl.planScaleIn()
	pl.reportFreeCapacity()
	pl.planReclaims()
	pl.rebalanceServices()
	pl.sumSpareCapacity()
	return pl.plan
}

// indexMachines sorts the machines by what they are good for.
func (pl *planner) indexMachines() {
	for _, m := range pl.Machines {
		m.offerIndex = pl.offerIndex(Offer{m.Type, m.Zone, m.Spot})
		pl.machinesInZone[m.Zone]++
		for _, t := range m.Tasks {
			if t.Stopping && t.StopOverdue {
				continue
			}
			if t.Stopping {
				m.stopping = m.stopping.AddScaled(ResourcesOf(t.Job.Job), 1)
			} else {
				rank := t.Job.Priority.Rank()
				pl.lowestRank = min(pl.lowestRank, rank)
				m.loadByRank[rank] = m.loadByRank[rank].AddScaled(ResourcesOf(t.Job.Job), 1)
			}
		}
		switch {
		case m.Usable:
			pl.usable = append(pl.usable, m)
			if m.stopping != (Resources{}) {
				pl.stoppingMachines = append(pl.stoppingMachines, m)
			}
		case m.Booting:
			pl.booting[m.offerIndex] = append(pl.booting[m.offerIndex], m)
		}
	}
}

func (pl *planner) offerIndex(o Offer) int {
	i := slices.Index(pl.offers, o)
	if i < 0 {
		i = len(pl.offers)
		pl.offers, pl.booting = append(pl.offers, o), append(pl.booting, nil)
	}
	return i
}
