package zonerecovery

import (
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/wire"
)

// TestKeeps gives up what finds room elsewhere, up to that room, and keeps the rest for as
// long as another machine would cost.
func TestKeeps(t *testing.T) {
	work := scheduler.Amount{CPUs: 8, GPUs: 4, MemoryGB: 32}
	yes, no := func() bool { return true }, func() bool { return false }
	const soon, late = 20 * time.Second, 2 * time.Minute
	for _, c := range []struct {
		name string
		room Room
		lost Lost
		n    int // of three such machines that are kept
	}{
		{"production runs on", Room{Free: work, Rents: 3}, Lost{Top: true, Takes: work, Rent: yes, Dark: soon}, 3},
		{"a full fleet", Room{Waits: true, Free: work, Rents: 3}, Lost{Takes: work, Rent: yes, Dark: soon}, 3},
		{"room for one", Room{Free: work}, Lost{Takes: work, Rent: no, Dark: soon}, 2},
		{"two can be rented", Room{Rents: 2}, Lost{Takes: work, Rent: yes, Dark: soon}, 1},
		{"none can be rented for such work", Room{Rents: 2}, Lost{Takes: work, Rent: no, Dark: soon}, 3},
		{"nothing is on it", Room{Free: work, Rents: 3}, Lost{Rent: yes, Dark: soon}, 3},
		{"away for too long", Room{Waits: true}, Lost{Takes: work, Dark: late}, 0},
	} {
		c.lost.Anew = Anew(wire.MachineType{BootS: 30, FetchGBps: 0.5}, 10) // 30 + 20 + 60 s
		kept := 0
		for range 3 {
			if c.room.Keeps(c.lost) {
				kept++
			}
		}
		if kept != c.n {
			t.Errorf("%s: %d of three are kept, not %d", c.name, kept, c.n)
		}
	}
}
