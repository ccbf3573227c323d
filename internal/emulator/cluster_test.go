package emulator

import (
	"context"
	"encoding/json"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// wrongWorld is a world file with a fault of every kind, and wrongWorldFaults how these are reported.
const wrongWorld = `[world]
controllers = 25
zones = a, a
colour = red
[type g4]
cpus = none
zones = nowhere
[team red]
gpus = 9
gpus_max = 3
[fault x]
at = 5
kind = cut
from = moon
[fault y]
kind = state_down
count = 3
[fault z]
kind = machine_hang
[fault deaf]
kind = machine_deaf
zone = moon
who = c-0
[fault late]
kind = state_late
[fault echo]
kind = report_late
share = 2
[fault apart]
kind = controller_cut
who = c-77
from_peers = perhaps
[fault odd]
kind = machine_sings
share = 3
[fault next]
kind = report_late
share = 0.5
for_next = soon
at_once = yes
colour = red
[fault hang]
kind = machine_hang
for = long
[fault now]
kind = cancel_now
hang = 2s
[planet mars]
`

var wrongWorldFaults = []string{"line 2: [world] controllers: \"25\": must be a count from 1 to 24", "line 3: [world] zones", "line 4: [world] colour: \"red\": must be left out; known are cancel,",
	"line 6: [type g4] cpus", "line 7: [type g4] zones", "line 9: [team red] gpus", "line 12: [fault x] at", "from: \"moon\"", "to: missing: cut needs it", "line 17: [fault y]: count: means nothing to state_down", "[fault z]: for: missing",
	"[fault deaf]: who: means nothing to machine_deaf, which takes for, count, share, zone", "[fault deaf]: zone: \"moon\": must be one of", "[fault late]: share: missing: state_late needs it",
	"[fault echo] share: \"2\": must be", "[fault apart]: who: \"c-77\": must be one of", "[fault apart] from_peers: \"perhaps\": must be yes or no", "[fault apart]: from_state: missing: controller_cut needs from_state = yes, from_peers = yes, or both", "[fault odd] kind: \"machine_sings\": must be one of boot_never,", "[fault odd] share: \"3\"", "[fault next] for_next: \"soon\": must be yes or no",
	"[fault next]: at_once: means nothing to report_late, which takes for, share, for_next", "[fault next] colour: \"red\": must be left out; known are at, at_once,", "[fault hang] for: \"long\"", "[fault now]: count: missing: cancel_now needs it", "[planet mars]"}

// TestParse reads the world file that is shipped, and checks that everything wrong with one is
// reported, with its line.
func TestParse(t *testing.T) {
	text, err := os.ReadFile("../../deploy/world.ini")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil || len(c.Timeline) != 4 || c.Teams[1].GPUsMax != 32 || c.Types[0].Name != "g4" {
		t.Fatalf("%+v, %v", c, err)
	}
	_, err = Parse([]byte(wrongWorld))
	if err == nil {
		t.Fatal("nothing is wrong")
	}
	for _, want := range wrongWorldFaults {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in\n%v", want, err)
		}
	}
	for what, times := range map[string]int{"[fault odd]": 2, "[fault next]": 3, "[fault hang]": 1, "machine_sings": 1} { // each fault is named once
		if n := strings.Count(err.Error(), what); n != times {
			t.Errorf("%s is named %d times in\n%v", what, n, err)
		}
	}
}

func small(t *testing.T, port int, opt Options) *Cluster {
	t.Helper()
	opt.Port = port
	w, err := Start(t.Context(), DefaultConfig(), opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Stop)
	return w
}

func caller() *transport.Caller {
	return &transport.Caller{MaxBody: 1 << 20, Dial: Dial}
}

// ask lists the keys of the state service by a controller's door, and tells the status, 0 for no
// answer.
func ask(t *testing.T, w *Cluster, c *transport.Caller, i int, patience time.Duration) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	resp, err := c.Call(ctx, w.addr(w.ports.state+i), "GET", wire.KeysPath("a", "", 1), nil)
	if err != nil {
		return 0
	}
	return resp.Status
}

// TestStateServiceFaults cuts one controller off from the state service, and has it refused, while
// others are served; an outage concerns all. Lifted faults are over.
func TestStateServiceFaults(t *testing.T) {
	w := small(t, 27300, Options{})
	c := caller()
	for _, x := range []struct {
		fault Fault
		zero  int // what c-0 is answered, and the others
		other int
	}{
		{Fault{Kind: "cut", From: "c-0", To: "state"}, 0, 200},
		{Fault{Kind: "cut", From: "state", To: "c-0", OneWay: true, Mode: "lose"}, 0, 200},
		{Fault{Kind: "state_refuse", Who: "c-0"}, 503, 200},
		{Fault{Kind: "state_down"}, 503, 503},
		{Fault{Kind: "controller_cut", Who: "c-0", FromState: true, FromPeers: true}, 0, 200},
		{Fault{Kind: "controller_cut", Who: "c-0", FromPeers: true}, 200, 200},
	} {
		s, err := w.Stage(x.fault)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := ask(t, w, c, 0, 200*time.Millisecond), ask(t, w, c, 1, 2*time.Second); a != x.zero || b != x.other {
			t.Errorf("%s: answered %d and %d", s.Description, a, b)
		}
		if !w.Lift(s.Number) || w.Lift(s.Number) {
			t.Errorf("%s: lifted", s.Description)
		}
		if a := ask(t, w, c, 0, 2*time.Second); a != 200 {
			t.Errorf("after %s: %d", s.Description, a)
		}
	}
	if _, err := w.Stage(Fault{Kind: "controller_kill"}); err == nil {
		t.Error("killed what is not its own")
	}
}

// TestControllerCutOff checks that a controller which is cut off from the state service and its
// peers reaches neither, that they do not reach it, and that its machines and the cloud do.
func TestControllerCutOff(t *testing.T) {
	w := &Cluster{Config: DefaultConfig(), links: newLinks()}
	lift := w.cutOffController(&Fault{Kind: "controller_cut", Who: "c-0", FromState: true, FromPeers: true})
	c, machine := w.controller(0), side{"n-1", "machines", "a"}
	for _, x := range []struct {
		side side
		cut  bool
	}{{state, true}, {w.controller(1), true}, {w.controller(2), true}, {machine, false}, {cloud, false}} {
		out, _, _ := w.links.modeOf(c, x.side)
		in, _, _ := w.links.modeOf(x.side, c)
		if (out != "") != x.cut || (in != "") != x.cut {
			t.Errorf("%v: %q, %q", x.side, out, in)
		}
	}
	if mode, _, _ := w.links.modeOf(w.controller(1), state); mode != "" {
		t.Errorf("another is cut off: %q", mode)
	}
	if lift(); len(w.links.rules) > 0 {
		t.Error("not lifted")
	}
}

// TestHeldMessages checks that messages sent into a cut that holds them are delivered in order
// when it ends, although the sender has given up, and none after a cut that loses them.
func TestHeldMessages(t *testing.T) {
	l := newLinks()
	me, peer := side{"n-1", "machines", "a"}, side{"c-0", "controllers", "a"}
	for _, mode := range []string{"hold", "lose"} {
		a, b := net.Pipe()
		k := l.wrap(a, me, peer)
		lift := l.add(&rule{from: "machines", to: "c-0", mode: mode})
		for _, text := range []string{"one ", "two ", "three"} {
			if _, err := k.Write([]byte(text)); err != nil {
				t.Fatal(err)
			}
		}
		k.Close()
		got := make(chan string, 1)
		go func() {
			var out []byte
			buf := make([]byte, 64)
			for {
				n, err := b.Read(buf)
				out = append(out, buf[:n]...)
				if err != nil {
					got <- string(out)
					return
				}
			}
		}()
		lift()
		if text, want := <-got, map[string]string{"hold": "one two three", "lose": ""}[mode]; text != want {
			t.Errorf("%s: %q came through", mode, text)
		}
	}
}

// TestDialNeedsBothWays checks that no connection is established where answers are lost, as on a
// real network.
func TestDialNeedsBothWays(t *testing.T) {
	lis, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	l := newLinks()
	h := host{l, side{"n-1", "machines", "a"}, func(string) side { return side{"c-0", "controllers", "a"} }}
	dial := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		c, err := h.Dial(ctx, lis.Addr().String())
		if err == nil {
			c.Close()
		}
		return err
	}
	lift := l.add(&rule{from: "c-0", to: "machines", mode: "lose"})
	if dial() == nil {
		t.Error("connected, though nothing comes back")
	}
	lift()
	if err := dial(); err != nil {
		t.Error(err)
	}
}

// TestZoneWorksInside checks that a zone which is cut off from everything reaches itself, and
// nothing else.
func TestZoneWorksInside(t *testing.T) {
	w := &Cluster{Config: DefaultConfig(), links: newLinks()}
	w.cutLinks(&Fault{Kind: "cut", From: "zone:b", To: "all"})
	here, there := side{"n-1", "machines", "b"}, side{"n-2", "machines", "a"}
	for _, x := range []struct {
		from, to side
		cut      bool
	}{{here, side{"c-1", "controllers", "b"}, false}, {here, state, true}, {state, here, true}, {here, there, true}, {there, state, false}, {there, side{"c-1", "controllers", "b"}, true}} {
		if mode, _, _ := w.links.modeOf(x.from, x.to); (mode != "") != x.cut {
			t.Errorf("%v to %v: %q", x.from, x.to, mode)
		}
	}
}

// TestPersistedState checks that a cluster resumes from the persisted state of the state service,
// and that files are replaced atomically.
func TestPersistedState(t *testing.T) {
	dir := t.TempDir()
	w := small(t, 27300+400, Options{Dir: dir, Persist: true})
	if status, _ := w.state.Commit(wire.Txn{Then: []wire.Operation{{Put: "a/1", Value: "x"}}}); status != 200 {
		t.Fatal(status)
	}
	var settings struct {
		Name string `json:"host_name"`
	}
	if text, err := os.ReadFile(w.Settings(2)); err != nil || json.Unmarshal(text, &settings) != nil || settings.Name != "c-2" {
		t.Errorf("settings: %v, %+v", err, settings)
	}
	w.Stop()
	again := small(t, 27300+800, Options{Dir: dir, Persist: true})
	if items := again.Page("a/", 9); len(items) != 1 || items[0].Version != 1 {
		t.Errorf("%+v", items)
	}
	if parts, _ := filepath.Glob(filepath.Join(dir, ".part-*")); len(parts) > 0 {
		t.Errorf("%v is left", parts)
	}
	if _, err := Start(t.Context(), DefaultConfig(), Options{Port: 27300 + 800}); err == nil || !strings.Contains(err.Error(), "ports are in use") {
		t.Errorf("the same ports again: %v", err)
	}
}
