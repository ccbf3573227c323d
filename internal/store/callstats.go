package store

import (
	"context"
	"maps"
	"sync"
)

// Spent counts what the state service was asked for.
type Spent struct {
	Requests, Changes, Refused, Unanswered, Bytes uint64
}

// The purposes that calls are counted by.
const (
	Claims      = "claim"
	Rounds      = "round"
	Submissions = "submission"
	Cancels     = "cancel"
	Folding     = "fold"
	Reading     = "read"
)

type purposeKey struct{}

// For marks the calls under a context by what they are made for.
func For(ctx context.Context, purpose string) context.Context {
	return context.WithValue(ctx, purposeKey{}, purpose)
}

func purposeOf(ctx context.Context) string {
	if p, ok := ctx.Value(purposeKey{}).(string); ok {
		return p
	}
	return Reading
}

type spent struct {
	mu sync.Mutex
	by map[string]Spent
}

func (s *spent) add(purpose string, f func(*Spent)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.by == nil {
		s.by = make(map[string]Spent)
	}
	n := s.by[purpose]
	f(&n)
	s.by[purpose] = n
}

// SpentBy gives the counts by purpose.
func (c *Client) SpentBy() map[string]Spent {
	c.spent.mu.Lock()
	defer c.spent.mu.Unlock()
	return maps.Clone(c.spent.by)
}

// Spent gives the counts of all purposes together.
func (c *Client) Spent() Spent {
	var sum Spent
	for _, s := range c.SpentBy() {
		sum.Requests += s.Requests
		sum.Changes += s.Changes
		sum.Refused += s.Refused
		sum.Unanswered += s.Unanswered
		sum.Bytes += s.Bytes
	}
	return sum
}
