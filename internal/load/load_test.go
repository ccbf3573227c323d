package load_test

import (
	"context"
	"io"
	"log/slog"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal"
	"amberdeal.example/amberdeal/internal/emulator"
	"amberdeal.example/amberdeal/internal/load"
	"amberdeal.example/amberdeal/internal/transport"
)

// parseMix parses a mix file that has to be valid.
func parseMix(t *testing.T, text string) *load.Mix {
	t.Helper()
	m, err := load.ParseMix([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return m
}

// TestArrivals checks that the same seed gives the same arrivals, that their number matches the rate, the curve and the
// bursts of a class, and that all errors of a mix file are reported.
func TestArrivals(t *testing.T) {
	text, err := os.ReadFile("../../deploy/load.ini")
	if err != nil {
		t.Fatal(err)
	}
	m := parseMix(t, string(text))
	if a, b := m.Arrivals("7"), m.Arrivals("7"); !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Error("no arrivals, or others for the same seed")
	}
	m = parseMix(t, "[load]\nfor = 10m\n[class x]\nper_minute = 60\ncurve = 1, 0\nbursts = 1m x5 for 1m")
	early, burst, late := 0, 0, 0
	for _, a := range m.Arrivals("") {
		switch {
		case a.At >= 5*time.Minute:
			late++
		case a.At >= time.Minute && a.At < 2*time.Minute:
			burst++
		default:
			early++
		}
	}
	if late != 0 || early < 180 || early > 300 || burst < 230 || burst > 370 {
		t.Errorf("%d early, %d in the burst, %d late", early, burst, late)
	}
	_, err = load.ParseMix([]byte("[load]\nfor = ever\n[class x]\nshape = ring\ntasks = 0\nbursts = soon\nweight = 3\n[other]\na = 1"))
	for _, want := range []string{"[load] for", "[class x] shape: \"ring\": must be one of sweep, gang, service", "[class x] tasks", "[class x] bursts", "[class x] weight: \"3\": must be left out", "[other]"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in\n%v", want, err)
		}
	}
}

// TestLoad generates load on three controllers in an emulated cluster while the state service refuses one of them and
// loses requests, a zone is cut off, and users misbehave: every job has to end, and no rule may be violated.
func TestLoad(t *testing.T) {
	cluster, err := emulator.Start(t.Context(), emulator.DefaultConfig(), emulator.Options{Port: 27300 + 1200, Dir: t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Stop()
	addrs, stop := startControllers(t, cluster)
	for _, f := range []emulator.Fault{{Kind: "state_refuse", Who: "c-1", For: 4 * time.Second}, {Kind: "state_lose", Share: 0.1, For: 6 * time.Second}, {Kind: "cut", From: "zone:b", To: "all", For: 3 * time.Second}} {
		if _, err := cluster.Stage(f); err != nil {
			t.Fatal(err)
		}
	}
	r := load.Runner{Mix: parseMix(t, mixOfEveryShape), Addrs: addrs, JudgeAddr: cluster.ControlAddr(), Prefix: "9", DrainTimeout: time.Minute,
		Caller: &transport.Client{MaxBody: 1 << 20, Dial: emulator.Dial}}
	for _, f := range []emulator.Fault{{Kind: "odd_requests", For: 6 * time.Second}, {Kind: "close_looks", For: 20 * time.Second}, {Kind: "cancel_at_end", Share: 1, For: 20 * time.Second}} {
		if _, err := cluster.Stage(f); err != nil {
			t.Fatal(err)
		}
	}
	cancelled := false
	res, err := r.Run(t.Context(), func(sent, all, _ int) {
		if sent >= all/2 && !cancelled { // some services run by now
			_, err := cluster.Stage(emulator.Fault{Kind: "cancel_now", Count: 4, Hang: 2 * time.Second})
			cancelled = err == nil
		}
	})
	if !cancelled {
		t.Error("the fault cancel_now found no job to cancel")
	}
	if err != nil {
		t.Fatal(err)
	}
	if len(res.Violations) > 0 || len(res.Open) > 0 {
		t.Errorf("violations: %v; open: %v", res.Violations, res.Open)
	}
	if o := res.Instructions; o.Cancelled < 5 || o.MalformedRequests < 4 || o.ConcurrentReads < 20 {
		t.Errorf("%+v", o)
	}
	for name, c := range res.Classes {
		if c.Accepted != c.Jobs || c.Done+c.Cancelled != c.Jobs || c.Accept.Count != int64(c.Jobs) {
			t.Errorf("%s: %+v", name, c)
		}
	}
	stop()
}

// mixOfEveryShape is a mix file with jobs of every shape.
const mixOfEveryShape = `[load]
for = 5s
poll = 500ms
[class a]
per_minute = 120
tasks = 1-3
run = 200ms-1s
cancel = 0.2
[class g]
shape = gang
per_minute = 24
tasks = 2
run = 500ms
[class s]
shape = service
per_minute = 24
run = 3s-5s
priority = production`

// startControllers starts the cluster's three controllers in this process, and returns their
// addresses and a function that stops them.
func startControllers(t *testing.T, cluster *emulator.Cluster) (addrs []string, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{}, 3)
	for i := range 3 {
		cfg, err := amberdeal.Load(cluster.PlatformFile(i), "")
		if err != nil {
			t.Fatal(err)
		}
		addrs = append(addrs, cluster.PublicAddr(i))
		go func() {
			_ = amberdeal.New(cfg, slog.New(slog.NewTextHandler(io.Discard, nil))).Run(ctx)
			ended <- struct{}{}
		}()
	}
	return addrs, func() {
		cancel()
		for range 3 {
			<-ended
		}
	}
}
