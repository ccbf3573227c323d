package store

import (
	"context"
	"maps"
	"sync"
)

// CallStats counts the calls made to the state service. Changes counts the operations of
// transactions, Refused the calls that the service rejected as overloaded or unavailable,
// Unanswered the calls without a response, and Bytes the sizes of request and response bodies.
type CallStats struct {
	Requests, Changes, Refused, Unanswered, Bytes uint64
}

// Purposes by which calls are counted. The values are metric labels.
const (
	PurposeLeadership    = "claim"
	PurposeRounds        = "round"
	PurposeSubmissions   = "submission"
	PurposeCancellations = "cancel"
	PurposeCompaction    = "fold"
	PurposeReads         = "read"
)

type purposeKey struct{}

// WithPurpose returns a context whose calls are counted under purpose.
func WithPurpose(ctx context.Context, purpose string) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

// purposeOf returns the purpose set by WithPurpose, PurposeReads by default.
func purposeOf(ctx context.Context) string {
	if p, ok := ctx.Value(purposeKey{}).(string); ok {
		return p
	}
	return PurposeReads
}

// callCounters accumulates CallStats by purpose.
type callCounters struct {
	mu        sync.Mutex
	byPurpose map[string]CallStats
}

// add applies update to the counts of a purpose.
func (s *callCounters) add(purpose string, update func(*CallStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPurpose == nil {
		s.byPurpose = make(map[string]CallStats)
	}
	n := s.byPurpose[purpose]
	update(&n)
	s.byPurpose[purpose] = n
}

// CallStatsByPurpose returns a copy of the call counts, keyed by purpose.
func (c *Client) CallStatsByPurpose() map[string]CallStats {
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	return maps.Clone(c.calls.byPurpose)
}

// CallStats returns the call counts summed over all purposes.
func (c *Client) CallStats() CallStats {
	var sum CallStats
	for _, s := range c.CallStatsByPurpose() {
		sum.Requests += s.Requests
		sum.Changes += s.Changes
		sum.Refused += s.Refused
		sum.Unanswered += s.Unanswered
		sum.Bytes += s.Bytes
	}
	return sum
}
