// Package leadership elects the leader of each shard through a lease on the state service.
//
// Every controller holds one lease and campaigns for shards that have no leader. The winner of a
// shard gets the next fencing token. Tokens increase across the whole fleet and are never reused. A
// former leader is prevented from writing by the condition on the version of the shard's leader
// record in each of its transactions; the local check of the lease only saves it the attempt.
package leadership
