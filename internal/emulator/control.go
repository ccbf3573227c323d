package emulator

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// Paths of the control address. Bodies are JSON unless noted otherwise.
const (
	PathStatus           = "/status"
	PathFaults           = "/faults"
	PathUserInstructions = "/users" // GET: instructions to users, see UserInstructions
	PathObservations     = "/judge" // POST, CBOR: users' requests and the responses, for the checkers
)

// Observation is a response that a user got about a job, or a job that a user is about to submit.
type Observation struct {
	Submitted       *wire.Job  `cbor:"submitted,omitempty"`
	Job             string     `cbor:"job"`
	Status          int        `cbor:"status"`
	Stage           wire.Stage `cbor:"stage"`
	CancelRequested bool       `cbor:"asked"` // the user has requested the cancellation of the job
	Poll            bool       `cbor:"poll"`  // a status poll; Status is 0 if it timed out
	SentNS          int64      `cbor:"sent"`  // like AnsweredNS in nanoseconds on a clock that all users share
	AnsweredNS      int64      `cbor:"back"`
	Body            wire.Raw   `cbor:"body,omitempty"` // body of a submission that may have to be refused
}

// Observe passes users' observations to the checkers.
func (cluster *Cluster) Observe(observations []Observation) {
	for _, o := range observations {
		if o.Submitted != nil {
			cluster.fixture.recordSubmission(o.Submitted)
			continue
		}
		if o.Body != nil {
			cluster.fixture.ObserveSubmission(o.Body, o.Status)
			continue
		}
		if o.Status > 0 {
			cluster.fixture.ObserveAnswerAt(o.Job, o.Status, o.Stage, o.CancelRequested, time.Unix(0, o.SentNS), time.Unix(0, o.AnsweredNS))
		}
		cluster.fixture.Liveness.ObserveAnswer(time.Now(), o.Job, o.Status, o.Stage, o.CancelRequested, o.Poll)
	}
}

// ErrorResponse is the body of an error response of the control address.
type ErrorResponse struct {
	Error string `json:"error"`
}

// control returns the handler of the control address.
func (cluster *Cluster) control() transport.ServeConn {
	return transport.HTTP(1<<20, time.Minute, func(_ context.Context, r *httpwire.Request) *httpwire.Response {
		number, hasNumber := strings.CutPrefix(r.Path, PathFaults+"/")
		switch {
		case r.Method == "GET" && r.Path == PathStatus:
			return jsonResponse(200, cluster.Status())
		case r.Method == "GET" && r.Path == PathUserInstructions:
			return jsonResponse(200, cluster.users.instructions())
		case r.Method == "POST" && r.Path == PathFaults:
			return cluster.postFault(r.Body)
		case r.Method == "POST" && r.Path == PathObservations:
			return cluster.postObservations(r.Body)
		case r.Method == "DELETE" && hasNumber:
			return cluster.deleteFault(number)
		}
		return jsonResponse(404, ErrorResponse{"no such path"})
	})
}

// jsonResponse returns a response with a JSON body.
func jsonResponse(status int, v any) *httpwire.Response {
	text, _ := json.Marshal(v)
	return &httpwire.Response{Status: status, Body: text}
}

// postFault stages the fault that a request describes.
func (cluster *Cluster) postFault(body []byte) *httpwire.Response {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		return jsonResponse(400, ErrorResponse{err.Error()})
	}
	s, err := cluster.Stage(f)
	if err != nil {
		return jsonResponse(422, ErrorResponse{err.Error()})
	}
	return jsonResponse(200, s)
}

// postObservations passes the observations of a request to the checkers.
func (cluster *Cluster) postObservations(body []byte) *httpwire.Response {
	var batch struct {
		Told []Observation `cbor:"told"`
	}
	if err := wire.Decode(body, &batch); err != nil {
		return jsonResponse(400, ErrorResponse{err.Error()})
	}
	cluster.Observe(batch.Told)
	return jsonResponse(200, struct{}{})
}

// deleteFault lifts the fault with a number.
func (cluster *Cluster) deleteFault(number string) *httpwire.Response {
	if n, err := strconv.Atoi(number); err != nil || !cluster.Lift(n) {
		return jsonResponse(404, ErrorResponse{fmt.Sprintf("fault %s is not in force", number)})
	}
	return jsonResponse(200, struct{}{})
}
