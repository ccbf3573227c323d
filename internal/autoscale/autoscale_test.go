package autoscale

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/simulator"
)

// TestTraces plays the kept traces of the book. An offer reads g4@a, or g4@a/spot.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string {
		b, now, n := New(10), time.Unix(1e9, 0), 0
		return func(line string) (out []string) {
			w, kv := simulator.Words(line)
			num := func(key string) int { n, _ := strconv.Atoi(kv[key]); return n }
			switch w[0] {
			case "want": // as a plan does, with intents that are stored at once, or not
				var rents []scheduler.ScaleOut
				for _, word := range w[1:] {
					count, of, _ := strings.Cut(word, ":")
					c, _ := strconv.Atoi(count)
					rents = append(rents, scheduler.ScaleOut{Offer: parseOffer(of), Count: c, QueuePosition: num(of)})
				}
				for _, r := range b.Admit(now, rents) {
					n++
					name := fmt.Sprintf("r%d", n)
					b.Add(now, name, r)
					if kv["stored"] != "later" {
						b.MarkStored(name)
					}
					out = append(out, fmt.Sprintf("%s for %d of %s", name, r.Count, formatOffer(r.Offer)))
				}
			case "left":
				b.Recover(w[1], scheduler.ScaleOut{Offer: parseOffer(w[2]), Count: num("count")})
			case "stored":
				if !b.MarkStored(w[1]) {
					out = append(out, "drop "+w[1])
				}
			case "send": // all that may be sent now, or so many
				for a := b.Next(now); a != nil && (kv["most"] == "" || len(out) < num("most")); a = b.Next(now) {
					b.MarkSent(now, a.Name)
					out = append(out, fmt.Sprintf("send %s for %d of %s", a.Name, a.Count, formatOffer(a.Offer)))
				}
			case "got":
				got, _ := strconv.Atoi(w[2])
				for _, name := range b.Complete(now, w[1], got) {
					out = append(out, "drop "+name)
				}
			case "unanswered":
				b.MarkUnanswered(w[1])
			case "returned":
				b.InstanceReturned(parseOffer(w[1]))
			case "back":
				b.ZoneRecovered(w[1])
			case "wait":
				d, _ := time.ParseDuration(w[1])
				now = now.Add(d)
			case "offer":
				o := b.stateOf(parseOffer(w[1]))
				out = append(out, fmt.Sprintf("calls %d, doubted %v, refused in a row %d, left alone %v", b.callWindow(now, parseOffer(w[1])), o.constrained, o.consecutiveRefusals, b.backingOff(now, parseOffer(w[1]))))
			default:
				t.Fatalf("no such step: %s", line)
			}
			return out
		}
	})
}

func parseOffer(text string) scheduler.Offer {
	text, spot := strings.CutSuffix(text, "/spot")
	typ, zone, _ := strings.Cut(text, "@")
	return scheduler.Offer{Type: typ, Zone: zone, Spot: spot}
}

func formatOffer(o scheduler.Offer) string {
	if o.Spot {
		return o.Type + "@" + o.Zone + "/spot"
	}
	return o.Type + "@" + o.Zone
}

// cloudModel is a cloud with a few offers, from which more is wanted than it has. Calls
// take a fifth of a second, and as many a second are made as scale-out requests may take.
type cloudModel struct {
	*testing.T
	log          *RequestLog
	rand         *rand.Rand
	now          time.Time
	offers       []scheduler.Offer
	capacity     map[scheduler.Offer]int
	open         []openCall
	wanted       int
	requestCount int
	tokens       float64

	calls, refused, acquired int
}

type openCall struct {
	at      time.Time
	request ScaleOutRequest
}

const modelRPS = 6

func newCloudModel(t *testing.T, offers int) *cloudModel {
	s := &cloudModel{T: t, log: New(modelRPS), rand: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1e9, 0), capacity: map[scheduler.Offer]int{}}
	for i := range offers {
		s.offers = append(s.offers, scheduler.Offer{Type: fmt.Sprint("g", i/6), Zone: string(rune('a' + i%3)), Spot: i/3%2 == 1})
	}
	return s
}

// run plays a while, with a plan each 300 ms: it takes the first offer that isn't left
// alone, as far as that can be asked, and then the next.
func (s *cloudModel) run(d time.Duration) {
	const step = 50 * time.Millisecond
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(step) {
		if s.now.UnixMilli()%300 == 0 {
			s.plan()
		}
		s.tokens = min(s.tokens+modelRPS*0.5*step.Seconds(), modelRPS*0.5)
		if a := s.log.Next(s.now); a != nil && s.tokens >= 1 {
			s.tokens--
			s.calls++
			s.log.MarkSent(s.now, a.Name)
			s.open = append(s.open, openCall{s.now, *a})
		}
		for len(s.open) > 0 && s.now.Sub(s.open[0].at) >= 200*time.Millisecond {
			a := s.open[0].request
			s.open = s.open[1:]
			n := min(a.Count, s.capacity[a.Offer])
			s.capacity[a.Offer] -= n
			s.acquired += n
			s.wanted -= n
			if n == 0 {
				s.refused++
			}
			s.log.Complete(s.now, a.Name, n)
		}
	}
}

func (s *cloudModel) plan() {
	pic := &scheduler.Snapshot{Unavailable: map[scheduler.Offer]bool{}, Doubtful: map[scheduler.Offer]bool{}, RequestLimit: map[scheduler.Offer]int{}}
	s.log.Annotate(s.now, pic)
	left := s.wanted
	for _, a := range s.log.Pending() {
		left -= a.Count
	}
	var rents []scheduler.ScaleOut
	for _, o := range s.offers {
		n := max(0, left)
		if most, limited := pic.RequestLimit[o]; limited {
			n = min(n, most)
		}
		if n > 0 && !pic.Unavailable[o] {
			rents = append(rents, scheduler.ScaleOut{Offer: o, Count: n})
			left -= n
		}
	}
	for _, r := range s.log.Admit(s.now, rents) {
		s.requestCount++
		name := fmt.Sprintf("m%05d", s.requestCount)
		s.log.Add(s.now, name, r)
		s.log.MarkStored(name)
	}
}

// until runs until so many machines were had, and tells how long that took.
func (s *cloudModel) runUntil(got int, most time.Duration) time.Duration {
	begun := s.now
	for s.acquired < got {
		if s.now.Sub(begun) > most {
			s.Errorf("%d of %d machines after %v", s.acquired, got, most)
			return most
		}
		s.run(50 * time.Millisecond)
	}
	return s.now.Sub(begun)
}

// TestShortage: in a cloud that has nothing, few calls ask for that, however much is
// wanted; one that is half full gives what it has at once, and room that comes is found
// soon, most of all where something says so.
func TestShortage(t *testing.T) {
	for _, offers := range []int{6, 24, 60} {
		s := newCloudModel(t, offers)
		s.wanted = 5000
		s.run(2 * time.Minute)
		if most := 25 * (offers + 10); s.calls > min(most, 2*60*modelRPS/2) || s.calls != s.refused {
			t.Errorf("%d offers, all full: %d calls in 2 minutes, %d refused", offers, s.calls, s.refused)
		}
		t.Logf("%d offers, all full: %d calls in 2 minutes", offers, s.calls)
	}

	s := newCloudModel(t, 6)
	for _, o := range s.offers[:3] {
		s.capacity[o] = 300
	}
	s.wanted = 2000
	took := s.runUntil(900, 15*time.Second)
	t.Logf("half full: 900 machines after %v by %d calls, %d refused", took, s.calls, s.refused)
	if s.calls > 45 {
		t.Errorf("half full: %d calls for 900 machines", s.calls)
	}

	// Nothing says that there is room again.
	s.run(2 * time.Minute)
	calls, got := s.calls, s.acquired
	s.capacity[s.offers[4]] = 240
	took = s.runUntil(got+240, minBackoffLimit+6*time.Second)
	t.Logf("room again, unsaid: 240 machines after %v by %d calls", took, s.calls-calls)

	for _, what := range []string{"a zone is back", "machines are returned"} {
		s.run(2*time.Minute + 3*time.Second)
		calls, got = s.calls, s.acquired
		s.capacity[s.offers[4]] = 240
		if what == "a zone is back" {
			s.log.ZoneRecovered("b")
		} else {
			s.log.InstanceReturned(s.offers[4])
		}
		took = s.runUntil(got+240, 10*time.Second)
		t.Logf("room again, %s: 240 machines after %v by %d calls", what, took, s.calls-calls)
	}
}
