// Package tier orders work by the tiers that operators configure: which work is served first, how many GPUs each tier
// is guaranteed, which of them are lent to other tiers while the tier does not need them, and which tasks are
// preempted to reclaim them. It does no I/O: snapshots and times are arguments, and preemptions are records that the
// leader writes in a scheduling round before anything is stopped.
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

// Share is the guarantee of a tier as configured: a number of cards (GPUs), or a fraction of those that exist.
type Share struct{ Cards, Fraction float64 }

// Of returns the number of cards guaranteed out of the given number.
func (s Share) Of(cards float64) float64 {
	if s.Fraction > 0 {
		return math.Floor(s.Fraction*cards + 1e-6) // 30% of 10 might be 2 otherwise
	}
	return s.Cards
}

// String returns the share in the notation of the settings file.
func (s Share) String() string {
	if s.Fraction > 0 {
		return strconv.FormatFloat(s.Fraction*100, 'g', -1, 64) + "%"
	}
	return strconv.FormatFloat(s.Cards, 'g', -1, 64)
}

// Tier is the configuration of one tier. An empty list of priorities, classes or teams admits all.
type Tier struct {
	Name          string
	Order         int // tiers with a lower order are served first
	Priorities    []string
	Classes       []string
	Teams         []string
	InTeam        bool             // whether only work within its team's guarantee is admitted
	Share         Share            // guarantee out of all cards
	Zones         map[string]Share // guarantee out of the cards of each zone
	ReclaimWithin time.Duration    // upper bound on the time to reclaim lent cards
	LendsTo       []string         // tiers that may use the unused part of the share; nil means all tiers
}

// hasGuarantee reports whether the tier has any guarantee.
func (t *Tier) hasGuarantee() bool { return t.Share != (Share{}) || len(t.Zones) > 0 }

// lendsToTier reports whether another tier may use the unused part of the share.
func (t *Tier) lendsToTier(to string) bool { return t.LendsTo == nil || slices.Contains(t.LendsTo, to) }

// canonical returns a full description of the tier that does not depend on the order of its lists. Digests are
// computed from it, so all versions of the program must produce the same text.
func (t *Tier) canonical() string {
	list := func(names []string) string { return strings.Join(slices.Sorted(slices.Values(names)), ",") }
	zones := make([]string, 0, len(t.Zones))
	for _, z := range slices.Sorted(maps.Keys(t.Zones)) {
		zones = append(zones, z+"="+t.Zones[z].String())
	}
	return fmt.Sprintf("%s %d priority=%s class=%s team=%s inteam=%v cards=%v zones=%s within=%v lend=%s,%v", t.Name, t.Order, list(t.Priorities),
		list(t.Classes), list(t.Teams), t.InTeam, t.Share, strings.Join(zones, ","), t.ReclaimWithin, list(t.LendsTo), t.LendsTo == nil)
}

// Workload holds the attributes of a job that decide its tier.
type Workload struct {
	Priority    wire.Priority
	Class, Team string
	Service     bool
	Guaranteed  bool // whether the job is within its team's guarantee
}

func (t *Tier) matches(w Workload) bool {
	in := func(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
	return in(t.Priorities, string(w.Priority)) && in(t.Classes, w.Class) && in(t.Teams, w.Team) && (!t.InTeam || w.Guaranteed)
}

// Set is all tiers in the order in which they are served. The last tier holds the work that no other tier admits.
type Set struct {
	Tiers      []Tier
	configured bool
}

// catchAllName is the name of the tier for work that no other tier admits. Cards may be lent to it as to any other.
const catchAllName = "rest"

// Default returns the tiers that apply if none are configured: production work, then work within its team's guarantee,
// then other work by priority.
func Default() *Set {
	of := func(p wire.Priority) Tier { return Tier{Name: string(p), Priorities: []string{string(p)}} }
	return newSet([]Tier{of(wire.Production), {Name: "guaranteed", InTeam: true}, of(wire.High), of(wire.Normal), of(wire.Low)})
}

// New returns the configured tiers, or the default ones if none are configured.
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
	return &Set{Tiers: append(tiers, Tier{Name: catchAllName, Order: math.MaxInt})}
}

// Configured reports whether tiers are configured.
func (s *Set) Configured() bool { return s != nil && s.configured }

// IndexOf returns the index of the first tier that admits the workload.
func (s *Set) IndexOf(w Workload) int {
	return slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.matches(w) })
}

// InFirstTier reports whether a job belongs to the first tier, without regard to its team's guarantee.
func (s *Set) InFirstTier(j *wire.Job) bool {
	return s.IndexOf(Workload{Priority: j.Priority, Class: j.Class, Team: j.Team, Service: j.Shape == wire.Service}) == 0
}

// PerShard returns the tiers as they apply to each of the given number of shards of the fleet. Numbers of cards are
// divided evenly; those of a zone are divided only if zones span shards (zoned is false). Fractions apply to the
// shard's own cards, so their sum over all shards never exceeds the configured fraction.
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

// Lends reports whether a tier lends the unused part of its share to another. Both are given by index.
func (s *Set) Lends(from, to int) bool { return s.Tiers[from].lendsToTier(s.Tiers[to].Name) }

// IndexOfName returns the index of the tier with the given name, or of the last tier if the name is unknown.
func (s *Set) IndexOfName(name string) int {
	if i := slices.IndexFunc(s.Tiers, func(t Tier) bool { return t.Name == name }); i >= 0 {
		return i
	}
	return len(s.Tiers) - 1
}

// Digest identifies the configuration of the tiers. It is empty if none are configured.
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

// MayPreempt reports whether the protocol allows the victim to be preempted: it has lower priority, or it is beyond
// its team's guarantee while the preempting job is within the guarantee of another team. A service is preempted only
// by priority. Tiers never allow more.
func MayPreempt(by, victim *Workload, beyondQuota bool) bool {
	return victim.Priority.Rank() < by.Priority.Rank() || by.Guaranteed && victim.Team != by.Team && !victim.Service && beyondQuota
}
