package scheduler

import (
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestMachinePool checks that machines are counted by zone and offer, and that added ones can be removed.
func TestMachinePool(t *testing.T) {
	p := newMachinePool([]wire.MachineType{g4}, 46)
	up, booting, down := machine("n-1", "a"), machine("n-2", "b"), machine("n-3", "a")
	booting.Usable, booting.Booting = false, true
	down.Usable = false
	for _, m := range []*Machine{up, booting, down} {
		p.insert(m)
	}
	if len(p.usable) != 1 || p.inZone["a"] != 2 || len(p.booting[booting.offerIndex]) != 1 || up.offerIndex != down.offerIndex {
		t.Errorf("pool %+v", p)
	}
	offer := Offer{"g4", "b", false}
	m := p.add(offer, 3)
	if m.Free != (Resources{16, 4, 64, 46}) || m.offerIndex != booting.offerIndex || len(p.booting[m.offerIndex]) != 2 || p.requested[offer] != 1 || p.inZone["b"] != 2 {
		t.Errorf("pool %+v after adding %+v", p, m)
	}
	p.truncateAdded(0)
	if len(p.added) != 0 || len(p.booting[booting.offerIndex]) != 1 || p.requested[offer] != 0 || p.inZone["b"] != 1 {
		t.Errorf("pool %+v", p)
	}
}
