package config

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// TestParse checks that a complete file is parsed, and that for a file in which almost all fields are
// invalid, the error names each of them.
func TestParse(t *testing.T) {
	good, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(good)
	if err != nil {
		t.Fatal(err)
	}
	if c.Workers.Lease != 30*time.Second || c.Store.ValueBytes != 8192 || c.Teams[0].GPUsMax != 8 || len(c.Peers) != 1 {
		t.Errorf("read as %+v", c)
	}
	large := strings.NewReplacer(`"value_kb": 8`, `"value_kb": 64`, `"write_rps": 30`, `"write_rps": 6`).Replace(string(good))
	if c, err := Parse([]byte(large)); err != nil || c.Store.ValueBytes != maxValueBytes || c.Store.TxnOps != 6 {
		t.Errorf("the limits do not fit a transaction: %+v, %v", c.Store, err)
	}
	bad, err := os.ReadFile("testdata/bad.json")
	if err != nil {
		t.Fatal(err)
	}
	_, err = Parse(bad)
	if err == nil {
		t.Fatal("accepted")
	}
	for _, field := range []string{"host_name", "public_addr", "mesh_addr", "endpoints.cloud", "siblings[0].peer_addr", "params.zones",
		"params.teams[0].gpus", "params.workers.lease_s", "params.workers.cancel_s", "params.state.txn_ops", "params.cloud.rps", "params.limits.ram_mb"} {
		if !strings.Contains(err.Error(), field+":") {
			t.Errorf("the error does not name %s:\n%v", field, err)
		}
	}
	if _, err := Parse([]byte("{")); err == nil {
		t.Error("a truncated file was accepted")
	}
}

// TestMaxCancelStaleness checks, for each accepted pair of a worker's lease and a cancellation time, that the
// last task of a cancelled job ends in time: the lease may be renewed until the maximum staleness, both clocks
// may drift, and timers may fire late. A controller whose view is as old as one watch request must still be
// allowed to respond. Pairs that leave too little time must be rejected with the name of the setting.
func TestMaxCancelStaleness(t *testing.T) {
	good, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	for lease := 4 * time.Second; lease < 10*time.Minute; lease += (lease/3 + time.Second).Truncate(time.Second) {
		for _, margin := range []time.Duration{-time.Second, 0, time.Second, 3900 * time.Millisecond, MinCancelMargin, 5 * time.Second, 7 * time.Second, 12 * time.Second, 25 * time.Second, time.Minute} {
			text := strings.Replace(string(good), `"lease_s": 30`, fmt.Sprintf(`"lease_s": %v`, lease.Seconds()), 1)
			text = strings.Replace(text, `"cancel_s": 60`, fmt.Sprintf(`"cancel_s": %v`, (lease+margin).Seconds()), 1)
			c, err := Parse([]byte(text))
			if margin < MinCancelMargin {
				if err == nil || !strings.Contains(err.Error(), "params.workers.cancel_s:") {
					t.Errorf("lease %v, cancel %v: %v", lease, lease+margin, err)
				}
				continue
			}
			if err != nil {
				t.Fatal(err)
			}
			const drift = 0.0005
			staleness := c.Workers.MaxCancelStaleness()
			lastEnd := time.Duration(float64(staleness+lease) * (1 + drift) / (1 - drift))
			if lastEnd+500*time.Millisecond > c.Workers.CancelTimeout || staleness < 2*time.Second {
				t.Errorf("lease %v, cancel %v: leases are renewed for %v, the last task ends after %v", lease, c.Workers.CancelTimeout, staleness, lastEnd)
			}
		}
	}
}

// TestTuning checks that the operators' file is parsed, and that invalid values and unknown keys are rejected.
func TestTuning(t *testing.T) {
	tuning := DefaultTuning()
	if err := tuning.parse([]byte("[claim]\nlease = 8s\nrenew = 2s\n[round]\ntasks = 100\n")); err != nil || tuning.Lease != 8*time.Second || tuning.MaxRoundLaunches != 100 {
		t.Errorf("%+v, %v", tuning, err)
	}
	err := tuning.parse([]byte("[claim]\nlease = long\nrenew = 9s\n[rounds]\ntasks = 1\n"))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, field := range []string{"claim.lease", "claim.renew", "rounds.tasks"} {
		if !strings.Contains(err.Error(), field) {
			t.Errorf("the error does not name %s:\n%v", field, err)
		}
	}
}

// TestShards checks that the settings of shards are validated against the platform's zones, and that errors
// name the field, the value and the allowed values.
func TestShards(t *testing.T) {
	c := &Config{Zones: []string{"b", "a", "c"}}
	for by, shards := range map[string]string{"off": "fleet", "zone": "a b c", "2": "part-0 part-1", "3": "a b c", "1": "fleet"} {
		c.Tuning.Shards.By = by
		if err := c.checkShards(); err != nil || strings.Join(c.Sharding().Shards(), " ") != shards {
			t.Errorf("%s: %v, %v", by, c.Sharding().Shards(), err)
		}
	}
	for by, wantErr := range map[string]string{"4": "parts.by: \"4\": must be off, zone, type, or a number from 1 to 3", "0": "parts.by", "rack": "parts.by", "type": "parts.types"} {
		c.Tuning.Shards.By = by
		if err := c.checkShards(); err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("%s: %v", by, err)
		}
	}
	c.Tuning.Shards = Shards{By: "type", Types: []string{"g8", "g4", "g8"}}
	if err := c.checkShards(); err == nil || !strings.Contains(err.Error(), "parts.types[2]: \"g8\"") {
		t.Errorf("with a duplicate machine type: %v", err)
	}
	c.Tuning.Shards.Types = []string{"g8", "g4"}
	if g := c.Sharding(); c.checkShards() != nil || g.ShardOf("a", "g8") != "g8" || g.ShardOf("a", "new") != "g4" || g.KeepsZonesWhole() {
		t.Errorf("by type: %v", g.Shards())
	}
}

// TestShardNameErrorsInOrder checks that errors about the names of shards always have the same order, with zones first.
func TestShardNameErrorsInOrder(t *testing.T) {
	c := &Config{Zones: []string{"a", "a"}, Tuning: Tuning{Shards: Shards{By: "type", Types: []string{"g 4", "g8", "g8"}}}}
	const rule = ": must be another name of up to 60 bytes without spaces and slashes, since parts are called so"
	want := `params.zones[1]: "a"` + rule + "\n" + `parts.types[0]: "g 4"` + rule + "\n" + `parts.types[2]: "g8"` + rule
	for range 100 {
		if err := c.checkShards(); err == nil || err.Error() != want {
			t.Fatalf("%v\nnot %s", err, want)
		}
	}
}

// TestSpread checks that spread rules are parsed and validated against the platform's zones, and that all errors are
// reported together.
func TestSpread(t *testing.T) {
	c := &Config{Zones: []string{"a", "b", "c"}, Tuning: DefaultTuning()}
	err := errors.Join(c.Tuning.parse([]byte("[spread web]\neven = yes\nsurvive = 0.5\n[spread talk]\nsurvive = 0.66\nzones = a, b, c\n")), c.checkSpread())
	if r := c.Tuning.Spread["web"]; err != nil || !r.Even || r.Survive != 0.5 || len(c.Tuning.Spread["talk"].Zones) != 3 {
		t.Fatalf("%+v, %v", c.Tuning.Spread, err)
	}
	c.Tuning = DefaultTuning()
	err = errors.Join(c.Tuning.parse([]byte("[spread web]\neven = perhaps\nzones = a, d\nsurvive = 0.66\n[spread talk]\nsurvive = 2\nroom = a\n")), c.checkSpread())
	for _, wantErr := range []string{"spread web.even: perhaps: must be yes or no", "spread web.zones: \"d\": must be of a, b, c", "spread web.survive: 0.66: must be at most 0.5, with 2 zones",
		"spread talk.survive: 2", "spread talk.room: a: must be one of even, survive, zones"} {
		if err == nil || !strings.Contains(err.Error(), wantErr) {
			t.Errorf("the error does not contain %s:\n%v", wantErr, err)
		}
	}
}

// TestTiers checks that sections that define tiers are parsed, and that all errors in them are reported
// together, with the field, the value and the allowed values.
func TestTiers(t *testing.T) {
	c := &Config{Zones: []string{"a", "b"}, Teams: []Team{{Name: "red"}, {Name: "blue"}}, Tuning: DefaultTuning()}
	if err := c.Tuning.parse([]byte("[tier live]\norder = 1\npriority = production, high\ncards = 40%\ncards.a = 8\nwithin = 20s\nlend = batch\n[tier batch]\norder = 2\nteam = blue\n")); err != nil || c.checkTiers() != nil {
		t.Fatal(err, c.checkTiers())
	}
	set := c.Tiers()
	if live := set.Tiers[0]; len(set.Tiers) != 3 || live.Share.Of(10) != 4 || live.Zones["a"].Of(10) != 8 || live.ReclaimWithin != 20*time.Second || set.Digest() == "" {
		t.Errorf("%+v", set.Tiers)
	}
	other := Config{Tuning: DefaultTuning()}
	if _ = other.Tuning.parse([]byte("[tier batch]\nteam = blue\norder = 2\n[tier live]\npriority = high, production\norder = 1\nwithin = 20s\ncards.a = 8\ncards = 40%\nlend = batch\n")); other.Tiers().Digest() != set.Digest() {
		t.Error("the digest depends on the order in which tiers and keys are written")
	}
	if (&Config{}).Tiers().Digest() != "" {
		t.Error("the digest of the default tiers is not empty")
	}
	shipped := &Config{Tuning: DefaultTuning()}
	if text, err := os.ReadFile("../../deploy/tiers.ini"); err != nil || shipped.Tuning.parse(text) != nil || shipped.checkTiers() != nil || len(shipped.Tuning.Tiers) != 4 {
		t.Errorf("deploy/tiers.ini: %v, %+v", err, shipped.Tuning.Tiers)
	}
	bad := &Config{Zones: c.Zones, Teams: c.Teams, Tuning: DefaultTuning()}
	err := bad.Tuning.parse([]byte("[tier rest]\norder = -1\ncards = many\n[tier x]\npriority = top\nteam = green\ncards.c = 60%\ncards = 70%\nwithin = 1s\nlend = y, all\nshare = 1\n[tier y]\norder = 1\ncards = 60%\n"))
	if err == nil || bad.checkTiers() == nil {
		t.Fatal("accepted")
	}
	text := err.Error() + "\n" + bad.checkTiers().Error()
	for _, wantErr := range []string{"[tier rest]: \"rest\"", "[tier rest].order: -1: must be a count", "[tier rest].cards: many: must be a number of cards", "[tier x].order: none", "[tier x].priority: \"top\"",
		"[tier x].team: \"green\": must be one of red, blue", "[tier x].cards.c: \"c\": must be one of a, b", "[tier x].within: 1s", "[tier x].lend: \"all\"", "[tier x].share: 1", "[tier ...].cards: 130%"} {
		if !strings.Contains(text, wantErr) {
			t.Errorf("the error does not contain %s:\n%s", wantErr, text)
		}
	}
}
