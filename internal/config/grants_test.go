package config

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
)

// newTeams returns n teams with a limit of GPUs each.
func newTeams(n int, limit float64) (teams []Team) {
	for i := range n {
		teams = append(teams, Team{Name: fmt.Sprintf("team-%04d", i), GPUsMax: limit})
	}
	return teams
}

// TestCheckGrants checks that settings are rejected with which the grants of all teams in all shards could
// exceed the size of a value, and that the error names the numbers of teams, shards and bytes.
func TestCheckGrants(t *testing.T) {
	c := &Config{Zones: []string{"a", "b", "c", "d", "e"}, Store: Store{ValueBytes: 16 << 10}, Tuning: DefaultTuning()}
	for _, x := range []struct {
		by    string
		teams []Team
		fault string
	}{
		{"off", newTeams(2000, 64), ""},
		{"1", newTeams(2000, 64), ""},
		{"zone", newTeams(5, 64), ""},
		{"zone", newTeams(2000, 0), ""}, // without limits nothing is granted
		{"zone", newTeams(530, 64), `parts.by: "zone" with 530 teams that have a limit: must be so that what is granted to each team in each of 5 parts fits into one value of the state service: it may take 84812 bytes, and params.state.value_kb allows 16384`},
		{"2", newTeams(530, 64), "in each of 2 parts"},
		{"9", newTeams(530, 64), ""}, // checkShards reports this error
	} {
		c.Tuning.Shards.By, c.Teams = x.by, x.teams
		err := c.checkGrants()
		if (err == nil) != (x.fault == "") || err != nil && !strings.Contains(err.Error(), x.fault) {
			t.Errorf("shards by %s, %d teams: %v, not %q", x.by, len(x.teams), err, x.fault)
		}
	}
}

// TestMaxGrantRecordBytes checks that a grant record with the longest amounts and names stays within its bound.
func TestMaxGrantRecordBytes(t *testing.T) {
	shards := []string{"a", "part-\"1\""}
	c := &Config{Teams: append(newTeams(30, 1e6), Team{Name: strings.Repeat("\u2028<é", 60), CPUsMax: 1, GPUsMax: 3})}
	record := map[string]map[string]map[string][2]float64{"teams": {}}
	for i, team := range c.Teams {
		record["teams"][team.Name] = map[string][2]float64{}
		for _, shard := range shards {
			amounts := [2]float64{0, math.Nextafter(0.1, float64(i%2))}
			if team.CPUsMax > 0 {
				amounts[0] = 123456.78901234567
			}
			record["teams"][team.Name][shard] = amounts
		}
	}
	text, err := json.Marshal(record)
	if err != nil {
		t.Fatal(err)
	}
	if _, bound := c.maxGrantRecordBytes(shards); len(text) > bound {
		t.Errorf("%d bytes, more than the bound of %d", len(text), bound)
	}
}
