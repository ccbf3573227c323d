package writers

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

func names(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprint("c-", i))
	}
	return out
}

func none(string) bool { return false }

// TestPolicy checks that at small sites each controller writes for itself, with even shares.
func TestPolicy(t *testing.T) {
	for _, x := range []struct{ controllers, configured, want int }{{1, Auto, 0}, {3, Auto, 0}, {5, Auto, 0}, {6, Auto, 4}, {24, Auto, 4}, {24, 0, 0}, {5, 2, 2}, {3, 3, 0}, {3, 9, 0}} {
		if p := PolicyFor(x.controllers, x.configured); p.MaxWriters != x.want {
			t.Errorf("%d controllers, set to %d: %d write, not %d", x.controllers, x.configured, p.MaxWriters, x.want)
		}
	}
	p := PolicyFor(5, Auto)
	if p.Choose(names(5), none) != nil || p.WriteShare(nil, "c-1") != 0.2 || p.MinWriteShare() != 0.2 || p.RequestShare(nil, "c-1", 1) != 0.2 {
		t.Error("five controllers don't share evenly")
	}
}

// TestChoose checks that the writers are live controllers other than the leader, and that they mostly stay the same
// when other controllers come and go.
func TestChoose(t *testing.T) {
	p := PolicyFor(24, Auto)
	all := names(24)
	writers := p.Choose(all, none)
	if len(writers) != 4 {
		t.Fatalf("%v write", writers)
	}
	reversed := slices.Clone(all)
	slices.Reverse(reversed)
	if got := p.Choose(reversed, none); !slices.Equal(got, writers) {
		t.Errorf("%v, and in another order %v", writers, got)
	}
	if got := p.Choose(all, func(name string) bool { return name == writers[0] }); slices.Contains(got, writers[0]) || len(got) != 4 {
		t.Errorf("the leader writes: %v", got)
	}
	for _, gone := range all {
		left := slices.DeleteFunc(slices.Clone(all), func(name string) bool { return name == gone })
		kept := 0
		for _, name := range p.Choose(left, none) {
			if slices.Contains(writers, name) {
				kept++
			}
		}
		if kept < 3 {
			t.Errorf("without %s only %d writers stay", gone, kept)
		}
	}
	if got := p.Choose(all[:12], none); got != nil {
		t.Errorf("half of the controllers choose %v", got)
	}
	if got := p.Choose(all[:13], none); len(got) != 4 {
		t.Errorf("a majority chooses %v", got)
	}
}

// TestWriterOf checks that keys are spread evenly over the writers, and that avoiding a writer moves only its own keys.
func TestWriterOf(t *testing.T) {
	writers, count := names(4), map[string]int{}
	for i := range 4000 {
		key := fmt.Sprintf("wk-%06d", i)
		first := WriterOf(writers, key, none)
		count[first]++
		other := WriterOf(writers, key, func(name string) bool { return name == "c-2" })
		if other == "c-2" || first != "c-2" && other != first {
			t.Fatalf("%s goes to %s, and to %s where c-2 is avoided", key, first, other)
		}
	}
	for name, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s writes %d of 4000", name, n)
		}
	}
	if got := WriterOf(nil, "wk-1", none); got != "" {
		t.Errorf("without writers %q writes", got)
	}
}

// TestSharesStayWithinLimits checks that the shares add up to no more than the limits if a majority chooses the same
// writers while the other controllers receive heartbeats from too few and choose none.
func TestSharesStayWithinLimits(t *testing.T) {
	for _, n := range []int{6, 9, 24} {
		p := PolicyFor(n, Auto)
		all := names(n)
		writers := p.Choose(all, none)
		for _, partitioned := range []int{0, 1, n/2 - 1} { // controllers that receive no heartbeats
			changes, requests := 0.0, 0.0
			for i, name := range all {
				known := writers
				if !slices.Contains(writers, name) && i >= n-partitioned {
					known = nil
				}
				changes += p.WriteShare(known, name)
				requests += p.RequestShare(known, name, map[bool]float64{true: 1}[i == 0])
			}
			if changes > 1+1e-9 || requests > 1+1e-9 || partitioned == 0 && math.Abs(requests-1) > 1e-9 {
				t.Errorf("%d controllers, %d of them apart: %v of the changes, %v of the requests", n, partitioned, changes, requests)
			}
		}
		if p.WriteShare(writers, writers[0]) <= 2*p.MinWriteShare() {
			t.Errorf("%d controllers: a writer has hardly more than others", n)
		}
	}
}
