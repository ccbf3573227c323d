package autoscale

import (
	"slices"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
)

// TestScaler checks that the record of a request that was dropped before it was stored is marked for deletion, and
// that a machine stays in the list of machines to return until it is gone.
func TestScaler(t *testing.T) {
	s := NewScaler(10)
	s.RecordsStored(nil)
	select {
	case <-s.Woken():
		t.Error("woken although no request was stored")
	default:
	}
	s.Add(time.Unix(1e9, 0), "x", scheduler.ScaleOut{Count: 1})
	s.RecordsStored([]string{"x", "y"})
	<-s.Woken()
	s.Wake()
	s.Wake() // never blocks
	s.MarkObsolete([]string{"b", "a"})
	if got := s.Obsolete(); !slices.Equal(got, []string{"a", "b", "y"}) {
		t.Error(got)
	}
	s.RecordDeleted("a")
	s.Release("n-2")
	s.Release("n-1")
	if got := s.Releasing(); !slices.Equal(got, []string{"n-1", "n-2"}) {
		t.Error(got)
	}
	s.ForgetMachine("n-1")
	if got := s.Releasing(); !slices.Equal(got, []string{"n-2"}) || len(s.Obsolete()) != 2 {
		t.Error(got)
	}
}
