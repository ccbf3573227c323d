package simtest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/config"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/snapshot"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// writeKind is a kind of transaction: its conditions and its changes. The words are kinds of keys;
// a condition has =0 if the key must be absent, =v if it must exist, and no suffix if it may be
// either; a change has + for a put, +lease: for one under a lease, - for a delete, and -old: for
// the delete of a key of an earlier sharding's ledger. A ? precedes what may be absent.
type writeKind struct{ name, conditions, changes string }

// writeKinds are all kinds of writes, special ones first. Each is in the table of docs/design.md,
// "What a late write can do", with the reason why a late copy does no harm.
var writeKinds = []writeKind{
	{"new jobs", "batch=0 gate", "+batch"},
	{"cancellations", "batch=v", "+batch"},
	{"end of a resharding", "part=v ledger grouping=v ?batch=v", "+grouping +ledger ?+batch ?+types"},
	{"round that drops earlier ledgers", "part=v ledger ?batch=v", "-old:ledger +ledger ?+batch ?+types"},
	{"round that drops a segment", "part=v ledger=v ?ledger=0 ?batch=v", "-ledger +ledger ?+batch ?+types"},
	{"round that adds a segment", "part=v ledger=0 ?ledger=v ?batch=v", "+ledger ?+batch ?+types"},
	{"round that writes jobs", "part=v ledger=v batch=v", "+batch +ledger ?+types"},
	{"round that stores types", "part=v ledger=v ?batch=v", "+types +ledger"},
	{"round", "part=v ledger=v ?batch=v", "+ledger"},
	{"claim", "part=0 term grouping tiers", "+term +lease:part"},
	{"release of a shard", "part=v", "-part"},
	{"resharding", "grouping term grant", "+grouping +term +format +grant"},
	{"change of tiers", "tiers term part=0", "+tiers"},
	{"grant", "part=v grant=v", "+grant"},
	{"advance of the submission fence", "part=v gate", "+gate"},
	{"staging", "part=v batch=v recent", "-batch +recent"},
	{"merging", "part=v history", "+history"},
	{"clearing", "part=v recent=v", "+recent"},
	{"marker of an import", "format=0 term=0", "+format"},
	{"marker of the format", "format=0", "+format"},
	{"end of an import", "format=v", "+term +format"},
	{"import", "format=v ?batch=0 ?ledger=0 ?history=0 ?recent=0 ?gate=0 ?types=0 ?grouping=0 ?grant=0 ?tiers=0",
		"?+batch ?+ledger ?+history ?+recent ?+gate ?+types ?+grouping ?+grant ?+tiers"},
}

// leaseKinds are the kinds of lease calls.
var leaseKinds = []string{"new lease", "renewal", "end of a lease"}

// txnAsSent is a transaction as it is received.
type txnAsSent struct {
	If   []wire.Condition `cbor:"when"`
	Then []struct {
		Put    string   `cbor:"put"`
		Value  wire.Raw `cbor:"data"`
		Lease  uint64   `cbor:"tenure"`
		Delete string   `cbor:"drop"`
	} `cbor:"then"`
}

// describe describes a transaction in the words of writeKind.
func (t *txnAsSent) describe() (when, then []string) {
	ledger := "" // that it writes
	for _, c := range t.Then {
		if store.Kind(c.Put) == "ledger" {
			ledger = filepath.Dir(c.Put)
		}
	}
	add := func(to *[]string, word string) {
		if !slices.Contains(*to, word) {
			*to = append(*to, word)
		}
	}
	for _, c := range t.If {
		add(&when, store.Kind(c.Key)+map[bool]string{true: "=0", false: "=v"}[c.Version == 0])
	}
	for _, c := range t.Then {
		switch {
		case c.Delete != "" && store.Kind(c.Delete) == "ledger" && filepath.Dir(c.Delete) != ledger:
			add(&then, "-old:ledger")
		case c.Delete != "":
			add(&then, "-"+store.Kind(c.Delete))
		case c.Lease != 0:
			add(&then, "+lease:"+store.Kind(c.Put))
		default:
			add(&then, "+"+store.Kind(c.Put))
		}
	}
	return when, then
}

// matches reports whether words match a pattern of writeKind.
func matches(words []string, pattern string) bool {
	words = slices.Clone(words)
	for _, p := range strings.Fields(pattern) {
		word, maybe := strings.CutPrefix(p, "?")
		before := len(words)
		words = slices.DeleteFunc(words, func(w string) bool {
			return w == word || !strings.HasPrefix(word, "+") && !strings.Contains(word, "=") && (w == word+"=0" || w == word+"=v")
		})
		if len(words) == before && !maybe {
			return false
		}
	}
	return len(words) == 0
}

// kindOf returns the kind of a transaction, "" for none.
func kindOf(t *txnAsSent) string {
	when, then := t.describe()
	for _, k := range writeKinds {
		if matches(when, k.conditions) && matches(then, k.changes) {
			return k.name
		}
	}
	return ""
}

// writeFate is what happens to a write that is delayed: how long until it is carried out, and what
// the copies get that are sent meanwhile.
type writeFate struct {
	delay      time.Duration
	copyStatus int // 200 for the answer of the service, 0 for no answer, or 503
}

// writeFates apply in turn to every other of the first writes of each kind; a share of all others
// meets similar ones.
var writeFates = []writeFate{{4 * time.Second, 200}, {9 * time.Second, 0}, {80 * time.Second, 503}, {150 * time.Second, 0}}

// copyFaultTime is how long copies of a delayed write get no answer or 503. Their sender gives up
// by then, if it ever does.
const copyFaultTime = 7 * time.Second

// delayProxy is a proxy between controllers and the state service. It withholds the answers to
// some writes, and carries these out later, after newer writes of the same controller.
type delayProxy struct {
	t      *testing.T
	net    *simulator.Network
	target string
	share  float64
	rng    *rand.Rand

	mu           sync.Mutex
	kindCounts   map[string]int // writes, without copies
	writes       map[string]*delayedWrite
	held         []*delayedWrite
	tallies      map[string]delayedTally
	unknownKinds map[string]bool

	// serveInstead, if set, handles the controllers' requests instead.
	serveInstead func(ctx context.Context, caller *transport.Caller, from, method, target string, body []byte) (status int, answer []byte)
}

// What happens to a request without an answer: nobody waits for longer than that.
const (
	noReply    = 0
	connClosed = -1 // the connection is, after a moment
)

// delayedTally counts the writes of a kind that were carried out after newer ones.
type delayedTally struct{ committed, refused int }

// delayedWrite is a write with all its copies.
type delayedWrite struct {
	kind, from   string
	method, path string
	body         []byte
	firstSentAt  time.Time
	fate         *writeFate // nil if it is not delayed
	newerCommits int        // writes of the same controller that were committed since
	commits      int
	refusedAt    time.Time
}

// newDelayProxy returns a proxy that delays a share of the writes.
func newDelayProxy(t *testing.T, net *simulator.Network, to string, seed uint64, share float64) *delayProxy {
	l := &delayProxy{t: t, net: net, target: to, share: share, rng: rand.New(rand.NewPCG(seed, 12)),
		kindCounts: map[string]int{}, writes: map[string]*delayedWrite{}, tallies: map[string]delayedTally{}, unknownKinds: map[string]bool{}}
	l.serveInstead = l.serve
	return l
}

// listen serves one controller at a host of its own, whose address it returns.
func (l *delayProxy) listen(ctx context.Context, from, ip string) (addr string) {
	host := l.net.Host(ip)
	caller := &transport.Caller{MaxBody: 8 << 20, Dial: host.Dial}
	addr = simulator.Address(ip, 2379)
	go host.Listen(ctx, addr, 0, func(ctx context.Context, s transport.Stream) {
		r := bufio.NewReader(s)
		for {
			req, err := httpwire.ReadRequest(r, 1<<20)
			if err != nil {
				return
			}
			target := req.Path
			if req.Query != "" {
				target += "?" + req.Query
			}
			status, body := l.serveInstead(ctx, caller, from, req.Method, target, req.Body)
			if status <= noReply {
				time.Sleep(map[int]time.Duration{noReply: 2600 * time.Millisecond, connClosed: 10 * time.Millisecond}[status])
				return
			}
			if _, err := s.Write(httpwire.AppendResponse(nil, &httpwire.Response{Status: status, Body: body})); err != nil {
				return
			}
		}
	})
	return addr
}

// forward sends a request to the state service.
func (l *delayProxy) forward(ctx context.Context, caller *transport.Caller, method, target string, body []byte) (int, []byte) {
	resp, err := caller.Call(ctx, l.target, method, target, body)
	if err != nil {
		return 0, nil
	}
	return resp.Status, resp.Body
}

// countOf counts the writes of a kind, without copies.
func (l *delayProxy) countOf(kind string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.kindCounts[kind]
}

// kindSent returns the kind of a request, "" for one that changes nothing.
func (l *delayProxy) kindSent(from, method, target string, body []byte) (kind string) {
	switch {
	case target == wire.PathTxn:
		var t txnAsSent
		if err := wire.Decode(body, &t); err != nil {
			l.t.Errorf("%s sends a transaction that can't be read: %v", from, err)
		}
		if kind = kindOf(&t); kind == "" && len(t.Then) > 0 {
			when, then := t.describe()
			kind = fmt.Sprintf("when %v then %v", when, then)
			l.mu.Lock()
			if !l.unknownKinds[kind] {
				l.t.Errorf("%s sends a kind of write that nobody has looked at: %s. What does a copy that is carried out minutes later?", from, kind)
			}
			l.unknownKinds[kind] = true
			l.mu.Unlock()
		}
	case target == wire.PathLeases:
		kind = leaseKinds[0]
	case strings.HasPrefix(target, wire.PathLeases+"/") && method == "DELETE":
		kind = leaseKinds[2]
	case strings.HasPrefix(target, wire.PathLeases+"/"):
		kind = leaseKinds[1]
	}
	return kind
}

// serve handles a request of a controller.
func (l *delayProxy) serve(ctx context.Context, caller *transport.Caller, from, method, target string, body []byte) (int, []byte) {
	kind := l.kindSent(from, method, target, body)
	if kind == "" {
		return l.forward(ctx, caller, method, target, body)
	}
	w, status := l.decideFate(kind, from, method, target, body)
	if status != 200 {
		return status, nil
	}
	sent := time.Now()
	status, answer := l.forward(ctx, caller, method, target, body)
	l.noteResult(w, sent, status, false)
	return status, answer
}

// decideFate returns the status for a write: 200 stands for the answer of the service.
func (l *delayProxy) decideFate(kind, from, method, target string, body []byte) (*delayedWrite, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	id := from + " " + target + " " + string(body)
	w := l.writes[id]
	lease := slices.Contains(leaseKinds, kind) // all of a kind look alike: each is a write of its own
	if w == nil || lease {
		w = &delayedWrite{kind: kind, from: from, method: method, path: target, body: bytes.Clone(body), firstSentAt: now}
		l.writes[id] = w
		n := l.kindCounts[kind]
		l.kindCounts[kind]++
		switch {
		case n < 2*len(writeFates) && n%2 == 0:
			f := writeFates[n/2]
			w.fate = &f
		case l.rng.Float64() < l.share:
			w.fate = &writeFate{time.Duration(2000+l.rng.IntN(10000)) * time.Millisecond, []int{200, 200, 0, 503}[l.rng.IntN(4)]}
			if l.rng.IntN(8) == 0 {
				w.fate.delay += time.Duration(l.rng.IntN(180)) * time.Second
			}
		}
		if w.fate != nil {
			l.held = append(l.held, w)
			return w, 0
		}
		return w, 200
	}
	if w.fate != nil && now.Sub(w.firstSentAt) < copyFaultTime {
		return w, w.fate.copyStatus
	}
	return w, 200
}

// noteResult checks the result of a copy of a write. A write that was committed may never be
// committed again, nor one that was refused because of its conditions. Only new jobs may be
// submitted a second time, between their removal and the next submission fence: the removed record
// precedes them (TestLateSubmissionBeforeGate).
func (l *delayProxy) noteResult(w *delayedWrite, sent time.Time, status int, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if w.path == wire.PathTxn && w.kind != "new jobs" {
		switch status {
		case 200:
			if !w.refusedAt.IsZero() && w.refusedAt.Before(sent) { // of two at once, either may be told first
				l.t.Errorf("%s: %s was refused, and a copy of it was taken later", w.from, w.kind)
			}
			if w.commits++; w.commits > 1 {
				l.t.Errorf("%s: %s was taken %d times", w.from, w.kind, w.commits)
			}
		case 409:
			if w.refusedAt.IsZero() {
				w.refusedAt = time.Now()
			}
		}
	}
	if status == 200 && !late {
		for _, h := range l.held {
			if h.from == w.from && h != w {
				h.newerCommits++
			}
		}
	}
}

// releaseHeld carries out what is delayed, after newer writes of its controller or at the end.
func (l *delayProxy) releaseHeld(ctx context.Context) {
	caller := &transport.Caller{MaxBody: 8 << 20, Dial: l.net.Host("10.2.1.99").Dial}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		l.mu.Lock()
		var due []*delayedWrite
		l.held = slices.DeleteFunc(l.held, func(w *delayedWrite) bool {
			ripe := time.Since(w.firstSentAt) >= w.fate.delay && (w.newerCommits > 0 || time.Since(w.firstSentAt) > 5*time.Minute)
			if ripe {
				due = append(due, w)
			}
			return ripe
		})
		l.mu.Unlock()
		for _, w := range due {
			sent := time.Now()
			status, _ := l.forward(ctx, caller, w.method, w.path, w.body)
			l.noteResult(w, sent, status, true)
			l.mu.Lock()
			if w.newerCommits > 0 && status != 0 {
				t := l.tallies[w.kind]
				if status == 200 {
					t.committed++
				} else {
					t.refused++
				}
				l.tallies[w.kind] = t
			}
			l.mu.Unlock()
		}
	}
}

// addTallies adds up what was carried out late.
func (l *delayProxy) addTallies(all map[string]delayedTally) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for kind, n := range l.tallies {
		all[kind] = delayedTally{all[kind].committed + n.committed, all[kind].refused + n.refused}
	}
}

// simulateDelayedWrites simulates a day on which a share of all writes of controllers is carried
// out late.
func simulateDelayedWrites(t *testing.T, seed uint64, share float64) *delayProxy {
	var l *delayProxy
	playAllWritesDay(t, seed, 3, func(w *simulation) *delayProxy {
		l = newDelayProxy(t, w.net, "10.2.0.1:2379", seed, share)
		go l.releaseHeld(w.ctx)
		return l
	})
	return l
}

// playAllWritesDay simulates a day on which controllers make every kind of write to the state
// service, through the given proxy: jobs are submitted, end and are compacted, the fleet is
// divided into shards and merged again, the tiers change, and leaders end and restart.
func playAllWritesDay(t *testing.T, seed uint64, count int, between func(w *simulation) *delayProxy) {
	d := newAllWritesSimulation(t, seed, count)
	w := d.simulation
	l := between(w)
	for i := range w.count {
		l.listen(w.ctx, fmt.Sprint("c-", i), fmt.Sprint("10.2.1.", i))
	}
	if seed >= 2 {
		w.group.Go(func() {
			rng := rand.New(rand.NewPCG(seed, 13))
			for range 20 {
				time.Sleep(time.Duration(rng.IntN(24000)) * time.Millisecond)
				x := slices.Concat(stallFaults, restartFaults)[rng.IntN(len(stallFaults)+len(restartFaults))]
				x.apply(w, rng, time.Duration(1+rng.IntN(30))*time.Second)
			}
		})
	}
	w.startService("wk-1", 7*time.Minute)
	d.submitManyTasks("wk-2")
	d.submitMixedJobs(1)
	w.kill(int((w.leaders()["fleet"] + "c-0")[2]-'0'), 3*time.Second)
	d.submitMixedJobs(2)
	d.rollingRestart(func(name string) { d.shardings[name] = "zone" })
	d.submitMixedJobs(3)
	for try := 0; try < 5 && l.countOf("release of a shard") == 0; try++ {
		for i := 1; i < w.count; i++ { // the one that is left takes all, and gives back
			w.kill(i, 30*time.Second)
		}
		time.Sleep(75 * time.Second)
	}
	d.rollingRestart(func(name string) { d.tiers[name] = true })
	d.submitMixedJobs(4)
	d.rollingRestart(func(name string) { d.shardings[name] = "off" })
	d.submitManyTasks("wk-3")
	d.submitMixedJobs(5)
	d.rollingRestart(func(name string) { d.tiers[name] = false })
	time.Sleep(time.Minute) // what was in the ledger goes
	for i := range 20 {
		w.user(&wire.Job{ID: fmt.Sprint("wk-", 10+i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 5}, 5*time.Second, 0)
		time.Sleep(2 * time.Second)
	}
	w.declareQuiet()
	batches := func() int { return len(w.store.Page(store.BatchKey(""), "", 0).Items) }
	for begun := time.Now(); batches() > 0 && time.Since(begun) < 20*time.Minute; time.Sleep(5 * time.Second) {
	}
	if n := batches(); n > 0 {
		t.Errorf("%d batches of jobs are never compacted", n)
	}
	w.finishDay(20 * time.Minute)
}

// allWritesSimulation is a day whose controllers change their settings when they restart.
type allWritesSimulation struct {
	*simulation
	seed uint64

	mu        sync.Mutex
	shardings map[string]string // by controller
	tiers     map[string]bool   // controllers with two tiers
}

func newAllWritesSimulation(t *testing.T, seed uint64, count int) *allWritesSimulation {
	d := &allWritesSimulation{seed: seed, shardings: map[string]string{}, tiers: map[string]bool{}}
	d.simulation = newSimulationOf(t, count, seed, 0, func(c *config.Config) {
		d.mu.Lock()
		defer d.mu.Unlock()
		c.StoreAddr = simulator.Address("10.2.1."+c.Name[2:], 2379)
		c.Tuning.Shards.By = d.shardings[c.Name]
		c.Store.ValueBytes = 2048 // many slots
		if d.tiers[c.Name] {
			twoTiers(c)
		}
	})
	return d
}

// rollingRestart changes the settings of all controllers, one after the other, and restarts each.
func (d *allWritesSimulation) rollingRestart(set func(name string)) {
	for i := range d.count {
		d.mu.Lock()
		set(fmt.Sprint("c-", i))
		d.mu.Unlock()
		d.kill(i, time.Second)
		time.Sleep(6 * time.Second)
	}
	time.Sleep(25 * time.Second)
}

// submitMixedJobs submits jobs of every shape.
func (d *allWritesSimulation) submitMixedJobs(n uint64) {
	d.group.Add(1)
	go func() {
		defer d.group.Done()
		d.submit(100*d.seed+n, 12)
	}()
	time.Sleep(25 * time.Second)
}

// submitManyTasks submits a job with so many tasks that the ledger grows, and shrinks later.
func (d *allWritesSimulation) submitManyTasks(id string) {
	d.user(&wire.Job{ID: id, Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 100, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 30}, 30*time.Second, 0)
}

// TestDelayedWrites delays writes of each kind past newer ones of the same controller. Of the days
// outside of CI, with AMBERDEAL_LATEWRITES=N, all but the first two have other faults too and up
// to three writes of ten late. AMBERDEAL_LATEWRITE plays one.
func TestDelayedWrites(t *testing.T) {
	all := map[string]delayedTally{}
	var mu sync.Mutex
	playSeeds(t, 2, "AMBERDEAL_LATEWRITE", func(t *testing.T, seed uint64) {
		share := 0.03
		if seed >= 2 {
			share = []float64{0.03, 0.1, 0.3}[seed%3]
		}
		l := simulateDelayedWrites(t, seed, share)
		mu.Lock()
		defer mu.Unlock()
		l.addTallies(all)
	})
	for _, kind := range slices.Sorted(maps.Keys(all)) {
		t.Logf("%s: carried out late, after newer ones: %d taken, %d refused", kind, all[kind].committed, all[kind].refused)
	}
	for _, kind := range append(leaseKinds, kindNames(func(name string) bool { return !strings.Contains(name, "import") })...) {
		if all[kind] == (delayedTally{}) && os.Getenv("AMBERDEAL_LATEWRITE") == "" {
			t.Errorf("no %q was carried out after a newer write of its controller: it was never delayed, or the day has none", kind)
		}
	}
}

// TestDelayedImport imports a state while each kind of the writes that do so is carried out late,
// and lets controllers continue with it: nothing may exist twice.
func TestDelayedImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 80, 0, func(c *config.Config) { c.Tuning.History.Compact = false })
		for i := range 12 {
			w.user(&wire.Job{ID: fmt.Sprint("wk-", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 1, MemoryGB: 1,
				Image: "img", ImageGB: 1, EstimateS: 5}, 20*time.Second, 0)
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(time.Minute)
		var items []wire.KeyValue
		for after := ""; ; {
			page := w.store.Page(store.CommonPrefix, after, 0)
			items = append(items, page.Items...)
			if !page.More {
				break
			}
			after = page.Items[len(page.Items)-1].Key
		}
		to := simulator.NewStateService(1, 0)
		go w.net.Host("10.2.0.3").Listen(w.ctx, "10.2.0.3:2379", 0, to.Serve())
		l := newDelayProxy(t, w.net, "10.2.0.3:2379", 80, 0.3)
		addr := l.listen(w.ctx, "import", "10.2.1.50")
		go l.releaseHeld(w.ctx)
		c := store.NewClient(w.net.Host("10.3.0.9"), addr, 100, 100, store.EvenAllowance(1), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if _, err := snapshot.Import(t.Context(), c, items, "sum", snapshot.Limits{ValueBytes: 8192, TxnOps: 12}, func(int, int) {}); err != nil {
			t.Errorf("import: %v", err)
		}
		// What a leader does first: a fencing token, and batches that go into the history.
		status, _ := to.Commit(wire.Txn{Then: []wire.Operation{{Put: store.FencingTokenKey, Value: uint64(1 << 40)}}})
		batches := to.Page(store.BatchKey(""), "", 0).Items
		for _, it := range batches {
			to.Commit(wire.Txn{Then: []wire.Operation{{Delete: it.Key}}})
		}
		for i := range 4 { // newer ones of the same sender
			key := store.BatchKey(fmt.Sprint("new-", i))
			_, _ = c.Txn(t.Context(), wire.Txn{If: []wire.Condition{{Key: store.SubmissionFenceKey}, {Key: key}}, Then: []wire.Operation{{Put: key, Value: store.BatchRecord{}}}})
		}
		time.Sleep(6 * time.Minute)
		var token uint64
		if page := to.Page(store.FencingTokenKey, "", 0); len(page.Items) == 1 {
			_ = wire.DecodeValue(page.Items[0].Value, &token)
		}
		back := slices.DeleteFunc(to.Page(store.BatchKey(""), "", 0).Items, func(it wire.KeyValue) bool { return strings.Contains(it.Key, "/new-") })
		if status != 200 || len(batches) == 0 || len(back) > 0 || token != 1<<40 {
			t.Errorf("%d of %d batches are back; the counter of fencing tokens is %d", len(back), len(batches), token)
		}
		all := map[string]delayedTally{}
		l.addTallies(all)
		for _, kind := range kindNames(func(name string) bool { return strings.Contains(name, "import") }) {
			if all[kind] == (delayedTally{}) {
				t.Errorf("no %q was carried out after a newer write", kind)
			}
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// kindNames lists the kinds of transactions whose names are selected.
func kindNames(of func(name string) bool) (out []string) {
	for _, k := range writeKinds {
		if of(k.name) {
			out = append(out, k.name)
		}
	}
	return out
}

// TestWritersAreKnown lists all functions that build or send a transaction or make a lease call. A
// new one belongs into the table of docs/design.md, and its kind into writeKinds.
func TestWritersAreKnown(t *testing.T) {
	want := strings.Fields(`
		internal/admission.commit
		internal/archive.advanceSubmissionFence internal/archive.clearRecent internal/archive.commit internal/archive.mergeTxn internal/archive.planStage
		internal/controller.step
		internal/leader.Decide internal/leader.commitGrant internal/leader.commitRound internal/leader.dropObsolete internal/leader.dropPreviousLedgers
		internal/leader/commit.AddChange internal/leader/commit.AddChangeIf internal/leader/commit.Empty internal/leader/commit.Guard internal/leader/commit.OpenLedger internal/leader/commit.Seal
		internal/leadership.Campaign internal/leadership.PendingReleases internal/leadership.Resign internal/leadership.Run internal/leadership.claim internal/leadership.obtainLease internal/leadership.releaseShards internal/leadership.renew internal/leadership.reshard internal/leadership.revokeStaleLease internal/leadership.writeTiers
		internal/quota.Propose
		internal/reshard.Transaction
		internal/snapshot.beginImport internal/snapshot.commit internal/snapshot.finishImport internal/snapshot.flush
		internal/store.Txn internal/store.TxnBeforeSend internal/store.mark`)
	var got []string
	for _, dir := range []string{"internal", "cmd", "."} {
		_ = filepath.WalkDir(filepath.Join(repositoryRoot, dir), func(file string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			path, err := filepath.Rel(repositoryRoot, file)
			switch {
			case err != nil:
				return err
			case d.IsDir() && (dir == "." && path != "." || path == "internal/simulator"):
				return fs.SkipDir
			case !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go"):
				return nil
			}
			f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				return err
			}
			for _, decl := range f.Decls {
				if fn, ok := decl.(*ast.FuncDecl); ok && sendsTransaction(fn) {
					got = append(got, filepath.Dir(path)+"."+fn.Name.Name)
				}
			}
			return nil
		})
	}
	slices.Sort(got)
	got = slices.Compact(got)
	if !slices.Equal(got, want) {
		t.Errorf("these write to the state service:\n%s\nand these are known:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}

// sendsTransaction reports whether a function builds or sends a transaction, or makes a lease
// call.
func sendsTransaction(fn *ast.FuncDecl) (found bool) {
	ast.Inspect(fn, func(n ast.Node) bool {
		sel, ok := n.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		of, _ := sel.X.(*ast.SelectorExpr)
		client := of != nil && strings.EqualFold(of.Sel.Name, "client")
		found = found || sel.Sel.Name == "Txn" || sel.Sel.Name == "TxnBeforeSend" || strings.HasPrefix(sel.Sel.Name, "AddChange") || client && slices.Contains([]string{"GrantLease", "RenewLease", "RevokeLease"}, sel.Sel.Name)
		return true
	})
	return found
}

// TestUnknownWriteKindIsFound checks that a write of another kind of key, or without one of its
// conditions, is of no known kind.
func TestUnknownWriteKindIsFound(t *testing.T) {
	fence, grant := wire.Condition{Key: store.LeaderKey("a"), Version: 7}, wire.Condition{Key: store.QuotaGrantKey, Version: 5}
	put := wire.Operation{Put: store.QuotaGrantKey, Value: store.QuotaGrantRecord{}}
	for name, x := range map[string]struct {
		txn  wire.Txn
		want string
	}{
		"as it is":      {wire.Txn{If: []wire.Condition{fence, grant}, Then: []wire.Operation{put}}, "grant"},
		"unfenced":      {wire.Txn{If: []wire.Condition{grant}, Then: []wire.Operation{put}}, ""},
		"another key":   {wire.Txn{If: []wire.Condition{fence, grant}, Then: []wire.Operation{put, {Put: store.StatePrefix + "other"}}}, ""},
		"unconditional": {wire.Txn{Then: []wire.Operation{{Put: store.FencingTokenKey, Value: uint64(1)}}}, ""},
	} {
		var sent txnAsSent
		if err := wire.Decode(wire.Encode(x.txn), &sent); err != nil || kindOf(&sent) != x.want {
			t.Errorf("%s: %q, %v", name, kindOf(&sent), err)
		}
	}
}

// TestDelayedWritesAreDocumented checks that the table has a line for each kind.
func TestDelayedWritesAreDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/design.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "What a late write can do")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, k := range writeKinds {
		if !strings.Contains(section, "| "+k.name+" |") {
			t.Errorf("%q is not in the table", k.name)
		}
	}
	for _, name := range leaseKinds {
		if !strings.Contains(section, "| "+name+" |") {
			t.Errorf("%q is not in the table", name)
		}
	}
}

// delayedCloud is a proxy between the controllers and the cloud. It withholds the answers to some
// rentals and releases, and carries these out later, after newer requests.
type delayedCloud struct {
	*simulation
	mu             sync.Mutex
	requests       map[string]int       // of each kind, without copies
	firstSent      map[string]time.Time // when each was first sent
	held           map[string]time.Time // until when copies get no useful answer
	promptRequests int                  // requests that were carried out at once
	abandoned      map[string]bool      // rentals that the leader has given up, because a copy was refused
	rentedLate     map[string]bool      // machines that were rented by these afterwards
	releasesInUse  int                  // releases of a machine in use
	delayedCounts  map[string]int       // of each kind, carried out after newer ones
	released       func(names []string) // called when a release is delayed
}

func (l *delayedCloud) listen(addr string) {
	host := l.net.Host(simulator.HostOf(addr))
	caller := &transport.Caller{MaxBody: 8 << 20, Dial: host.Dial}
	pass := func(ctx context.Context, req *httpwire.Request) *httpwire.Response {
		target := req.Path
		if req.Query != "" {
			target += "?" + req.Query
		}
		resp, err := caller.Call(ctx, "10.2.0.2:8443", req.Method, target, req.Body)
		if err != nil {
			return nil
		}
		return &httpwire.Response{Status: resp.Status, Body: resp.Body}
	}
	go host.Listen(l.ctx, addr, 0, func(ctx context.Context, s transport.Stream) {
		r := bufio.NewReader(s)
		for {
			req, err := httpwire.ReadRequest(r, 1<<20)
			if err != nil {
				return
			}
			status := l.decideFate(req, func() *httpwire.Response { return pass(l.ctx, req) })
			var resp *httpwire.Response
			switch status {
			case 200:
				resp = pass(ctx, req)
			case 503:
				resp = &httpwire.Response{Status: 503, Body: wire.Encode(wire.Failure{Error: "no capacity"})}
			}
			if resp == nil {
				time.Sleep(4100 * time.Millisecond)
				return
			}
			if _, err := s.Write(httpwire.AppendResponse(nil, resp)); err != nil {
				return
			}
		}
	})
}

// decideFate returns the status for a request: 200 stands for the answer of the cloud.
func (l *delayedCloud) decideFate(req *httpwire.Request, carryOut func() *httpwire.Response) int {
	kind := map[string]string{wire.PathRentals: "rental", wire.PathRelease: "release"}[req.Path]
	if req.Method != "POST" || kind == "" {
		return 200
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	id, now := kind+string(req.Body), time.Now()
	if at, known := l.firstSent[id]; known {
		switch {
		case l.held[id].Before(now):
			l.promptRequests++
			return 200
		case kind == "rental" && now.Sub(at) > 4*time.Second: // the second copy is refused
			l.abandoned[id] = true
			return 503
		}
		return 0
	}
	l.firstSent[id] = now
	n := l.requests[kind]
	l.requests[kind]++
	if n%2 == 1 {
		l.promptRequests++
		return 200
	}
	late := time.Duration(10+20*(n%3)) * time.Second
	l.held[id] = now.Add(9 * time.Second)
	newer := l.promptRequests
	time.AfterFunc(late, func() {
		before, _ := l.checker.Counts()
		resp := carryOut()
		after, _ := l.checker.Counts()
		l.mu.Lock()
		defer l.mu.Unlock()
		if resp == nil || l.promptRequests == newer {
			return
		}
		l.delayedCounts[kind]++
		if kind == "release" && after < before {
			l.releasesInUse++
		}
		var names wire.MachineNames
		if kind == "rental" && l.abandoned[id] && resp.Status == 200 && wire.Decode(resp.Body, &names) == nil {
			for _, name := range names.Machines {
				l.rentedLate[name] = true
			}
		}
	})
	if kind == "release" {
		var names wire.MachineNames
		_ = wire.Decode(req.Body, &names)
		go l.released(names.Machines)
	}
	return 0
}

// releasedInUse reports whether a release that ended a task was carried out late.
func (l *delayedCloud) releasedInUse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.releasesInUse > 0
}

// TestDelayedRentals carries rentals out after their leader was told that there is no capacity,
// and releases after another leader has put work on the machine: machines rented so have to be
// used or returned, tasks that ended so have to run again, and no rule may be violated.
func TestDelayedRentals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 81, 0, func(c *config.Config) { c.CloudAddr, c.Tuning.Idle = "10.2.1.60:8443", 6*time.Second })
		l := &delayedCloud{simulation: w, requests: map[string]int{}, firstSent: map[string]time.Time{}, held: map[string]time.Time{}, abandoned: map[string]bool{},
			rentedLate: map[string]bool{}, delayedCounts: map[string]int{}}
		var jobs atomic.Int64
		array := func(run time.Duration) {
			w.user(&wire.Job{ID: fmt.Sprint("wk-", jobs.Add(1)), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 10, CPUs: 2, GPUs: 1, MemoryGB: 8,
				Image: "img", ImageGB: 1, EstimateS: run.Seconds()}, run, 0)
		}
		kills := 0
		var once sync.Mutex
		l.released = func([]string) { // nobody remembers: the next leader goes on with the machine
			once.Lock()
			defer once.Unlock()
			if h := w.leaders()["fleet"]; h != "" && kills < 12 && !l.releasedInUse() {
				kills++
				w.kill(int(h[2]-'0'), 3*time.Second)
				array(40 * time.Second)
			}
		}
		l.listen("10.2.1.60:8443")
		for n := 0; n < 6 || !l.releasedInUse() && n < 24; n++ { // until what was released late was in use
			array(15 * time.Second)
			time.Sleep(45 * time.Second)
		}
		time.Sleep(3 * time.Minute) // what nobody needs is returned
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.delayedCounts["rental"] == 0 || l.delayedCounts["release"] == 0 || len(l.rentedLate) == 0 || l.releasesInUse == 0 {
			t.Errorf("carried out late: %v, machines that nobody waited for: %v, releases of what was in use: %d", l.delayedCounts, l.rentedLate, l.releasesInUse)
		}
		w.cloud.EachRunning(func(m wire.ListedMachine, _ simulator.Machine) {
			if l.rentedLate[m.ID] {
				t.Errorf("%s, which was rented late, is neither used nor returned", m.ID)
			}
		})
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}
