// Package tier says who is ahead, what is guaranteed, what is lent, and what is claimed
// back. It is pure: pictures and times come in, and what is promised goes out as records
// of a round.
package tier

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// Share is what a tier is guaranteed: a number of cards, or a part of those that there are.
type Share struct{ Cards, Fraction float64 }

// Of gives the share of so many cards.
func (s Share) Of(cards float64) float64 {
	if s.Fraction > 0 {
		return math.Floor(s.Fraction*cards + 1e-6)
	}
	return s.Cards
}

func (s Share) String() string {
	if s.Fraction > 0 {
		return strconv.FormatFloat(s.Fraction*100, 'g', -1, 64) + "%"
	}
	return strconv.FormatFloat(s.Cards, 'g', -1, 64)
}

// Tier is a tier of work. An empty list allows all.
type Tier struct {
	Name          string
	Order         int // the least is ahead
	Priorities    []string
	Classes       []string
	Teams         []string
	InTeam        bool             // only work within its team's guarantee
	Share         Share            // in all
	Zones         map[string]Share // of each zone
	ReclaimWithin time.Duration    // bound in which what was lent comes back
	LendsTo       []string         // tiers that may use what the share has free; nil stands for all
}

// hasGuarantee reports whether anything is guaranteed to the tier.
func (t *Tier) hasGuarantee() bool { return t.Share != (Share{}) || len(t.Zones) > 0 }

// lendsToTier reports whether a tier may use what the share has free.
func (t *Tier) lendsToTier(to string) bool { return t.LendsTo == nil || slices.Contains(t.LendsTo, to) }

// canonical tells all of a tier in one way, whatever order the lists were written in.
func (t *Tier) canonical() string {
	list := func(names []string) string { return strings.Join(slices.Sorted(slices.Values(names)), ",") }
	zones := make([]string, 0, len(t.Zones))
	for _, z := range slices.Sorted(maps.Keys(t.Zones)) {
		zones = append(zones, z+"="+t.Zones[z].String())
	}
	return fmt.Sprintf("%s %d priority=%s class=%s team=%s inteam=%v cards=%v zones=%s within=%v lend=%s,%v", t.Name, t.Order, list(t.Priorities),
		list(t.Classes), list(t.Teams), t.InTeam, t.Share, strings.Join(zones, ","), t.ReclaimWithin, list(t.LendsTo), t.LendsTo == nil)
}

// Workload is what a tier is told by.
type Workload struct {
	Priority    wire.Priority
	Class, Team string
	Service     bool
	Guaranteed  bool // within its team's guarantee
}

func (t *Tier) matches(w Workload) bool {
	in := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return in(t.Priorities, string(w.Priority)) && in(t.Classes, w.Class) && in(t.Teams, w.Team) && (!t.InTeam || w.Guaranteed)
}

// Set is all tiers in their order, the first ahead. Behind them stands what is in none.
type Set struct {
	Tiers      []Tier
	configured bool
}

// restName is the tier of what is in no other. It is lent to, like any.
const restName = "rest"

// Default gives the order without settings: production, what a team is guaranteed, and then
// by priority.
func Default() *Set {
	of := func(p wire.Priority) Tier { return Tier{Name: string(p), Priorities: []string{string(p)}} }
	return newSet([]Tier{of(wire.Production), {Name: "guaranteed", InTeam: true}, of(wire.High), of(wire.Normal), of(wire.Low)})
}

// New gives the tiers that operators have set, or the default where they have set none.
func New(tiers []Tier) *Set {
	if len(tiers) == 0 {
		return Default()
	}
	tiers = slices.Clone(tiers)
	slices.SortStableFunc(tiers, func(a, b Tier) int { return cmp.Or(cmp.Compare(a.Order, b.Order), cmp.Compare(a.Name, b.Name)) })
	s := newSet(tiers)
	s.configured = true
	return s
}

func newSet(tiers []Tier) *Set {
	return &Set{Tiers: append(tiers, Tier{Name: restName, Order: math.MaxInt})}
}

// Configured reports whether operators have set tiers.
func (s *Set) Configured() bool { return s != nil && s.configured }

// IndexOf gives the place of a work's tier: the first that has it.
func (s *Set) IndexOf(w Workload) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.matches(w) })
}

// InFirst reports whether a job is of the first tier, as far as the job itself can tell.
func (s *Set) InFirst(j *wire.Job) bool {
	return s.IndexOf(Workload{Priority: j.Priority, Class: j.Class, Team: j.Team, Service: j.Shape == wire.Service}) == 0
}

// PerShard gives the tiers for each of several parts of the fleet: numbers of cards are dealt
// out evenly, those of a zone only where it is of several parts. Shares are of a part's own
// cards, so that the sum is never passed.
func (s *Set) PerShard(shards int, zoned bool) *Set {
	out := &Set{slices.Clone(s.Tiers), s.configured}
	for i := range out.Tiers {
		t := &out.Tiers[i]
		t.Share.Cards /= float64(shards)
		t.Zones = maps.Clone(t.Zones)
		for z, share := range t.Zones {
			if !zoned {
				share.Cards /= float64(shards)
			}
			t.Zones[z] = share
		}
	}
	return out
}

// Lends reports whether a tier lends what it has free of its share to another.
func (s *Set) Lends(from, to int) bool { return s.Tiers[from].lendsToTier(s.Tiers[to].Name) }

// IndexOfName gives the place of a tier, that of the last where there is none of the name.
func (s *Set) IndexOfName(name string) int {
	if i := slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name }); i >= 0 {
		return i
	}
	return len(s.Tiers) - 1
}

// Digest tells in short how the tiers are set; it is empty for the default.
func (s *Set) Digest() string {
	if !s.Configured() {
		return ""
	}
	h := sha256.New()
	for i := range s.Tiers {
		fmt.Fprintln(h, s.Tiers[i].canonical())
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// MayPreempt is the protocol's rule of what may be stopped for a work: what is of lesser
// priority, or beyond its own team's guarantee for one within it. Tiers never go further.
func MayPreempt(by, victim *Workload, beyondQuota bool) bool {
	return victim.Priority.Rank() < by.Priority.Rank() || by.Guaranteed && victim.Team != by.Team && !victim.Service && beyondQuota
}
