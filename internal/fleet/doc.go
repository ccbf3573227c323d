// Package fleet tracks which task attempts may be running on which machines, and decides when an
// attempt is proven to be gone. It does no I/O: the caller passes in the time, heartbeats and the
// cloud's responses.
//
// A task that may be on a machine is started elsewhere only after one of these proofs of absence:
//
//  1. A newer heartbeat from the machine, at the leader's own fencing token, does not list the task
//     or lists it as ended.
//  2. The machine's agent is in a later incarnation than the one that the launch was sent to.
//  3. The machine was seen at the leader's own token, and its lease has expired, counted both from
//     the last response that it may have received and from the latest time at which its last known
//     incarnation may have begun.
//  4. The cloud has released the machine or no longer lists it.
//  5. The machine was never seen at the leader's own token, but every earlier leader stopped
//     responding to heartbeats so long ago that the machine's lease has expired.
package fleet
