package store

import "maps"

// QuotaGrantRecord holds the part of each team's quota that each shard may use, for teams that have
// a quota. A shard's grants are changed only by the shard's leader, in a fenced write that is
// conditional on the version that the leader has read. The sum of a team's grants never exceeds
// its quota.
type QuotaGrantRecord struct {
	// Teams is the stored form: a list of the CPUs and GPUs, by team and shard. The methods in
	// this file convert it to and from QuotaGrant.
	Teams map[string]map[string][2]float64 `cbor:"teams"`
}

// QuotaGrant is the part of a team's quota that a shard may use.
type QuotaGrant struct{ CPUs, GPUs float64 }

// stored returns the stored form of the grant.
func (g QuotaGrant) stored() [2]float64 { return [2]float64{g.CPUs, g.GPUs} }

// NewQuotaGrantRecord returns a record of the grants, given by team and shard.
func NewQuotaGrantRecord(grants map[string]map[string]QuotaGrant) QuotaGrantRecord {
	teams := make(map[string]map[string][2]float64, len(grants))
	for team, byShard := range grants {
		teams[team] = make(map[string][2]float64, len(byShard))
		for shard, grant := range byShard {
			teams[team][shard] = grant.stored()
		}
	}
	return QuotaGrantRecord{Teams: teams}
}

// Grant returns the part of a team's quota that a shard may use. It is zero if the record has no grant.
func (r QuotaGrantRecord) Grant(team, shard string) QuotaGrant {
	stored := r.Teams[team][shard]
	return QuotaGrant{CPUs: stored[0], GPUs: stored[1]}
}

// WithGrants returns a copy of the record in which some of a shard's grants, given by team, are
// replaced. The record itself is not modified, because other goroutines may be reading it.
func (r QuotaGrantRecord) WithGrants(shard string, changes map[string]QuotaGrant) QuotaGrantRecord {
	teams := make(map[string]map[string][2]float64, len(r.Teams))
	maps.Copy(teams, r.Teams)
	for team, grant := range changes {
		byShard := make(map[string][2]float64, len(teams[team])+1)
		maps.Copy(byShard, teams[team])
		byShard[shard] = grant.stored()
		teams[team] = byShard
	}
	return QuotaGrantRecord{Teams: teams}
}
