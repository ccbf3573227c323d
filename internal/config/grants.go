package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// What the record that grants parts their shares of the teams' limits takes, in the form in which
// the state service counts: around all teams, for each team, for each part of one, and for each of
// the two amounts, of which one without a limit is 0.
const (
	grantsBytes     = 12
	grantTeamBytes  = 4
	grantShardBytes = 5
	grantBytes      = 20
)

// checkGrants finds settings under which that record could grow larger than a value may be. It
// would then be refused, and work that waits for a grant would never start.
func (c *Config) checkGrants() error {
	if c.checkShards() != nil {
		return nil // that names the fault
	}
	shards := c.Sharding().Shards()
	if len(shards) < 2 || c.Store.ValueBytes == 0 {
		return nil
	}
	teams, bytes := c.grantRecordBytes(shards)
	var f faults
	f.check(bytes <= c.Store.ValueBytes, "parts.by", fmt.Sprintf("%q with %d teams that have a limit", c.Tuning.Shards.By, teams),
		fmt.Sprintf("so that what is granted to each team in each of %d parts fits into one value of the state service: it may take %d bytes, and params.state.value_kb allows %d",
			len(shards), bytes, c.Store.ValueBytes))
	return errors.Join(f...)
}

// grantRecordBytes bounds the record of grants, and counts the teams that it may name.
func (c *Config) grantRecordBytes(parts []string) (teams, bytes int) {
	bytes = grantsBytes
	for _, t := range c.Teams {
		if t.CPUsMax == 0 && t.GPUsMax == 0 {
			continue
		}
		teams++
		bytes += jsonBytes(t.Name) + grantTeamBytes
		for _, part := range parts {
			bytes += jsonBytes(part) + grantShardBytes + amountBytes(t.CPUsMax) + amountBytes(t.GPUsMax)
		}
	}
	return teams, bytes
}

func amountBytes(limit float64) int {
	if limit == 0 {
		return len("0")
	}
	return grantBytes
}

// jsonBytes is what a text takes between its quotes, and these.
func jsonBytes(text string) int {
	quoted, err := json.Marshal(text)
	if err != nil {
		return len(text) + 2
	}
	return len(quoted)
}
