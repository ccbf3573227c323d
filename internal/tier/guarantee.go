package tier

import (
	"maps"
	"slices"
)

// Guarantee is the number of cards (GPUs) that a tier is guaranteed, in total and by zone.
type Guarantee struct {
	Total float64
	Zones map[string]float64
}

// Guarantees returns what each tier is guaranteed, given the number of cards in each zone. If not all guarantees
// can be met, the tiers that come last in the order are reduced first; tiers of the same order are reduced in
// proportion to their guarantees. A guarantee in a zone is part of the tier's total.
func (s *Set) Guarantees(cards map[string]float64) []Guarantee {
	out := make([]Guarantee, len(s.Tiers))
	unassigned := remaining{zones: maps.Clone(cards)}
	for _, n := range cards {
		unassigned.total += n
	}
	totalCards := unassigned.total
	for i := 0; i < len(s.Tiers); {
		n := i + 1
		for n < len(s.Tiers) && s.Tiers[n].Order == s.Tiers[i].Order {
			n++
		}
		group := s.Tiers[i:n]
		if slices.ContainsFunc(group, func(t Tier) bool { return t.hasGuarantee() }) {
			unassigned.grantZones(group, cards, out[i:n])
			unassigned.grantTotals(group, totalCards, out[i:n])
		}
		i = n
	}
	return out
}

// remaining counts the cards that are not assigned to any tier's guarantee yet.
type remaining struct {
	zones map[string]float64
	total float64
}

// grantZones assigns cards to the guarantees in each zone for tiers of the same order, as far as cards remain.
func (r *remaining) grantZones(group []Tier, cards map[string]float64, out []Guarantee) {
	for _, zone := range slices.Sorted(maps.Keys(cards)) {
		wants := make([]float64, len(group))
		for k := range group {
			wants[k] = group[k].Zones[zone].Of(cards[zone])
		}
		for k, got := range scaleToFit(wants, min(r.zones[zone], r.total)) {
			if got <= 0 {
				continue
			}
			if out[k].Zones == nil {
				out[k].Zones = make(map[string]float64)
			}
			out[k].Zones[zone] = got
			out[k].Total += got
			r.zones[zone] -= got
			r.total -= got
		}
	}
}

// grantTotals assigns cards to the total guarantees of tiers of the same order, less what grantZones has already
// assigned to them.
func (r *remaining) grantTotals(group []Tier, totalCards float64, out []Guarantee) {
	wants := make([]float64, len(group))
	for k := range group {
		wants[k] = max(0, group[k].Share.Of(totalCards)-out[k].Total)
	}
	for k, got := range scaleToFit(wants, r.total) {
		out[k].Total += got
		r.total -= got
	}
}

// scaleToFit returns the wanted amounts, scaled down in proportion if their sum exceeds what is available.
func scaleToFit(wants []float64, available float64) []float64 {
	sum := 0.0
	for _, w := range wants {
		sum += w
	}
	if sum <= available || sum == 0 {
		return wants
	}
	out := make([]float64, len(wants))
	for i, w := range wants {
		out[i] = w * max(0, available) / sum
	}
	return out
}

// Usage counts the cards that each tier uses, in total and by zone. Tiers are given by index.
type Usage struct {
	Total []float64
	Zones []map[string]float64
}

// NewUsage returns a Usage for the tiers of the set, with no cards in use.
func (s *Set) NewUsage() *Usage {
	u := &Usage{Total: make([]float64, len(s.Tiers)), Zones: make([]map[string]float64, len(s.Tiers))}
	for i := range u.Zones {
		u.Zones[i] = make(map[string]float64)
	}
	return u
}

// Add records that a tier uses more cards in a zone.
func (u *Usage) Add(tier int, zone string, cards float64) {
	u.Total[tier] += cards
	u.Zones[tier][zone] += cards
}

// epsilon is the largest difference that counts as a rounding error: sums of fractions of cards are inexact.
const epsilon = 1e-6

// UnusedGuarantee returns how many cards of its guarantee a tier does not use. The count is for work that must run in
// the given zone, or for work that can run in any zone if zone is "".
func UnusedGuarantee(guarantee Guarantee, u *Usage, tier int, zone string) float64 {
	unused := guarantee.Total - u.Total[tier]
	for z, n := range guarantee.Zones {
		if zone == "" || zone == z {
			unused = max(unused, n-u.Zones[tier][z])
		}
	}
	return max(0, unused)
}

// CanSpare reports whether a tier still has its guarantee after it loses total cards overall, of which inZone are in
// the given zone. Preemption takes only what a tier uses beyond its guarantee.
func CanSpare(guarantee Guarantee, u *Usage, tier int, zone string, total, inZone float64) bool {
	return u.Total[tier]-total >= guarantee.Total-epsilon && u.Zones[tier][zone]-inZone >= guarantee.Zones[zone]-epsilon
}

// Status compares the cards that a tier uses with its share. Controllers send it to each other, so the names of its
// fields are part of the protocol.
type Status struct {
	Cards   float64 // cards in use
	Share   float64 // cards guaranteed
	Lent    float64 // cards of the share that other tiers use
	Waiting int     // waiting tasks
	Claims  int     // jobs for which tasks are being preempted
}

// Add returns the sum of the status and that of the same tier in another shard.
func (s Status) Add(other Status) Status {
	return Status{s.Cards + other.Cards, s.Share + other.Share, s.Lent + other.Lent, s.Waiting + other.Waiting, s.Claims + other.Claims}
}

// FillLent sets the Lent field of each status. A tier lends the part of its share that it does not use, less that
// tier's proportional part of the free cards.
func FillLent(statuses []Status, free float64) {
	unused := 0.0
	for _, s := range statuses {
		unused += max(0, s.Share-s.Cards)
	}
	if unused == 0 {
		return
	}
	lentFraction := max(0, unused-free) / unused
	for i := range statuses {
		statuses[i].Lent = max(0, statuses[i].Share-statuses[i].Cards) * lentFraction
	}
}
