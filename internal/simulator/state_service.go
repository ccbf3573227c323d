package simulator

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/btree"
	"golang.org/x/time/rate"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// StateLimits are the limits that the state service imposes on its callers. 0 means no limit unless stated
// otherwise.
type StateLimits struct {
	RPS, WriteRPS   float64 // requests and changes per second, with bursts of one second's worth
	ValueBytes      int     // size of a value as JSON
	TxnOps          int     // changes in a transaction; four times as many conditions are allowed
	PageItems       int     // keys in a page; 0 for 1000
	RetainedChanges int     // changes that are retained for watches; 0 for 10,000
}

// Limits of the protocol on watches, leases, keys, transactions and pages.
const (
	maxWatchMS   = 60_000 // longest time that a watch blocks
	minTTLMS     = 100
	maxTTLMS     = 600_000
	maxKeyBytes  = 200
	maxTxnBytes  = 64 << 10
	maxPageBytes = 512 << 10
)

// StateService simulates the consensus-backed key-value store: compare-and-swap transactions, leases,
// pages and watches, subject to the configured limits and faults.
type StateService struct {
	Rand   *rand.Rand
	Limits StateLimits
	// HoldTxn, if set, selects by their written keys the transactions that are withheld, without an
	// answer, until ReleaseHeld.
	HoldTxn func(puts []string) bool
	// ResponseDelay, if set, returns the delay of each answer.
	ResponseDelay func() time.Duration
	// LossShare is the share of transactions that get no answer. Half of them are carried out at once, the
	// others up to 8 s later.
	LossShare float64
	// DelayedShare is the share of transactions that are carried out 2 to 12 s later, after newer ones, and
	// get no answer.
	DelayedShare float64
	// LostReplyShare is the share of transactions that are carried out at once but get no answer.
	LostReplyShare float64
	// OnCommit, if set, is called with the keys that each committed transaction writes.
	OnCommit func(puts []string)
	// OutcomeOf, if set, decides by the written values, by key, what happens to a transaction.
	OutcomeOf func(puts map[string]wire.Raw) TxnOutcome
	heldTxns  []txn

	mu                           sync.Mutex
	down                         bool
	refusedCallers               map[string]bool // callers that are answered 503 while others are served
	revision                     uint64
	items                        btree.Map[string, wire.KeyValue]
	history                      []wire.Event // retained changes, oldest first
	compactedRevision            uint64       // changes up to this revision are no longer retained
	leases                       map[uint64]*lease
	changed                      chan struct{} // closed and replaced at each commit
	committedChanges             int
	requests                     int
	requestLimiter, writeLimiter *rate.Limiter

	delayed, delayedCommitted int // number of transactions that were delayed, and of those that were then committed
	lostReplies               int // number of transactions that were committed but not answered
}

// NewStateService returns an empty service whose random choices depend on the seed only. lossShare sets
// LossShare.
func NewStateService(seed uint64, lossShare float64) *StateService {
	return &StateService{LossShare: lossShare, Rand: rand.New(rand.NewPCG(seed, 1)), leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Configure changes the configured limits and faults while the service runs.
func (s *StateService) Configure(change func(*StateService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Counts returns the number of requests received, of changes committed, and of existing keys.
func (s *StateService) Counts() (requests, changes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.committedChanges, s.items.Len()
}

// exceedsRate reports whether a rate limit refuses n more operations at once. It creates the limiter on
// first use.
func exceedsRate(limiter **rate.Limiter, limit float64, n int) bool {
	if limit <= 0 {
		return false
	}
	if *limiter == nil {
		*limiter = rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
	}
	return !(*limiter).AllowN(time.Now(), n)
}

// SetOutage starts or ends an outage, in which requests are answered 503 and watches that block wait for
// its end. After an outage every lease has its full time to live again.
func (s *StateService) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// RefuseCaller handles the requests of one caller as during an outage while the others are served.
// refuse=false ends that.
func (s *StateService) RefuseCaller(caller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedCallers == nil {
		s.refusedCallers = make(map[string]bool)
	}
	s.refusedCallers[caller] = refuse
}

// Serve returns a handler that implements the protocol of the state service.
func (s *StateService) Serve() transport.ServeConn { return s.ServeCaller("") }

// ServeCaller returns a handler for one caller, whose requests RefuseCaller can refuse by its name.
func (s *StateService) ServeCaller(caller string) transport.ServeConn {
	return serveHTTP(func(method, path string, query map[string]string, body []byte) (int, any) {
		s.mu.Lock()
		delay := s.ResponseDelay
		s.mu.Unlock()
		if delay != nil {
			time.Sleep(delay())
		}
		s.mu.Lock()
		s.requests++
		if !s.down && exceedsRate(&s.requestLimiter, s.Limits.RPS, 1) {
			s.mu.Unlock()
			return 429, nil
		}
		if path == wire.PathWatch {
			s.mu.Unlock()
			return s.watch(caller, query)
		}
		defer s.mu.Unlock()
		if s.down || s.refusedCallers[caller] {
			return 503, nil
		}
		s.expireLeases()
		switch {
		case path == wire.PathTxn:
			return s.serveTxn(body)
		case path == wire.PathKeys:
			limit, _ := strconv.Atoi(query["limit"])
			return 200, s.list(query["prefix"], query["from"], limit)
		case path == wire.PathLeases:
			return s.grantLease(body)
		}
		if key, ok := strings.CutPrefix(path, wire.PathKeys+"/"); ok {
			if item, found := s.items.Get(key); found {
				return 200, item
			}
			return 404, map[string]uint64{"era": s.revision}
		}
		return s.serveLease(method, strings.TrimPrefix(path, wire.PathLeases+"/"))
	})
}
