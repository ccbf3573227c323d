package tier

import (
	"maps"
	"slices"
)

// Guarantee is the number of cards that a tier's guarantee comes to.
type Guarantee struct {
	Total float64
	Zones map[string]float64
}

// Guarantees returns what each tier is guaranteed with the given cards in each zone. If not all guarantees
// can be met, the last tiers in the order get less first; tiers of the same order share in
// proportion to what they are guaranteed. A guarantee in a zone is part of the tier's total.
func (s *Set) Guarantees(cards map[string]float64) []Guarantee {
	out := make([]Guarantee, len(s.Tiers))
	left := remaining{zones: maps.Clone(cards)}
	for _, n := range cards {
		left.total += n
	}
	all := left.total
	for i := 0; i < len(s.Tiers); {
		n := i + 1
		for n < len(s.Tiers) && s.Tiers[n].Order == s.Tiers[i].Order {
			n++
		}
		group := s.Tiers[i:n]
		if slices.ContainsFunc(group, func(t Tier) bool { return t.hasGuarantee() }) {
			left.grantZones(group, cards, out[i:n])
			left.grantTotals(group, all, out[i:n])
		}
		i = n
	}
	return out
}

// remaining is the cards that are not guaranteed to any tier yet.
type remaining struct {
	zones map[string]float64
	total float64
}

// grantZones meets the guarantees of tiers of one order in each zone, as far as the cards last.
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

// grantTotals meets what the zones leave of the total guarantees of tiers of one order.
func (r *remaining) grantTotals(group []Tier, all float64, out []Guarantee) {
	more := make([]float64, len(group))
	for k := range group {
		more[k] = max(0, group[k].Share.Of(all)-out[k].Total)
	}
	for k, got := range scaleToFit(more, r.total) {
		out[k].Total += got
		r.total -= got
	}
}

// scaleToFit divides what is available in proportion to what is wanted.
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

// Usage is the cards that each tier uses, in total and by zone.
type Usage struct {
	Total []float64
	Zones []map[string]float64
}

// NewUsage returns a count for all tiers of the set with nothing used.
func (s *Set) NewUsage() *Usage {
	u := &Usage{Total: make([]float64, len(s.Tiers)), Zones: make([]map[string]float64, len(s.Tiers))}
	for i := range u.Zones {
		u.Zones[i] = make(map[string]float64)
	}
	return u
}

// Add adds cards that a tier uses.
func (u *Usage) Add(tier int, zone string, cards float64) {
	u.Total[tier] += cards
	u.Zones[tier][zone] += cards
}

// epsilon is the largest difference that is a rounding error: sums of fractions of cards are inexact.
const epsilon = 1e-6

// Unused returns how many cards of its guarantee a tier does not use, for work that is bound to a
// zone, or to none for "".
func Unused(held Guarantee, u *Usage, tier int, zone string) float64 {
	most := held.Total - u.Total[tier]
	for z, n := range held.Zones {
		if zone == "" || zone == z {
			most = max(most, n-u.Zones[tier][z])
		}
	}
	return max(0, most)
}

// CanSpare reports whether a tier keeps its guarantee without so many cards in total and in a zone:
// only what exceeds the guarantee is ever taken from it.
func CanSpare(held Guarantee, u *Usage, tier int, zone string, all, here float64) bool {
	return u.Total[tier]-all >= held.Total-epsilon && u.Zones[tier][zone]-here >= held.Zones[zone]-epsilon
}

// Status compares what a tier uses with its share. Controllers send it to each other: the names of its
// fields are part of the protocol.
type Status struct {
	Cards   float64 // in use
	Share   float64 // guaranteed
	Lent    float64 // of the share, in use by others
	Waiting int     // tasks
	Claims  int     // jobs for which others are being preempted
}

// Add adds the status of the tier in another shard.
func (s Status) Add(o Status) Status {
	return Status{s.Cards + o.Cards, s.Share + o.Share, s.Lent + o.Lent, s.Waiting + o.Waiting, s.Claims + o.Claims}
}

// FillLent fills in what each tier lends: the part of its share that it does not use and that is not free
// either.
func FillLent(all []Status, free float64) {
	unused := 0.0
	for _, s := range all {
		unused += max(0, s.Share-s.Cards)
	}
	if unused == 0 {
		return
	}
	part := max(0, unused-free) / unused
	for i := range all {
		all[i].Lent = max(0, all[i].Share-all[i].Cards) * part
	}
}
