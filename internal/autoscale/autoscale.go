// Package rental decides what is asked of the cloud, and when: a state machine of
// the offers and of the rentals that are open. It is pure: times, wishes and the
// cloud's answers come in, calls to make come out.
//
// How many machines an offer has is not published, and the cloud takes few calls.
// So an offer is asked by one call at a time, and by more only as they succeed. What
// is wanted besides is asked elsewhere, or gathers for the next call. An offer that
// has refused is left alone for a while, which grows with the refusals in a row.
package autoscale

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

const (
	most      = 8                // calls that may be open at once for an offer
	settled   = 30 * time.Second // after which an offer that nobody asked is asked by one call again
	firstLull = 8 * time.Second  // for which an offer is left alone, doubled with each refusal in a row
	leastLull = 16 * time.Second // up to this, or more where there are many offers
	lastLull  = 64 * time.Second
	probes    = 8               // one part in so many of the calls asks offers in vain, at the most
	hinted    = 4               // times sooner an offer is asked again that should have room
	again     = time.Second     // before a call without an answer is repeated
	turn      = 2 * time.Second // after which an ask that waits goes before more urgent ones
)

// Ask is a rental: an intent with a name, by which it is carried out once.
type Ask struct {
	scheduler.Rent
	Name string

	written bool      // the store has its intent
	open    bool      // a call is waiting for its answer
	added   time.Time // when it was wanted
	sent    time.Time // when it was last sent under this holder; zero if never
}

// offer is what is known of one.
type offer struct {
	window   int       // calls that may be open at once
	doubted  bool      // it had not all that it was asked for
	row      int       // refusals in a row
	refused  time.Time // when it last had not all, zero if that is of no more interest
	answered time.Time
	hint     bool // it should have room again
}

// Book holds the rentals that are open, and what is known of the offers.
type Book struct {
	rps    float64 // calls that the cloud takes a second
	asks   map[string]*Ask
	offers map[scheduler.Offer]*offer
}

// New gives an empty book, for a cloud that takes so many calls a second.
func New(rps float64) *Book {
	return &Book{rps: rps, asks: map[string]*Ask{}, offers: map[scheduler.Offer]*offer{}}
}

// Left takes in an intent that an earlier holder has left. Whether it was sent nobody
// knows: the same name gets the same answer.
func (b *Book) Left(name string, r scheduler.Rent) {
	b.asks[name] = &Ask{Rent: r, Name: name, written: true}
}

// Open lists the rentals that are not decided yet, by their names.
func (b *Book) Open() []*Ask {
	out := make([]*Ask, 0, len(b.asks))
	for _, name := range slices.Sorted(maps.Keys(b.asks)) {
		out = append(out, b.asks[name])
	}
	return out
}

// Ask gives one that is not decided yet, or nil.
func (b *Book) Ask(name string) *Ask { return b.asks[name] }

// Wanted picks what is to be asked now of what a plan wants, the most urgent first.
// While a rental for an offer is open, only full ones are added, as its window allows:
// what is wanted besides gathers for the next.
func (b *Book) Wanted(now time.Time, rents []scheduler.Rent) (out []scheduler.Rent) {
	rents = slices.Clone(rents)
	slices.SortStableFunc(rents, func(a, b scheduler.Rent) int { return cmp.Compare(a.Place, b.Place) })
	for _, r := range rents {
		if b.alone(now, r.Offer) {
			continue
		}
		open := b.count(r.Offer)
		room := b.window(now, r.Offer) - open
		for left := r.Count; left > 0 && room > 0 && (open == 0 || left >= wire.MaxRent); room-- {
			n := min(left, wire.MaxRent)
			out = append(out, scheduler.Rent{Offer: r.Offer, Count: n, Place: r.Place})
			left, open = left-n, open+1
		}
	}
	return out
}

// Add takes in an ask whose intent is being written.
func (b *Book) Add(now time.Time, name string, r scheduler.Rent) {
	b.asks[name] = &Ask{Rent: r, Name: name, added: now}
}

// Written notes that the store has an intent. It reports false for one that is of no
// more use, whose record can be dropped.
func (b *Book) Written(name string) bool {
	a := b.asks[name]
	if a != nil {
		a.written = true
	}
	return a != nil
}

// Forget takes back an ask whose intent will never be in the store.
func (b *Book) Forget(name string) { delete(b.asks, name) }

// Next gives the ask to send now, or nil. Each offer has its turn, the one first that is
// needed most urgently.
func (b *Book) Next(now time.Time) *Ask {
	var best *Ask
	for _, a := range b.Open() {
		if a.written && !a.open && now.Sub(a.sent) >= again && b.calls(a.Offer) < b.window(now, a.Offer) && (best == nil || b.before(now, a, best)) {
			best = a
		}
	}
	return best
}

// before reports whether a goes before b: what has waited for long, then what has the
// fewest calls open for its offer, then the more urgent.
func (b *Book) before(now time.Time, x, y *Ask) bool {
	late := func(a *Ask) bool { return now.Sub(a.added) > turn && a.sent.IsZero() }
	if late(x) != late(y) {
		return late(x)
	}
	if late(x) && !x.added.Equal(y.added) {
		return x.added.Before(y.added)
	}
	return cmp.Or(cmp.Compare(b.calls(x.Offer), b.calls(y.Offer)), cmp.Compare(x.Place, y.Place)) < 0
}

// Sent notes that an ask is on its way.
func (b *Book) Sent(now time.Time, name string) {
	a := b.asks[name]
	a.open, a.sent = true, now
}

// Unanswered notes that a call had no answer, or one that decides nothing: it may have
// been carried out, or may yet be, and is repeated.
func (b *Book) Unanswered(name string) {
	if a := b.asks[name]; a != nil {
		a.open = false
	}
}

// Answered takes in how many machines a rental got, and names the asks that are over by
// that: their records can be dropped.
//
// With one that was refused go those of its offer that were not sent: they would be
// refused too. Those of an earlier holder may have been sent, and may even have got
// machines. They are let go all the same: such machines are in the cloud's list within
// its lag, and in reports once they are up, and whatever is there is used or returned.
// What their names would tell is only told a little sooner.
func (b *Book) Answered(now time.Time, name string, got int) (over []string) {
	a := b.asks[name]
	if a == nil {
		return nil
	}
	delete(b.asks, name)
	over = []string{name}
	o, window := b.of(a.Offer), b.window(now, a.Offer)
	o.answered = now
	switch {
	case !o.refused.IsZero() && !a.sent.After(o.refused):
		// It was open when another was refused: all of a volley count as one.
	case got >= a.Count:
		*o = offer{window: min(2*window, most), answered: now}
	default:
		if o.row++; got > 0 {
			o.row = 1
		}
		o.window, o.doubted, o.refused, o.hint = 1, true, now, false
		for _, other := range b.Open() {
			if other.Offer == a.Offer && other.sent.IsZero() {
				delete(b.asks, other.Name)
				if other.written {
					over = append(over, other.Name)
				}
			}
		}
	}
	return over
}

// Returned notes that a machine was returned: its offer should have room again.
func (b *Book) Returned(r scheduler.Offer) {
	if o := b.offers[r]; o != nil {
		o.hint = true
	}
}

// Back notes that a zone can be reached again. What was returned there meanwhile is to be
// had: all its offers are asked anew, one call each.
func (b *Book) Back(zone string) {
	for of, o := range b.offers {
		if of.Zone == zone && o.doubted {
			o.row, o.refused = 0, time.Time{}
		}
	}
}

// Fill tells a picture which offers are left alone, and which are in doubt. Of these no
// more is wanted at once than can be asked, so that the rest is asked elsewhere.
func (b *Book) Fill(now time.Time, pic *scheduler.Picture) {
	for of, o := range b.offers {
		if o.doubted {
			pic.Doubted[of], pic.Refused[of] = true, b.alone(now, of)
			pic.Most[of] = max(0, b.window(now, of)-b.count(of)) * wire.MaxRent
		}
	}
}

// Doubted reports whether an offer had not all that it was last asked for.
func (b *Book) Doubted(r scheduler.Offer) bool { o := b.offers[r]; return o != nil && o.doubted }

// of gives what is known of an offer.
func (b *Book) of(r scheduler.Offer) *offer {
	o := b.offers[r]
	if o == nil {
		o = &offer{window: 1}
		b.offers[r] = o
	}
	return o
}

// window is how many calls may be open for an offer. One that was not asked for long is
// asked by one call again.
func (b *Book) window(now time.Time, r scheduler.Offer) int {
	if o := b.offers[r]; o != nil && now.Sub(o.answered) < settled {
		return o.window
	}
	return 1
}

// alone reports whether an offer is not to be asked yet.
func (b *Book) alone(now time.Time, r scheduler.Offer) bool {
	o := b.offers[r]
	return o != nil && !o.refused.IsZero() && now.Sub(o.refused) < b.lull(o)
}

// lull is for how long an offer is left alone. Asking all those in doubt takes a small
// part of the calls at the most, however many there are.
func (b *Book) lull(o *offer) time.Duration {
	doubted := 0
	for _, other := range b.offers {
		if other.doubted {
			doubted++
		}
	}
	last := max(leastLull, min(lastLull, wire.Seconds(float64(probes*doubted)/max(b.rps, 0.1))))
	lull := min(last, firstLull<<min(o.row-1, 8))
	if o.hint {
		return lull / hinted
	}
	return lull
}

// count is how many rentals for an offer are not decided yet.
func (b *Book) count(r scheduler.Offer) (n int) {
	for _, a := range b.asks {
		if a.Offer == r {
			n++
		}
	}
	return n
}

// calls is how many of them wait for an answer.
func (b *Book) calls(r scheduler.Offer) (n int) {
	for _, a := range b.asks {
		if a.Offer == r && a.open {
			n++
		}
	}
	return n
}
