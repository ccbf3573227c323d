package store

import "maps"

// QuotaGrantRecord says what each shard may use of the quota of each team that has one. Only a
// shard's leader changes the shard's own grants, under its fence and on the version that it has
// seen; their sum never exceeds the quota.
type QuotaGrantRecord struct {
	// Teams is the stored form: CPUs and GPUs as a list of two numbers, by team and shard. The
	// methods of this file map it to QuotaGrant.
	Teams map[string]map[string][2]float64 `cbor:"teams"`
}

// QuotaGrant is what a shard may use of a team's quota.
type QuotaGrant struct{ CPUs, GPUs float64 }

// stored returns the grant as the record holds it.
func (g QuotaGrant) stored() [2]float64 { return [2]float64{g.CPUs, g.GPUs} }

// NewQuotaGrantRecord returns the record of grants by team and shard.
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

// Grant returns what a shard may use of a team's quota, nothing if the record does not say.
func (r QuotaGrantRecord) Grant(team, shard string) QuotaGrant {
	stored := r.Teams[team][shard]
	return QuotaGrant{CPUs: stored[0], GPUs: stored[1]}
}

// WithGrants returns a copy of the record in which a shard's grants, given by team, are changed.
// The record itself, which others may read, is not changed.
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
