// Package leadership elects the leader of each shard through a lease on the state service.
//
// Every controller holds one lease and campaigns for shards that nobody leads. Whoever wins a
// shard gets the next fencing token, which rises over the whole fleet and never repeats. What
// keeps a former leader from writing is the condition on the version of the shard's record in
// each of its transactions; the local check of the lease's time only saves it the attempt.
package leadership
