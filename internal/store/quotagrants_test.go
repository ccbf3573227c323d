package store

import (
	"bytes"
	"testing"

	"amberdeal.example/amberdeal/wire"
)

// TestQuotaGrants checks that a grant is stored as a list of CPUs and GPUs and is read back unchanged, and
// that WithGrants leaves the original record unmodified.
func TestQuotaGrants(t *testing.T) {
	rec := NewQuotaGrantRecord(map[string]map[string]QuotaGrant{"red": {"a": {CPUs: 1, GPUs: 2}, "b": {GPUs: 3}}})
	want := wire.Encode(map[string]any{"teams": map[string]any{"red": map[string]any{"a": []float64{1, 2}, "b": []float64{0, 3}}}})
	if got := wire.Encode(rec); !bytes.Equal(got, want) {
		t.Errorf("stored as %x, want %x", got, want)
	}
	changed := rec.WithGrants("a", map[string]QuotaGrant{"red": {CPUs: 4}, "blue": {GPUs: 5}})
	for _, x := range []struct {
		name        string
		rec         QuotaGrantRecord
		team, shard string
		want        QuotaGrant
	}{
		{"as given", rec, "red", "a", QuotaGrant{CPUs: 1, GPUs: 2}},
		{"as given", rec, "red", "b", QuotaGrant{GPUs: 3}},
		{"unknown team", rec, "blue", "a", QuotaGrant{}},
		{"unknown shard", rec, "red", "c", QuotaGrant{}},
		{"changed", changed, "red", "a", QuotaGrant{CPUs: 4}},
		{"another shard's", changed, "red", "b", QuotaGrant{GPUs: 3}},
		{"new", changed, "blue", "a", QuotaGrant{GPUs: 5}},
		{"first of all", QuotaGrantRecord{}.WithGrants("a", map[string]QuotaGrant{"red": {GPUs: 1}}), "red", "a", QuotaGrant{GPUs: 1}},
	} {
		if got := x.rec.Grant(x.team, x.shard); got != x.want {
			t.Errorf("%s: %s in %s: %+v, want %+v", x.name, x.team, x.shard, got, x.want)
		}
	}
}
