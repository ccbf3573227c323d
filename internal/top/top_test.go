package top

import (
	"strings"
	"testing"
	"time"
)

// TestPrint checks that information of all controllers is taken from the one with the highest revision, information of
// leaders is merged, rates are relative to the previous view, and controllers that do not respond are listed.
func TestPrint(t *testing.T) {
	at := time.Unix(1e9, 0)
	view := func(at time.Time, changes uint64) *View {
		return &View{At: at, Unreachable: map[string]string{"10.0.0.3:9464": "connection refused"}, Statuses: map[string]*Status{
			"10.0.0.1:9464": {Name: "c-0", Revision: 5, Shards: map[string]Shard{"fleet": {"c-9", 1}}, Teams: map[string]Team{"red": {GPUsMax: 6}}},
			"10.0.0.2:9464": {Name: "c-1", Ready: true, UpS: 90, Revision: 9, Shards: map[string]Shard{"fleet": {"c-1", 7}}, Classes: map[string]Class{"tidy": {2, 3, 40, 12, 9}},
				Teams: map[string]Team{"red": {GPUs: 5, GPUsMin: 4, GPUsMax: 6}}, Zones: map[string]Zone{"a": {8, 1, "fill, 4 GPUs were at work"}}, Tiers: map[string]Tier{"live": {1, 12, 20, 8, 3, 1}}, Budget: Budget{RPS: 100, WriteRPS: 30, Changes: changes}}}}
	}
	var out strings.Builder
	view(at.Add(2*time.Second), 25).Print(&out, view(at, 5))
	text := strings.Join(strings.Fields(out.String()), " ")
	for _, want := range []string{"fleet c-1 7", "tidy 2 3 40 12 9", "red 5 4 6 0 - -", "a 8 1 fill, 4 GPUs were at work", "live 12 20 8 3 1", "10.0.0.2:9464 c-1 true 1m30s 0 0.0 of 100 10.0 of 30 0 0", "10.0.0.3:9464 connection refused"} {
		if !strings.Contains(text, want) {
			t.Errorf("%q is not in\n%s", want, out.String())
		}
	}
	out.Reset()
	(&View{}).Print(&out, nil)
	if !strings.Contains(out.String(), "no controller answers") {
		t.Error(out.String())
	}
}
