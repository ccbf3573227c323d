package wire

// Paths of the users' interface.
const (
	PathJobs   = "/v2/runs"
	PathReady  = "/ready"
	CancelWord = "abort"
	WorkWord   = "work"
)

// JobStatus answers a user.
type JobStatus struct {
	ID      string `cbor:"uid"`
	Stage   Stage  `cbor:"stage"`
	Done    int    `cbor:"done"`
	Running int    `cbor:"running"`
}

// Failure says why a request was not served.
type Failure struct {
	Error string `cbor:"error"`
}
