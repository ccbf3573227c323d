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

// TestTraces replays the traces in testdata on a RequestLog. Offers are written as g4@a or g4@a/spot.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string {
		log, now, n := New(10), time.Unix(1e9, 0), 0
		return func(line string) (out []string) {
			words, kv := simulator.ParseStep(line)
			num := func(key string) int { n, _ := strconv.Atoi(kv[key]); return n }
			switch words[0] {
			case "want": // the scale-outs of a plan; their records are stored at once unless stored=later
				var wanted []scheduler.ScaleOut
				for _, word := range words[1:] {
					count, offer, _ := strings.Cut(word, ":")
					c, _ := strconv.Atoi(count)
					wanted = append(wanted, scheduler.ScaleOut{Offer: parseOffer(offer), Count: c, QueuePosition: num(offer)})
				}
				for _, r := range log.Admit(now, wanted) {
					n++
					name := fmt.Sprintf("r%d", n)
					log.Add(now, name, r)
					if kv["stored"] != "later" {
						log.MarkStored(name)
					}
					out = append(out, fmt.Sprintf("%s for %d of %s", name, r.Count, formatOffer(r.Offer)))
				}
			case "left":
				log.Recover(words[1], scheduler.ScaleOut{Offer: parseOffer(words[2]), Count: num("count")})
			case "stored":
				if !log.MarkStored(words[1]) {
					out = append(out, "drop "+words[1])
				}
			case "send": // all requests that may be sent now, or at most the given number
				for request := log.Next(now); request != nil && (kv["most"] == "" || len(out) < num("most")); request = log.Next(now) {
					log.MarkSent(now, request.Name)
					out = append(out, fmt.Sprintf("send %s for %d of %s", request.Name, request.Count, formatOffer(request.Offer)))
				}
			case "got":
				got, _ := strconv.Atoi(words[2])
				for _, name := range log.Complete(now, words[1], got) {
					out = append(out, "drop "+name)
				}
			case "unanswered":
				log.MarkUnanswered(words[1])
			case "returned":
				log.InstanceReturned(parseOffer(words[1]))
			case "back":
				log.ZoneRecovered(words[1])
			case "wait":
				d, _ := time.ParseDuration(words[1])
				now = now.Add(d)
			case "offer":
				state := log.stateOf(parseOffer(words[1]))
				out = append(out, fmt.Sprintf("calls %d, doubted %v, refused in a row %d, left alone %v", log.callWindow(now, parseOffer(words[1])), state.constrained, state.consecutiveRefusals, log.backingOff(now, parseOffer(words[1]))))
			default:
				t.Fatalf("unknown step: %s", line)
			}
			return out
		}
	})
}

func parseOffer(text string) scheduler.Offer {
	text, spot := strings.CutSuffix(text, "/spot")
	machineType, zone, _ := strings.Cut(text, "@")
	return scheduler.Offer{Type: machineType, Zone: zone, Spot: spot}
}

func formatOffer(o scheduler.Offer) string {
	if o.Spot {
		return o.Type + "@" + o.Zone + "/spot"
	}
	return o.Type + "@" + o.Zone
}

// cloudModel models a cloud with a few offers, from which more machines are wanted than it has. Calls take 200 ms, and
// half of the call rate is available to scale-out requests.
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

// run simulates the given time, with a plan every 300 ms. A plan takes as many machines as can be requested from the
// first offer that is not in backoff, and then goes on to the next offer.
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
	snapshot := &scheduler.Snapshot{Unavailable: map[scheduler.Offer]bool{}, Doubtful: map[scheduler.Offer]bool{}, RequestLimit: map[scheduler.Offer]int{}}
	s.log.Annotate(s.now, snapshot)
	left := s.wanted
	for _, a := range s.log.Pending() {
		left -= a.Count
	}
	var wanted []scheduler.ScaleOut
	for _, o := range s.offers {
		n := max(0, left)
		if most, limited := snapshot.RequestLimit[o]; limited {
			n = min(n, most)
		}
		if n > 0 && !snapshot.Unavailable[o] {
			wanted = append(wanted, scheduler.ScaleOut{Offer: o, Count: n})
			left -= n
		}
	}
	for _, r := range s.log.Admit(s.now, wanted) {
		s.requestCount++
		name := fmt.Sprintf("m%05d", s.requestCount)
		s.log.Add(s.now, name, r)
		s.log.MarkStored(name)
	}
}

// runUntil runs the model until the given number of machines were acquired, and returns how long that took. It fails
// the test if that takes longer than timeout.
func (s *cloudModel) runUntil(target int, timeout time.Duration) time.Duration {
	start := s.now
	for s.acquired < target {
		if s.now.Sub(start) > timeout {
			s.Errorf("%d of %d machines after %v", s.acquired, target, timeout)
			return timeout
		}
		s.run(50 * time.Millisecond)
	}
	return s.now.Sub(start)
}

// TestShortage checks how many calls are made if more machines are wanted than the cloud has. If the cloud has none,
// the number of calls stays small however much is wanted. If half of the offers have capacity, it is all acquired at
// once. Capacity that becomes available later is found soon, and sooner if there is a hint of it.
func TestShortage(t *testing.T) {
	for _, offers := range []int{6, 24, 60} {
		s := newCloudModel(t, offers)
		s.wanted = 5000
		s.run(2 * time.Minute)
		if maxCalls := 25 * (offers + 10); s.calls > min(maxCalls, 2*60*modelRPS/2) || s.calls != s.refused {
			t.Errorf("%d offers without capacity: %d calls in 2 minutes, %d refused", offers, s.calls, s.refused)
		}
		t.Logf("%d offers without capacity: %d calls in 2 minutes", offers, s.calls)
	}

	s := newCloudModel(t, 6)
	for _, o := range s.offers[:3] {
		s.capacity[o] = 300
	}
	s.wanted = 2000
	took := s.runUntil(900, 15*time.Second)
	t.Logf("half of the offers with capacity: 900 machines after %v by %d calls, %d refused", took, s.calls, s.refused)
	if s.calls > 45 {
		t.Errorf("half of the offers with capacity: %d calls for 900 machines", s.calls)
	}

	// Nothing indicates that there is capacity again.
	s.run(2 * time.Minute)
	calls, acquired := s.calls, s.acquired
	s.capacity[s.offers[4]] = 240
	took = s.runUntil(acquired+240, minBackoffLimit+6*time.Second)
	t.Logf("new capacity without a hint: 240 machines after %v by %d calls", took, s.calls-calls)

	for _, hint := range []string{"a zone has recovered", "machines are returned"} {
		s.run(2*time.Minute + 3*time.Second)
		calls, acquired = s.calls, s.acquired
		s.capacity[s.offers[4]] = 240
		if hint == "a zone has recovered" {
			s.log.ZoneRecovered("b")
		} else {
			s.log.InstanceReturned(s.offers[4])
		}
		took = s.runUntil(acquired+240, 10*time.Second)
		t.Logf("new capacity after a hint (%s): 240 machines after %v by %d calls", hint, took, s.calls-calls)
	}
}
