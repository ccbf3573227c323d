package store

import (
	"context"
	"maps"
	"sync"
)

// CallStats counts what the state service was asked for.
type CallStats struct {
	Requests, Changes, Refused, Unanswered, Bytes uint64
}

// The purposes by which calls are counted; they are labels of the metrics.
const (
	PurposeLeadership    = "claim"
	PurposeRounds        = "round"
	PurposeSubmissions   = "submission"
	PurposeCancellations = "cancel"
	PurposeCompaction    = "fold"
	PurposeReads         = "read"
)

type purposeKey struct{}

// WithPurpose marks the calls under a context by what they are made for.
func WithPurpose(ctx context.Context, purpose string) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

func purposeOf(ctx context.Context) string {
	if p, ok := ctx.Value(purposeKey{}).(string); ok {
		return p
	}
	return PurposeReads
}

// callCounters keeps CallStats by purpose.
type callCounters struct {
	mu        sync.Mutex
	byPurpose map[string]CallStats
}

// add updates the counts of a purpose.
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

// CallStatsByPurpose returns the counts by purpose.
func (c *Client) CallStatsByPurpose() map[string]CallStats {
	c.calls.mu.Lock()
	defer c.calls.mu.Unlock()
	return maps.Clone(c.calls.byPurpose)
}

// CallStats returns the counts of all purposes together.
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
