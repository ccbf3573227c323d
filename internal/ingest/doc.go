// Package ingest lets every controller receive workers' heartbeats, whichever controller leads their
// shard.
//
// A controller that does not lead a machine's shard forwards the heartbeat to the leader, batched with
// others on one stream between the two controllers, and returns the leader's answer to that heartbeat
// to the worker. The worker accepts it because it carries the leader's fencing token. All controllers
// thus share the sockets and the parsing for thousands of workers, and a leader receives one batch
// instead of dozens of requests.
//
// No safety property depends on forwarding. The proofs that a task is gone treat it as one more network
// hop: a heartbeat may be late, an answer may be lost or late, nothing is duplicated, and a worker drops
// an answer that arrives more than 4 s after its heartbeat. A forwarding controller never answers from a
// cache. Without a stream to the leader, it redirects workers to the leader.
package ingest
