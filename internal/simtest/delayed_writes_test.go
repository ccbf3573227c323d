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

// writeKind is a kind of transaction, described by patterns for its conditions and its changes. The words
// of a pattern are kinds of keys. In a condition, the suffix =0 means that the key must be absent, =v that
// it must exist, and no suffix that both are possible. In a change, the prefix + means a put, +lease: a
// put under a lease, - a delete, and -old: the delete of a key in the ledger of an earlier sharding. A ?
// precedes optional words.
type writeKind struct{ name, conditions, changes string }

// writeKinds lists all kinds of transactions, more specific ones first. The table "What a late write can
// do" in docs/design.md gives for each the reason why a copy that is committed late does no harm.
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

// receivedTxn is a transaction as the state service receives it.
type receivedTxn struct {
	If   []wire.Condition `cbor:"when"`
	Then []struct {
		Put    string   `cbor:"put"`
		Value  wire.Raw `cbor:"data"`
		Lease  uint64   `cbor:"tenure"`
		Delete string   `cbor:"drop"`
	} `cbor:"then"`
}

// describe returns the conditions and changes of a transaction in the notation of writeKind.
func (t *receivedTxn) describe() (when, then []string) {
	ledger := "" // prefix of the ledger that the transaction writes
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

// matches reports whether words match a pattern in the notation of writeKind.
func matches(words []string, pattern string) bool {
	words = slices.Clone(words)
	for _, p := range strings.Fields(pattern) {
		word, optional := strings.CutPrefix(p, "?")
		before := len(words)
		words = slices.DeleteFunc(words, func(w string) bool {
			return w == word || !strings.HasPrefix(word, "+") && !strings.Contains(word, "=") && (w == word+"=0" || w == word+"=v")
		})
		if len(words) == before && !optional {
			return false
		}
	}
	return len(words) == 0
}

// kindOf returns the name of a transaction's kind, or "" if it is of no known kind.
func kindOf(t *receivedTxn) string {
	when, then := t.describe()
	for _, k := range writeKinds {
		if matches(when, k.conditions) && matches(then, k.changes) {
			return k.name
		}
	}
	return ""
}

// writeFate describes how a delayed write is handled: how long it is held before it is forwarded to the
// state service, and how copies that are sent in the meantime are answered.
type writeFate struct {
	delay      time.Duration
	copyStatus int // 200: with the response of the service, 0: no response, or 503
}

// writeFates apply in turn to every second one of the first writes of each kind. A share of all other
// writes gets similar, random ones.
var writeFates = []writeFate{{4 * time.Second, 200}, {9 * time.Second, 0}, {80 * time.Second, 503}, {150 * time.Second, 0}}

// copyFaultTime is how long copies of a delayed write get no response or 503. A sender that gives up at
// all has given up by then.
const copyFaultTime = 7 * time.Second

// delayProxy is a proxy between controllers and the state service. It leaves some writes without a
// response, and forwards them later, after newer writes of the same controller.
type delayProxy struct {
	t      *testing.T
	net    *simulator.Network
	target string
	share  float64 // of the writes that are delayed at random
	rng    *rand.Rand

	mu           sync.Mutex
	kindCounts   map[string]int           // number of writes without copies, by kind
	writes       map[string]*delayedWrite // by sender, target and body
	held         []*delayedWrite          // not forwarded yet
	tallies      map[string]delayedTally  // by kind
	unknownKinds map[string]bool          // that were reported

	// serveInstead handles the controllers' requests. It is serve unless a test replaces it.
	serveInstead func(ctx context.Context, caller *transport.Client, from, method, target string, body []byte) (status int, answer []byte)
}

// Status values for requests that get no response. The connection is kept open for longer than any caller
// waits, or closed after 10 ms.
const (
	noReply    = 0
	connClosed = -1
)

// delayedTally counts the writes of a kind that were forwarded after newer ones, by their result.
type delayedTally struct{ committed, refused int }

// delayedWrite is a write with all its copies.
type delayedWrite struct {
	kind, from   string
	method, path string
	body         []byte
	firstSentAt  time.Time
	fate         *writeFate // nil if it is not delayed
	newerCommits int        // number of newer writes of the same controller that were committed
	commits      int        // number of copies that were committed
	refusedAt    time.Time  // when a copy was first refused because of its conditions
}

// newDelayProxy returns a proxy for the state service at address to that delays a share of the writes.
func newDelayProxy(t *testing.T, net *simulator.Network, to string, seed uint64, share float64) *delayProxy {
	l := &delayProxy{t: t, net: net, target: to, share: share, rng: rand.New(rand.NewPCG(seed, 12)),
		kindCounts: map[string]int{}, writes: map[string]*delayedWrite{}, tallies: map[string]delayedTally{}, unknownKinds: map[string]bool{}}
	l.serveInstead = l.serve
	return l
}

// listen starts to serve one controller at a host of its own, and returns the address.
func (p *delayProxy) listen(ctx context.Context, from, ip string) (addr string) {
	host := p.net.Host(ip)
	caller := &transport.Client{MaxBody: 8 << 20, Dial: host.Dial}
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
			status, body := p.serveInstead(ctx, caller, from, req.Method, target, req.Body)
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

// forward sends a request to the state service. The status is 0 if there is no response.
func (p *delayProxy) forward(ctx context.Context, caller *transport.Client, method, target string, body []byte) (int, []byte) {
	resp, err := caller.Call(ctx, p.target, method, target, body)
	if err != nil {
		return 0, nil
	}
	return resp.Status, resp.Body
}

// countOf returns the number of writes of a kind, without copies.
func (p *delayProxy) countOf(kind string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kindCounts[kind]
}

// requestKind returns the kind of a request, or "" if it changes nothing. A transaction of an unknown kind
// fails the test, because nobody has analysed what a late copy of it does.
func (p *delayProxy) requestKind(from, method, target string, body []byte) (kind string) {
	switch {
	case target == wire.PathTxn:
		var t receivedTxn
		if err := wire.Decode(body, &t); err != nil {
			p.t.Errorf("%s sent a transaction that can't be decoded: %v", from, err)
		}
		if kind = kindOf(&t); kind == "" && len(t.Then) > 0 {
			when, then := t.describe()
			kind = fmt.Sprintf("when %v then %v", when, then)
			p.mu.Lock()
			if !p.unknownKinds[kind] {
				p.t.Errorf("%s sent a transaction of an unknown kind: %s; analyse what a copy does that is committed minutes later, and add the kind to writeKinds", from, kind)
			}
			p.unknownKinds[kind] = true
			p.mu.Unlock()
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
func (p *delayProxy) serve(ctx context.Context, caller *transport.Client, from, method, target string, body []byte) (int, []byte) {
	kind := p.requestKind(from, method, target, body)
	if kind == "" {
		return p.forward(ctx, caller, method, target, body)
	}
	w, status := p.decideFate(kind, from, method, target, body)
	if status != 200 {
		return status, nil
	}
	sent := time.Now()
	status, answer := p.forward(ctx, caller, method, target, body)
	p.noteResult(w, sent, status, false)
	return status, answer
}

// decideFate decides whether a write is delayed, and returns the status for the response: 200 means that
// the write is forwarded now.
func (p *delayProxy) decideFate(kind, from, method, target string, body []byte) (*delayedWrite, int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	id := from + " " + target + " " + string(body)
	w := p.writes[id]
	isLease := slices.Contains(leaseKinds, kind) // lease calls of a kind are identical: each one counts as a new write
	if w == nil || isLease {
		w = &delayedWrite{kind: kind, from: from, method: method, path: target, body: bytes.Clone(body), firstSentAt: now}
		p.writes[id] = w
		n := p.kindCounts[kind]
		p.kindCounts[kind]++
		switch {
		case n < 2*len(writeFates) && n%2 == 0:
			f := writeFates[n/2]
			w.fate = &f
		case p.rng.Float64() < p.share:
			w.fate = &writeFate{time.Duration(2000+p.rng.IntN(10000)) * time.Millisecond, []int{200, 200, 0, 503}[p.rng.IntN(4)]}
			if p.rng.IntN(8) == 0 {
				w.fate.delay += time.Duration(p.rng.IntN(180)) * time.Second
			}
		}
		if w.fate != nil {
			p.held = append(p.held, w)
			return w, 0
		}
		return w, 200
	}
	if w.fate != nil && now.Sub(w.firstSentAt) < copyFaultTime {
		return w, w.fate.copyStatus
	}
	return w, 200
}

// noteResult checks the result of a write or of a copy of it. Once a write was committed, or refused
// because of its conditions, no copy of it may be committed. The only exception are new jobs: a copy may be
// committed between their removal and the next submission fence, since the record of the removed jobs takes
// precedence (TestLateSubmissionBeforeFenceAdvance).
func (p *delayProxy) noteResult(w *delayedWrite, sent time.Time, status int, late bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.path == wire.PathTxn && w.kind != "new jobs" {
		switch status {
		case 200:
			if !w.refusedAt.IsZero() && w.refusedAt.Before(sent) { // the results of concurrent copies may arrive in any order
				p.t.Errorf("%s: %q was refused, and a copy of it was committed later", w.from, w.kind)
			}
			if w.commits++; w.commits > 1 {
				p.t.Errorf("%s: %q was committed %d times", w.from, w.kind, w.commits)
			}
		case 409:
			if w.refusedAt.IsZero() {
				w.refusedAt = time.Now()
			}
		}
	}
	if status == 200 && !late {
		for _, h := range p.held {
			if h.from == w.from && h != w {
				h.newerCommits++
			}
		}
	}
}

// releaseHeld forwards delayed writes when their delay is over and a newer write of their controller was
// committed, or after 5 minutes if there is none.
func (p *delayProxy) releaseHeld(ctx context.Context) {
	caller := &transport.Client{MaxBody: 8 << 20, Dial: p.net.Host("10.2.1.99").Dial}
	for ctx.Err() == nil {
		time.Sleep(100 * time.Millisecond)
		p.mu.Lock()
		var due []*delayedWrite
		p.held = slices.DeleteFunc(p.held, func(w *delayedWrite) bool {
			isDue := time.Since(w.firstSentAt) >= w.fate.delay && (w.newerCommits > 0 || time.Since(w.firstSentAt) > 5*time.Minute)
			if isDue {
				due = append(due, w)
			}
			return isDue
		})
		p.mu.Unlock()
		for _, w := range due {
			sent := time.Now()
			status, _ := p.forward(ctx, caller, w.method, w.path, w.body)
			p.noteResult(w, sent, status, true)
			p.mu.Lock()
			if w.newerCommits > 0 && status != 0 {
				t := p.tallies[w.kind]
				if status == 200 {
					t.committed++
				} else {
					t.refused++
				}
				p.tallies[w.kind] = t
			}
			p.mu.Unlock()
		}
	}
}

// addTallies adds the results of delayed writes to all, by kind.
func (p *delayProxy) addTallies(all map[string]delayedTally) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for kind, n := range p.tallies {
		all[kind] = delayedTally{all[kind].committed + n.committed, all[kind].refused + n.refused}
	}
}

// simulateDelayedWrites runs a simulation in which a share of all writes of controllers is delayed.
func simulateDelayedWrites(t *testing.T, seed uint64, share float64) *delayProxy {
	var l *delayProxy
	simulateAllWrites(t, seed, 3, func(w *simulation) *delayProxy {
		l = newDelayProxy(t, w.net, "10.2.0.1:2379", seed, share)
		go l.releaseHeld(w.ctx)
		return l
	})
	return l
}

// simulateAllWrites runs a simulation in which controllers make every kind of write to the state service,
// through the proxy that newProxy returns: jobs are submitted, end and are compacted, the fleet is divided
// into shards and merged again, the tiers change, and leaders are killed and restart.
func simulateAllWrites(t *testing.T, seed uint64, count int, newProxy func(w *simulation) *delayProxy) {
	d := newAllWritesSimulation(t, seed, count)
	w := d.simulation
	l := newProxy(w)
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
		for i := 1; i < w.count; i++ { // the remaining controller takes over all shards, and later releases some
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
	time.Sleep(time.Minute) // until ledger segments are dropped
	for i := range 20 {
		w.startUser(&wire.Job{ID: fmt.Sprint("wk-", 10+i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 1, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 5}, 5*time.Second, 0)
		time.Sleep(2 * time.Second)
	}
	w.declareQuiet()
	batches := func() int { return len(w.store.Page(store.BatchKey(""), "", 0).Items) }
	for begun := time.Now(); batches() > 0 && time.Since(begun) < 20*time.Minute; time.Sleep(5 * time.Second) {
	}
	if n := batches(); n > 0 {
		t.Errorf("%d batches of jobs were not compacted within 20 min", n)
	}
	w.finishAndCheck(20 * time.Minute)
}

// allWritesSimulation is a simulation whose controllers change their settings when they restart.
type allWritesSimulation struct {
	*simulation
	seed uint64

	mu        sync.Mutex
	shardings map[string]string // by controller
	tiers     map[string]bool   // whether a controller has two tiers
}

func newAllWritesSimulation(t *testing.T, seed uint64, count int) *allWritesSimulation {
	d := &allWritesSimulation{seed: seed, shardings: map[string]string{}, tiers: map[string]bool{}}
	d.simulation = newSimulationOf(t, count, seed, 0, func(c *config.Config) {
		d.mu.Lock()
		defer d.mu.Unlock()
		c.StoreAddr = simulator.Address("10.2.1."+c.Name[2:], 2379)
		c.Tuning.Shards.By = d.shardings[c.Name]
		c.Store.ValueBytes = 2048 // small values make the ledger use many segments
		if d.tiers[c.Name] {
			twoTiers(c)
		}
	})
	return d
}

// rollingRestart changes the settings of each controller and restarts it, one after the other.
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

// submitManyTasks submits a job with so many tasks that the ledger adds segments, and drops them later.
func (d *allWritesSimulation) submitManyTasks(id string) {
	d.startUser(&wire.Job{ID: id, Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 100, CPUs: 1, MemoryGB: 1, Image: "img", ImageGB: 1, EstimateS: 30}, 30*time.Second, 0)
}

// TestDelayedWrites checks that writes of each kind do no harm when they reach the state service after
// newer writes of the same controller. AMBERDEAL_LATEWRITES sets the number of simulations; all but the
// first two, which CI runs, have other faults too and delay up to three of ten writes.
// AMBERDEAL_LATEWRITE selects a single one.
func TestDelayedWrites(t *testing.T) {
	all := map[string]delayedTally{}
	var mu sync.Mutex
	runSeeds(t, 2, "AMBERDEAL_LATEWRITE", func(t *testing.T, seed uint64) {
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
		t.Logf("%s: of those forwarded after newer writes, %d committed, %d refused", kind, all[kind].committed, all[kind].refused)
	}
	for _, kind := range append(leaseKinds, kindNames(func(name string) bool { return !strings.Contains(name, "import") })...) {
		if all[kind] == (delayedTally{}) && os.Getenv("AMBERDEAL_LATEWRITE") == "" {
			t.Errorf("no %q was forwarded after a newer write of its controller: none was delayed, or the simulation has none", kind)
		}
	}
}

// TestDelayedImport imports a state while each kind of import write is delayed past newer ones. Delayed
// copies must not restore what a leader has removed or changed since the import.
func TestDelayedImport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 80, 0, func(c *config.Config) { c.Tuning.History.Compact = false })
		for i := range 12 {
			w.startUser(&wire.Job{ID: fmt.Sprint("wk-", i), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 2, CPUs: 1, MemoryGB: 1,
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
		imported := simulator.NewStateService(1, 0)
		go w.net.Host("10.2.0.3").Listen(w.ctx, "10.2.0.3:2379", 0, imported.Serve())
		l := newDelayProxy(t, w.net, "10.2.0.3:2379", 80, 0.3)
		addr := l.listen(w.ctx, "import", "10.2.1.50")
		go l.releaseHeld(w.ctx)
		c := store.NewClient(w.net.Host("10.3.0.9"), addr, 100, 100, store.EvenAllowance(1), slog.New(slog.NewTextHandler(io.Discard, nil)))
		if _, err := snapshot.Import(t.Context(), c, items, "sum", snapshot.Limits{ValueBytes: 8192, TxnOps: 12}, func(int, int) {}); err != nil {
			t.Errorf("import: %v", err)
		}
		// A leader starts by writing a fencing token, and removes batches when it moves them into the history.
		status, _ := imported.Commit(wire.Txn{Then: []wire.Operation{{Put: store.FencingTokenKey, Value: uint64(1 << 40)}}})
		batches := imported.Page(store.BatchKey(""), "", 0).Items
		for _, it := range batches {
			imported.Commit(wire.Txn{Then: []wire.Operation{{Delete: it.Key}}})
		}
		for i := range 4 { // newer writes of the same sender
			key := store.BatchKey(fmt.Sprint("new-", i))
			_, _ = c.Txn(t.Context(), wire.Txn{If: []wire.Condition{{Key: store.SubmissionFenceKey}, {Key: key}}, Then: []wire.Operation{{Put: key, Value: store.BatchRecord{}}}})
		}
		time.Sleep(6 * time.Minute)
		var token uint64
		if page := imported.Page(store.FencingTokenKey, "", 0); len(page.Items) == 1 {
			_ = wire.DecodeValue(page.Items[0].Value, &token)
		}
		restored := slices.DeleteFunc(imported.Page(store.BatchKey(""), "", 0).Items, func(it wire.KeyValue) bool { return strings.Contains(it.Key, "/new-") })
		if status != 200 || len(batches) == 0 || len(restored) > 0 || token != 1<<40 {
			t.Errorf("%d of %d removed batches were restored; the counter of fencing tokens is %d", len(restored), len(batches), token)
		}
		all := map[string]delayedTally{}
		l.addTallies(all)
		for _, kind := range kindNames(func(name string) bool { return strings.Contains(name, "import") }) {
			if all[kind] == (delayedTally{}) {
				t.Errorf("no %q was forwarded after a newer write", kind)
			}
		}
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}

// kindNames returns the names of the kinds of transactions that the filter selects.
func kindNames(filter func(name string) bool) (out []string) {
	for _, k := range writeKinds {
		if filter(k.name) {
			out = append(out, k.name)
		}
	}
	return out
}

// TestWritersAreKnown checks that all functions that build or send a transaction or make a lease call are
// known. When it finds a new one, add its kind of write to the table in docs/design.md and to writeKinds.
func TestWritersAreKnown(t *testing.T) {
	want := strings.Fields(`
		internal/admission.commit
		internal/archive.advanceSubmissionFence internal/archive.clearRecentBlocks internal/archive.commit internal/archive.mergeTxn internal/archive.planStage
		internal/controller.step
		internal/leader.Decide internal/leader.commitGrant internal/leader.commitRound internal/leader.dropObsoleteRecords internal/leader.dropPreviousLedgers
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
		t.Errorf("functions that write to the state service:\n%s\nknown functions:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
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
		receiver, _ := sel.X.(*ast.SelectorExpr)
		isClient := receiver != nil && strings.EqualFold(receiver.Sel.Name, "client")
		found = found || sel.Sel.Name == "Txn" || sel.Sel.Name == "TxnBeforeSend" || strings.HasPrefix(sel.Sel.Name, "AddChange") || isClient && slices.Contains([]string{"GrantLease", "RenewLease", "RevokeLease"}, sel.Sel.Name)
		return true
	})
	return found
}

// TestUnknownWriteKindIsFound checks that kindOf recognizes no kind if a transaction changes another key
// or lacks one of the conditions of its kind.
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
		var sent receivedTxn
		if err := wire.Decode(wire.Encode(x.txn), &sent); err != nil || kindOf(&sent) != x.want {
			t.Errorf("%s: %q, %v", name, kindOf(&sent), err)
		}
	}
}

// TestDelayedWritesAreDocumented checks that the table in docs/design.md has a row for each kind of write.
func TestDelayedWritesAreDocumented(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repositoryRoot, "docs/design.md"))
	if err != nil {
		t.Fatal(err)
	}
	_, section, _ := strings.Cut(string(text), "What a late write can do")
	section, _, _ = strings.Cut(section, "\n## ")
	for _, k := range writeKinds {
		if !strings.Contains(section, "| "+k.name+" |") {
			t.Errorf("%q is not in the table of docs/design.md", k.name)
		}
	}
	for _, name := range leaseKinds {
		if !strings.Contains(section, "| "+name+" |") {
			t.Errorf("%q is not in the table of docs/design.md", name)
		}
	}
}

// delayedCloud is a proxy between the controllers and the cloud. It leaves some rentals and releases
// without a response, and forwards them later, after newer requests.
type delayedCloud struct {
	*simulation
	mu             sync.Mutex
	requests       map[string]int       // number of requests without copies, by kind
	firstSent      map[string]time.Time // when each request was first sent
	held           map[string]time.Time // the time until which copies get no response, or 503
	promptRequests int                  // number of requests that were forwarded at once
	abandoned      map[string]bool      // rentals that the leader has given up because a copy was refused
	rentedLate     map[string]bool      // machines that these rentals rented afterwards
	releasesInUse  int                  // number of delayed releases of a machine in use
	delayedCounts  map[string]int       // number of requests that were forwarded after newer ones, by kind
	released       func(names []string) // called when a release is delayed
}

func (c *delayedCloud) listen(addr string) {
	host := c.net.Host(simulator.HostOf(addr))
	caller := &transport.Client{MaxBody: 8 << 20, Dial: host.Dial}
	forward := func(ctx context.Context, req *httpwire.Request) *httpwire.Response {
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
	go host.Listen(c.ctx, addr, 0, func(ctx context.Context, s transport.Stream) {
		r := bufio.NewReader(s)
		for {
			req, err := httpwire.ReadRequest(r, 1<<20)
			if err != nil {
				return
			}
			status := c.decideFate(req, func() *httpwire.Response { return forward(c.ctx, req) })
			var resp *httpwire.Response
			switch status {
			case 200:
				resp = forward(ctx, req)
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

// decideFate decides whether a request is delayed, and returns the status for the response: 200 means that
// the request is forwarded now, 0 that it gets no response. send forwards the request and is called later
// if the request is delayed.
func (c *delayedCloud) decideFate(req *httpwire.Request, send func() *httpwire.Response) int {
	kind := map[string]string{wire.PathRentals: "rental", wire.PathRelease: "release"}[req.Path]
	if req.Method != "POST" || kind == "" {
		return 200
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id, now := kind+string(req.Body), time.Now()
	if at, known := c.firstSent[id]; known {
		switch {
		case c.held[id].Before(now):
			c.promptRequests++
			return 200
		case kind == "rental" && now.Sub(at) > 4*time.Second: // the second copy is refused
			c.abandoned[id] = true
			return 503
		}
		return 0
	}
	c.firstSent[id] = now
	n := c.requests[kind]
	c.requests[kind]++
	if n%2 == 1 {
		c.promptRequests++
		return 200
	}
	delay := time.Duration(10+20*(n%3)) * time.Second
	c.held[id] = now.Add(9 * time.Second)
	promptBefore := c.promptRequests
	time.AfterFunc(delay, func() {
		before, _ := c.checker.Counts()
		resp := send()
		after, _ := c.checker.Counts()
		c.mu.Lock()
		defer c.mu.Unlock()
		if resp == nil || c.promptRequests == promptBefore {
			return
		}
		c.delayedCounts[kind]++
		if kind == "release" && after < before {
			c.releasesInUse++
		}
		var names wire.MachineIDs
		if kind == "rental" && c.abandoned[id] && resp.Status == 200 && wire.Decode(resp.Body, &names) == nil {
			for _, name := range names.Machines {
				c.rentedLate[name] = true
			}
		}
	})
	if kind == "release" {
		var names wire.MachineIDs
		_ = wire.Decode(req.Body, &names)
		go c.released(names.Machines)
	}
	return 0
}

// releasedInUse reports whether a delayed release has ended a task.
func (c *delayedCloud) releasedInUse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.releasesInUse > 0
}

// TestDelayedRentals delays rentals until their leader was told that there is no capacity, and releases
// until another leader has launched tasks on the machine. Machines that are rented late have to be used or
// returned, tasks that a late release ended have to run again, and no rule may be violated.
func TestDelayedRentals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newSimulation(t, 81, 0, func(c *config.Config) { c.CloudAddr, c.Tuning.IdleTimeout = "10.2.1.60:8443", 6*time.Second })
		l := &delayedCloud{simulation: w, requests: map[string]int{}, firstSent: map[string]time.Time{}, held: map[string]time.Time{}, abandoned: map[string]bool{},
			rentedLate: map[string]bool{}, delayedCounts: map[string]int{}}
		var jobs atomic.Int64
		array := func(run time.Duration) {
			w.startUser(&wire.Job{ID: fmt.Sprint("wk-", jobs.Add(1)), Class: "c", Team: "blue", Shape: wire.Array, Priority: wire.Normal, Tasks: 10, CPUs: 2, GPUs: 1, MemoryGB: 8,
				Image: "img", ImageGB: 1, EstimateS: run.Seconds()}, run, 0)
		}
		kills := 0
		var killMu sync.Mutex
		l.released = func([]string) { // the next leader does not know about the release, and continues to use the machine
			killMu.Lock()
			defer killMu.Unlock()
			if leader := w.leaders()["fleet"]; leader != "" && kills < 12 && !l.releasedInUse() {
				kills++
				w.kill(int(leader[2]-'0'), 3*time.Second)
				array(40 * time.Second)
			}
		}
		l.listen("10.2.1.60:8443")
		for n := 0; n < 6 || !l.releasedInUse() && n < 24; n++ { // until a delayed release has ended a task
			array(15 * time.Second)
			time.Sleep(45 * time.Second)
		}
		time.Sleep(3 * time.Minute) // idle machines are returned by then
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.delayedCounts["rental"] == 0 || l.delayedCounts["release"] == 0 || len(l.rentedLate) == 0 || l.releasesInUse == 0 {
			t.Errorf("delayed requests: %v, machines rented after their rental was abandoned: %v, releases of machines in use: %d", l.delayedCounts, l.rentedLate, l.releasesInUse)
		}
		w.cloud.EachRunning(func(m wire.ListedMachine, _ simulator.Machine) {
			if l.rentedLate[m.ID] {
				t.Errorf("machine %s, which was rented late, is neither used nor returned", m.ID)
			}
		})
		w.finish(10 * time.Minute)
		w.checkResults()
	})
}
