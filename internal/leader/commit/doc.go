// Package commit builds the transaction that a shard's leader writes in each round.
//
// All changes of a round are written by one compare-and-swap transaction, which the state service either commits as a
// whole or refuses. The service limits the changes, the conditions and the bytes of a transaction, so a round includes
// only what fits and leaves the rest to the next round.
package commit
