package tier

import (
	"maps"
	"slices"
)

// Guarantee is what a tier's guarantee comes to.
type Guarantee struct {
	Total float64
	Zones map[string]float64
}

// Guarantees gives what holds of each tier's guarantee with so many cards in each zone. Where not
// all fits, the last in the order gives way first, and tiers of one order alike, each in
// proportion to what it was guaranteed. What is guaranteed in a zone counts in all.
func (s *Set) Guarantees(cards map[string]float64) []Guarantee {
	out := make([]Guarantee, len(s.Tiers))
	left, total := maps.Clone(cards), 0.0
	for _, n := range cards {
		total += n
	}
	all := total
	for i := 0; i < len(s.Tiers); {
		n := i + 1
		for n < len(s.Tiers) && s.Tiers[n].Order == s.Tiers[i].Order {
			n++
		}
		group := s.Tiers[i:n]
		if !slices.ContainsFunc(group, func(t Tier) bool { return t.hasGuarantee() }) {
			i = n
			continue
		}
		for _, zone := range slices.Sorted(maps.Keys(cards)) {
			wants := make([]float64, len(group))
			for k := range group {
				wants[k] = group[k].Zones[zone].Of(cards[zone])
			}
			for k, got := range scaleToFit(wants, min(left[zone], total)) {
				if got > 0 {
					if out[i+k].Zones == nil {
						out[i+k].Zones = make(map[string]float64)
					}
					out[i+k].Zones[zone] = got
					out[i+k].Total += got
					left[zone] -= got
					total -= got
				}
			}
		}
		more := make([]float64, len(group))
		for k := range group {
			more[k] = max(0, group[k].Share.Of(all)-out[i+k].Total)
		}
		for k, got := range scaleToFit(more, total) {
			out[i+k].Total += got
			total -= got
		}
		i = n
	}
	return out
}

// scaleToFit deals out what there is by what is wanted.
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

// Usage is the cards that tiers use, in all and by zone.
type Usage struct {
	Total []float64
	Zones []map[string]float64
}

// NewUsage gives the use of so many tiers, with nothing used.
func (s *Set) NewUsage() *Usage {
	u := &Usage{Total: make([]float64, len(s.Tiers)), Zones: make([]map[string]float64, len(s.Tiers))}
	for i := range u.Zones {
		u.Zones[i] = make(map[string]float64)
	}
	return u
}

// Add counts cards that a tier uses more.
func (u *Usage) Add(tier int, zone string, cards float64) {
	u.Total[tier] += cards
	u.Zones[tier][zone] += cards
}

const epsilon = 1e-6

// Unused tells how many cards a tier has still free of what it is guaranteed, where its work
// may use a zone, or any for "".
func Unused(held Guarantee, u *Usage, tier int, zone string) float64 {
	most := held.Total - u.Total[tier]
	for z, n := range held.Zones {
		if zone == "" || zone == z {
			most = max(most, n-u.Zones[tier][z])
		}
	}
	return max(0, most)
}

// CanSpare reports whether a tier can do without so many cards in all, and in a zone: only
// what is beyond its guarantee is ever taken from it.
func CanSpare(held Guarantee, u *Usage, tier int, zone string, all, here float64) bool {
	return u.Total[tier]-all >= held.Total-epsilon && u.Zones[tier][zone]-here >= held.Zones[zone]-epsilon
}

// Status is how a tier does against its share.
type Status struct {
	Cards   float64 // in use
	Share   float64
	Lent    float64 // of the share, in use by others
	Waiting int     // tasks
	Claims  int     // needs for which cards are being claimed back
}

// Add adds how the tier stands in another part.
func (s Status) Add(o Status) Status {
	return Status{s.Cards + o.Cards, s.Share + o.Share, s.Lent + o.Lent, s.Waiting + o.Waiting, s.Claims + o.Claims}
}

// FillLent fills in what is lent: what shares have free and is not free itself.
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
