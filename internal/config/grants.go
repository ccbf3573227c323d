package config

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Upper bounds of the parts of the grant record, which grants each shard its share of the teams'
// limits, in bytes as the state service counts them. A team and a shard also take the bytes of their
// name. A resource without a limit takes no grantBytesPerAmount, since it is written as 0.
const (
	grantRecordBaseBytes = 12 // around all teams
	grantBytesPerTeam    = 4  // without its name and shards
	grantBytesPerShard   = 5  // of a team, without its name and amounts
	grantBytesPerAmount  = 20 // two for each shard of a team: CPUs and GPUs
)

// checkGrants rejects settings with which the grant record could exceed the maximum size of a value. The state
// service would then reject the record, and tasks that wait for a grant would never start.
func (c *Config) checkGrants() error {
	if c.checkShards() != nil {
		return nil // checkShards reports the error
	}
	shards := c.Sharding().Shards()
	if len(shards) < 2 || c.Store.ValueBytes == 0 {
		return nil
	}
	teams, size := c.maxGrantRecordBytes(shards)
	var errs validationErrors
	errs.check(size <= c.Store.ValueBytes, "parts.by", fmt.Sprintf("%q with %d teams that have a limit", c.Tuning.Shards.By, teams),
		fmt.Sprintf("so that what is granted to each team in each of %d parts fits into one value of the state service: it may take %d bytes, and params.state.value_kb allows %d",
			len(shards), size, c.Store.ValueBytes))
	return errors.Join(errs...)
}

// maxGrantRecordBytes returns an upper bound of the size of the grant record, and the number of teams in it.
func (c *Config) maxGrantRecordBytes(shards []string) (teams, size int) {
	size = grantRecordBaseBytes
	for _, team := range c.Teams {
		if team.CPUsMax == 0 && team.GPUsMax == 0 {
			continue
		}
		teams++
		size += jsonStringBytes(team.Name) + grantBytesPerTeam
		for _, shard := range shards {
			size += jsonStringBytes(shard) + grantBytesPerShard + maxAmountBytes(team.CPUsMax) + maxAmountBytes(team.GPUsMax)
		}
	}
	return teams, size
}

// maxAmountBytes returns an upper bound of the size of one amount of a grant, given the team's limit.
func maxAmountBytes(limit float64) int {
	if limit == 0 {
		return len("0")
	}
	return grantBytesPerAmount
}

// jsonStringBytes returns the size of a text as a JSON string, quotes included.
func jsonStringBytes(text string) int {
	quoted, err := json.Marshal(text)
	if err != nil {
		return len(text) + 2
	}
	return len(quoted)
}
