package wire

// Paths of the user API. CancelPathSuffix and WorkPathSuffix are segments that follow the path of a job: they cancel it and
// read its Work.
const (
	PathJobs         = "/v2/runs"
	PathReady        = "/ready"
	CancelPathSuffix = "abort"
	WorkPathSuffix   = "work"
)

// JobStatus is the response to a user's request about a job.
type JobStatus struct {
	ID      string `cbor:"uid"`
	Stage   Stage  `cbor:"stage"`
	Done    int    `cbor:"done"`    // number of tasks
	Running int    `cbor:"running"` // number of tasks
}

// Failure is the body of a response to a request that was not served, with the reason.
type Failure struct {
	Error string `cbor:"error"`
}
