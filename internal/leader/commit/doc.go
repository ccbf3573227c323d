// Package commit builds the transaction that a shard's leader writes in each round.
//
// All that a round changes is written by one compare-and-swap, which the state service takes whole
// or refuses. The service bounds its changes, its conditions and its bytes, so that a round takes in
// what it has capacity for, and the rest waits for the next one.
package commit
