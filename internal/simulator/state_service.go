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

// StateLimits are the limits that the state service imposes on its callers; 0 stands for none.
type StateLimits struct {
	RPS, WriteRPS   float64 // with bursts of one second's worth
	ValueBytes      int
	TxnOps          int // and four times as many conditions
	PageItems       int // 1000 if it is 0
	RetainedChanges int // 10,000 if it is 0
}

// What a transaction, a page and a lease may take, and the length of a key.
const (
	maxWatchMS   = 60_000 // ms of a watch
	minTTLMS     = 100
	maxTTLMS     = 600_000
	maxKeyBytes  = 200
	maxTxnBytes  = 64 << 10
	maxPageBytes = 512 << 10
)

// StateService imitates the consensus-backed key-value store: compare-and-swap transactions,
// leases, pages and watches, under the limits and faults that are configured.
type StateService struct {
	Rand   *rand.Rand
	Limits StateLimits
	// HoldTxn, if set, selects transactions that are held back without an answer until ReleaseHeld.
	HoldTxn func(puts []string) bool
	// ResponseDelay, if set, returns the time that an answer takes.
	ResponseDelay func() time.Duration
	// LossShare is the share of transactions without an answer; half of them are carried out later.
	LossShare float64
	// DelayedShare is the share of transactions without an answer that are carried out 2 to 12 s
	// later, after newer ones.
	DelayedShare float64
	// LostReplyShare is the share of transactions that are carried out at once and whose answer is
	// lost.
	LostReplyShare float64
	// OnCommit, if set, is called with the keys of each committed transaction.
	OnCommit func(puts []string)
	// FateOf, if set, decides what happens to a transaction with these values.
	FateOf   func(puts map[string]wire.Raw) Fate
	heldTxns []txn

	mu                           sync.Mutex
	down                         bool
	refusedCallers               map[string]bool // callers that get 503 while others are served
	revision                     uint64
	items                        btree.Map[string, wire.KeyValue]
	history                      []wire.Event
	compactedRevision            uint64 // changes up to this revision are no longer retained
	leases                       map[uint64]*lease
	changed                      chan struct{}
	committedChanges             int
	requests                     int
	requestLimiter, writeLimiter *rate.Limiter

	delayed, delayedCommitted int // transactions that were delayed, and those of them that were committed
	lostReplies               int // transactions that were committed and not answered
}

// NewStateService returns an empty service with a fixed seed. The share lossy of all transactions
// gets no answer; half of these are carried out later.
func NewStateService(seed uint64, lossy float64) *StateService {
	return &StateService{LossShare: lossy, Rand: rand.New(rand.NewPCG(seed, 1)), leases: map[uint64]*lease{}, changed: make(chan struct{})}
}

// Configure changes the configured faults while the service runs.
func (s *StateService) Configure(change func(*StateService)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
}

// Counts returns how many requests were made, how many changes were committed, and how many keys
// exist.
func (s *StateService) Counts() (requests, changes, keys int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests, s.committedChanges, s.items.Len()
}

// exceedsRate reports whether a rate limiter refuses n more operations at once.
func exceedsRate(l **rate.Limiter, limit float64, n int) bool {
	if limit <= 0 {
		return false
	}
	if *l == nil {
		*l = rate.NewLimiter(rate.Limit(limit), max(1, int(limit)))
	}
	return !(*l).AllowN(time.Now(), n)
}

// SetOutage starts or ends an outage. After an outage every lease has its full time to live.
func (s *StateService) SetOutage(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	for _, l := range s.leases {
		l.expiresAt = time.Now().Add(l.ttl)
	}
}

// RefuseCaller answers one caller with 503 while the others are served, or ends that.
func (s *StateService) RefuseCaller(caller string, refuse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusedCallers == nil {
		s.refusedCallers = make(map[string]bool)
	}
	s.refusedCallers[caller] = refuse
}

// Serve implements the protocol of the state service.
func (s *StateService) Serve() transport.ServeConn { return s.ServeCaller("") }

// ServeCaller implements the protocol for one caller, who can be refused by name.
func (s *StateService) ServeCaller(caller string) transport.ServeConn {
	return serveHTTP(func(method, path string, q map[string]string, body []byte) (int, any) {
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
			return s.watch(caller, q)
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
			limit, _ := strconv.Atoi(q["limit"])
			return 200, s.list(q["prefix"], q["from"], limit)
		case path == wire.PathLeases:
			return s.grantLease(body)
		}
		if key, ok := strings.CutPrefix(path, wire.PathKeys+"/"); ok {
			if it, found := s.items.Get(key); found {
				return 200, it
			}
			return 404, map[string]uint64{"era": s.revision}
		}
		return s.serveLease(method, strings.TrimPrefix(path, wire.PathLeases+"/"))
	})
}
