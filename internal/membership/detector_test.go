package membership

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
)

// net is some controllers, each with a list of the others, and who can't hear whom.
type net struct {
	now   time.Time
	names []string
	lists map[string]*List
	deaf  map[[2]string]bool // from, to
	down  map[string]bool
	store map[string]bool // refused by the store
	lives Lives           // as one controller tells them apart
}

func newNet(n int) *net {
	w := &net{now: time.Unix(1e9, 0), lists: map[string]*List{}, deaf: map[[2]string]bool{}, down: map[string]bool{}, store: map[string]bool{}}
	for i := range n {
		w.names = append(w.names, fmt.Sprintf("c-%d", i))
	}
	for _, name := range w.names {
		w.lists[name] = New(slices.DeleteFunc(slices.Clone(w.names), func(o string) bool { return o == name }))
	}
	return w
}

// beat lets a second pass in which everyone tells everyone.
func (w *net) beat() {
	w.now = w.now.Add(Every)
	for _, from := range w.names {
		for _, to := range w.names {
			if from != to && !w.down[from] && !w.down[to] && !w.deaf[[2]string{from, to}] {
				w.lists[to].Heard(w.now, from, !w.store[from], w.lists[from].Says(w.now))
			}
		}
	}
}

func (w *net) step(line string) []string {
	f, kv := simulator.Words(line)
	switch f[0] {
	case "controllers":
		n, _ := strconv.Atoi(f[1])
		*w = *newNet(n)
	case "beats":
		n, _ := strconv.Atoi(f[1])
		for range n {
			w.beat()
		}
	case "down", "up":
		w.down[f[1]] = f[0] == "down"
	case "refused", "served":
		w.store[f[1]] = f[0] == "refused"
	case "cut", "heal": // between a controller and others, or all
		others := f[2:]
		if len(others) == 0 {
			others = w.names
		}
		for _, o := range others {
			if kv["way"] != "in" {
				w.deaf[[2]string{f[1], o}] = f[0] == "cut"
			}
			if kv["way"] != "out" {
				w.deaf[[2]string{o, f[1]}] = f[0] == "cut"
			}
		}
	case "wait":
		d, _ := time.ParseDuration(f[1])
		w.now = w.now.Add(d)
	case "hear": // a beat of a controller, of a life that began at a time by its own clock
		begun, _ := strconv.ParseInt(kv["begun"], 10, 64)
		number, _ := strconv.ParseUint(kv["number"], 10, 64)
		if w.lives.Fresh(w.now, f[1], begun, number) {
			return []string{"news"}
		}
		return []string{"old"}
	case "what": // each thinks of one
		var out []string
		for _, name := range w.names {
			if name != f[1] && !w.down[name] {
				out = append(out, fmt.Sprintf("%s: %v", name, w.lists[name].State(w.now, f[1])))
			}
		}
		return out
	case "first":
		for _, name := range w.names {
			if !w.down[name] && w.lists[name].First(w.now, name) {
				return []string{name}
			}
		}
	}
	return nil
}

// TestTraces plays the kept traces of who thinks what of whom.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string { return newNet(3).step })
}
