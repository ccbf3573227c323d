// Package fleet knows what may be running where, and when it is proven that something is not. It
// does no I/O: times, heartbeats and the cloud's answers come in.
//
// A task that may be on a machine is started elsewhere only after one of these proofs of absence:
//
//  1. a newer heartbeat of the machine, at the leader's own fencing token, lacks the task or shows
//     it ended;
//  2. the machine's agent is in a later incarnation than the launch;
//  3. the machine was seen at the own token, and its lease has run out since the last response that
//     it can have taken, and since the incarnation that was seen last may have begun;
//  4. the cloud has released the machine, or no longer lists it;
//  5. the machine was never seen at the own token, but every earlier leader has stopped responding
//     long enough ago for the machine's lease to be over.
package fleet
