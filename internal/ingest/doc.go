// Package ingest lets every controller take workers' heartbeats, whichever controller leads their
// shard.
//
// A controller that does not lead a machine's shard forwards its heartbeat to the leader, many in
// a batch on one stream between the two, and gives the worker the leader's own answer to that very
// heartbeat. The worker accepts it, since it carries the leader's fencing token. So all
// controllers share the sockets and the parsing for thousands of workers, and a leader gets one
// batch where it would get dozens of requests.
//
// No safety rule rests on forwarding. To the proofs that a task is gone it is one more stretch of
// network: a heartbeat may be late, an answer may be lost or late, nothing comes twice, and a
// worker drops an answer that comes more than 4 s after its heartbeat. A forwarding controller
// never answers from memory. Where there is no stream, workers are redirected to the leader.
package ingest
