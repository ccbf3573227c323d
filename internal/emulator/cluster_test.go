package emulator

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

func startSmallCluster(t *testing.T, port int, opt Options) *Cluster {
	t.Helper()
	opt.Port = port
	cluster, err := Start(t.Context(), DefaultConfig(), opt)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Stop)
	return cluster
}

func newCaller() *transport.Client {
	return &transport.Client{MaxBody: 1 << 20, Dial: Dial}
}

// keysStatus lists the keys of the state service through controller i's address and returns the HTTP status, or 0 if
// there was no response within the timeout.
func keysStatus(t *testing.T, cluster *Cluster, c *transport.Client, i int, timeout time.Duration) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	resp, err := c.Call(ctx, cluster.addr(cluster.ports.state+i), "GET", wire.KeysPath("a", "", 1), nil)
	if err != nil {
		return 0
	}
	return resp.Status
}

// TestStateServiceFaults checks that a controller that is cut off from the state service or refused by it gets no
// service while the others are served, that an outage affects all controllers, and that lifting a fault ends it.
func TestStateServiceFaults(t *testing.T) {
	cluster := startSmallCluster(t, 27300, Options{})
	c := newCaller()
	for _, x := range []struct {
		fault Fault
		first int // status that c-0 gets, 0 for no response
		other int // status that c-1 gets
	}{
		{Fault{Kind: "cut", From: "c-0", To: "state"}, 0, 200},
		{Fault{Kind: "cut", From: "state", To: "c-0", OneWay: true, Mode: "lose"}, 0, 200},
		{Fault{Kind: "state_refuse", Who: "c-0"}, 503, 200},
		{Fault{Kind: "state_down"}, 503, 503},
		{Fault{Kind: "controller_cut", Who: "c-0", FromState: true, FromPeers: true}, 0, 200},
		{Fault{Kind: "controller_cut", Who: "c-0", FromPeers: true}, 200, 200},
	} {
		s, err := cluster.Stage(x.fault)
		if err != nil {
			t.Fatal(err)
		}
		if a, b := keysStatus(t, cluster, c, 0, 200*time.Millisecond), keysStatus(t, cluster, c, 1, 2*time.Second); a != x.first || b != x.other {
			t.Errorf("%s: c-0 got status %d and c-1 %d", s.Description, a, b)
		}
		if !cluster.Lift(s.Number) || cluster.Lift(s.Number) {
			t.Errorf("%s: lifting did not succeed exactly once", s.Description)
		}
		if a := keysStatus(t, cluster, c, 0, 2*time.Second); a != 200 {
			t.Errorf("after %s: status %d", s.Description, a)
		}
	}
	if _, err := cluster.Stage(Fault{Kind: "controller_kill"}); err == nil {
		t.Error("killed a controller that the cluster has not started")
	}
}

// TestControllerCutOff checks that a controller that is cut off from the state service and its peers can't exchange
// data with them in either direction, and that its connections to machines and the cloud still work.
func TestControllerCutOff(t *testing.T) {
	cluster := &Cluster{Config: DefaultConfig(), links: newLinks()}
	lift := cluster.cutOffController(&Fault{Kind: "controller_cut", Who: "c-0", FromState: true, FromPeers: true})
	c, machine := cluster.controllerEndpoint(0), endpoint{"n-1", "machines", "a"}
	for _, x := range []struct {
		peer endpoint
		cut  bool
	}{{stateEndpoint, true}, {cluster.controllerEndpoint(1), true}, {cluster.controllerEndpoint(2), true}, {machine, false}, {cloudEndpoint, false}} {
		out, _, _ := cluster.links.modeOf(c, x.peer)
		in, _, _ := cluster.links.modeOf(x.peer, c)
		if (out != "") != x.cut || (in != "") != x.cut {
			t.Errorf("%v: %q, %q", x.peer, out, in)
		}
	}
	if mode, _, _ := cluster.links.modeOf(cluster.controllerEndpoint(1), stateEndpoint); mode != "" {
		t.Errorf("another controller is cut off too: %q", mode)
	}
	if lift(); len(cluster.links.rules) > 0 {
		t.Error("the rules were not removed")
	}
}

// TestIsolatedZoneReachesItself checks that connections within a zone that is cut off from everything work, and that
// no connection into or out of it does.
func TestIsolatedZoneReachesItself(t *testing.T) {
	cluster := &Cluster{Config: DefaultConfig(), links: newLinks()}
	cluster.cutLinks(&Fault{Kind: "cut", From: "zone:b", To: "all"})
	here, there := endpoint{"n-1", "machines", "b"}, endpoint{"n-2", "machines", "a"}
	for _, x := range []struct {
		from, to endpoint
		cut      bool
	}{{here, endpoint{"c-1", "controllers", "b"}, false}, {here, stateEndpoint, true}, {stateEndpoint, here, true}, {here, there, true}, {there, stateEndpoint, false}, {there, endpoint{"c-1", "controllers", "b"}, true}} {
		if mode, _, _ := cluster.links.modeOf(x.from, x.to); (mode != "") != x.cut {
			t.Errorf("%v to %v: %q", x.from, x.to, mode)
		}
	}
}

// TestNothingIsPersistedAfterStop guards against a write of the state that is still under way when Stop returns: it may replace a
// newer state, or fall into the removal of the directory.
func TestNothingIsPersistedAfterStop(t *testing.T) {
	for range 300 {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := &Cluster{opt: Options{Dir: t.TempDir(), Persist: true}, state: simulator.NewStateService(1, 0), ctx: ctx, stop: cancel}
		if err := cluster.restoreState(); err != nil {
			t.Fatal(err)
		}
		cluster.Stop()
		if err := os.Remove(cluster.stateFile()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Millisecond)
		if files, _ := os.ReadDir(cluster.opt.Dir); len(files) > 0 {
			t.Fatalf("%v is written after the end", files)
		}
	}
}

// TestPersistedState checks that a cluster resumes from the persisted state of the state service and that writing it
// leaves no temporary files.
func TestPersistedState(t *testing.T) {
	dir := t.TempDir()
	cluster := startSmallCluster(t, 27300+400, Options{Dir: dir, Persist: true})
	if status, _ := cluster.state.Commit(wire.Txn{Then: []wire.Operation{{Put: "a/1", Value: "x"}}}); status != 200 {
		t.Fatal(status)
	}
	var settings struct {
		Name string `json:"host_name"`
	}
	if text, err := os.ReadFile(cluster.PlatformFile(2)); err != nil || json.Unmarshal(text, &settings) != nil || settings.Name != "c-2" {
		t.Errorf("settings: %v, %+v", err, settings)
	}
	cluster.Stop()
	restarted := startSmallCluster(t, 27300+800, Options{Dir: dir, Persist: true})
	if items := restarted.ListKeys("a/", 9); len(items) != 1 || items[0].Version != 1 {
		t.Errorf("%+v", items)
	}
	if temporary, _ := filepath.Glob(filepath.Join(dir, ".part-*")); len(temporary) > 0 {
		t.Errorf("temporary files are left: %v", temporary)
	}
	if _, err := Start(t.Context(), DefaultConfig(), Options{Port: 27300 + 800}); err == nil || !strings.Contains(err.Error(), "ports are in use") {
		t.Errorf("starting on ports in use: %v", err)
	}
}
