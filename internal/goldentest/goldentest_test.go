package goldentest

import (
	"slices"
	"testing"
	"time"
)

type inner struct {
	Pair [2]float64
	Next *int
	At   time.Time
}

type sample struct {
	Name   string
	On     bool
	Count  uint8
	List   []inner
	ByName map[string]inner
	Any    any
	hidden int
}

// TestFillLeavesNoFieldZero checks that Fill leaves no exported field zero, skips unexported fields, and gives a
// type the same values each time.
func TestFillLeavesNoFieldZero(t *testing.T) {
	a, b := FilledValue[sample](t), FilledValue[sample](t)
	if x, y := Leaves(a), Leaves(b); !slices.Equal(x, y) {
		t.Errorf("%v, then %v", x, y)
	}
	if a.hidden != 0 {
		t.Error("an unexported field, which no encoder writes, was set")
	}
	if n := len(Leaves(a)); n != 13 {
		t.Errorf("%d leaves: %v", n, Leaves(a))
	}
}

// TestZerosNamesEveryZeroField checks that zero and empty fields are reported at any depth.
func TestZerosNamesEveryZeroField(t *testing.T) {
	v := FilledValue[sample](t)
	v.Count, v.List[0].Pair[1], v.List[0].Next, v.ByName = 0, 0, nil, nil
	want := []string{".Count", ".List[0].Pair[1]", ".List[0].Next", ".ByName"}
	if got := Zeros(v); !slices.Equal(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
}
