package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Bounds of the record that grants shards their shares of the teams' limits, in bytes as the
// state service counts them: around all teams, for each team, for each shard of a team, and for
// each of the two amounts, of which one without a limit is written as 0.
const (
	grantRecordBaseBytes = 12
	grantBytesPerTeam    = 4
	grantBytesPerShard   = 5
	grantBytesPerAmount  = 20
)

// checkGrants rejects settings under which that record could exceed the size of a value. It
// would then be refused, and work that waits for a grant would never start.
func (c *Config) checkGrants() error {
	if c.checkShards() != nil {
		return nil // that names the fault
	}
	shards := c.Sharding().Shards()
	if len(shards) < 2 || c.Store.ValueBytes == 0 {
		return nil
	}
	teams, bytes := c.maxGrantRecordBytes(shards)
	var f validationErrors
	f.check(bytes <= c.Store.ValueBytes, "parts.by", fmt.Sprintf("%q with %d teams that have a limit", c.Tuning.Shards.By, teams),
		fmt.Sprintf("so that what is granted to each team in each of %d parts fits into one value of the state service: it may take %d bytes, and params.state.value_kb allows %d",
			len(shards), bytes, c.Store.ValueBytes))
	return errors.Join(f...)
}

// maxGrantRecordBytes bounds the record of grants, and counts the teams that it may name.
func (c *Config) maxGrantRecordBytes(shards []string) (teams, bytes int) {
	bytes = grantRecordBaseBytes
	for _, t := range c.Teams {
		if t.CPUsMax == 0 && t.GPUsMax == 0 {
			continue
		}
		teams++
		bytes += jsonStringBytes(t.Name) + grantBytesPerTeam
		for _, shard := range shards {
			bytes += jsonStringBytes(shard) + grantBytesPerShard + maxAmountBytes(t.CPUsMax) + maxAmountBytes(t.GPUsMax)
		}
	}
	return teams, bytes
}

// maxAmountBytes bounds one amount of a grant.
func maxAmountBytes(limit float64) int {
	if limit == 0 {
		return len("0")
	}
	return grantBytesPerAmount
}

// jsonStringBytes is the size of a text with its quotes.
func jsonStringBytes(text string) int {
	quoted, err := json.Marshal(text)
	if err != nil {
		return len(text) + 2
	}
	return len(quoted)
}
