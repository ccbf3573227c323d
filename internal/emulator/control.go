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

// The paths of the control address. Its protocol is JSON.
const (
	PathStatus           = "/status"
	PathFaults           = "/faults"
	PathUserInstructions = "/users" // what users are to do now, see Orders
	PathObservations     = "/judge" // CBOR: what users did and were told, so that all rules can be judged
)

// Observation is an answer that a user got about a job, or the job that a user is about to submit.
type Observation struct {
	Submitted       *wire.Job  `cbor:"submitted,omitempty"`
	Job             string     `cbor:"job"`
	Status          int        `cbor:"status"`
	Stage           wire.Stage `cbor:"stage"`
	CancelRequested bool       `cbor:"asked"` // the user has asked to cancel the job
	Poll            bool       `cbor:"poll"`  // a poll, with status 0 if no answer came in time
	SentNS          int64      `cbor:"sent"`  // with AnsweredNS: ns on a clock that all users share
	AnsweredNS      int64      `cbor:"back"`
	Body            wire.Raw   `cbor:"body,omitempty"` // of a submission that has to be refused, or may have to be
}

// Observe passes users' observations to the checkers.
func (cluster *Cluster) Observe(told []Observation) {
	for _, t := range told {
		if t.Submitted != nil {
			cluster.fixture.recordSubmission(t.Submitted)
			continue
		}
		if t.Body != nil {
			cluster.fixture.ObserveSubmission(t.Body, t.Status)
			continue
		}
		if t.Status > 0 {
			cluster.fixture.ObserveAnswerAt(t.Job, t.Status, t.Stage, t.CancelRequested, time.Unix(0, t.SentNS), time.Unix(0, t.AnsweredNS))
		}
		cluster.fixture.Liveness.ObserveAnswer(time.Now(), t.Job, t.Status, t.Stage, t.CancelRequested, t.Poll)
	}
}

// Refusal is the answer to a fault that cannot be staged.
type Refusal struct {
	Error string `json:"error"`
}

// serveControl serves the control address.
func (cluster *Cluster) serveControl() transport.ServeConn {
	return transport.HTTP(1<<20, time.Minute, func(_ context.Context, r *httpwire.Request) *httpwire.Response {
		number, named := strings.CutPrefix(r.Path, PathFaults+"/")
		switch {
		case r.Method == "GET" && r.Path == PathStatus:
			return jsonResponse(200, cluster.Status())
		case r.Method == "GET" && r.Path == PathUserInstructions:
			return jsonResponse(200, cluster.users.instructions())
		case r.Method == "POST" && r.Path == PathFaults:
			return cluster.postFault(r.Body)
		case r.Method == "POST" && r.Path == PathObservations:
			return cluster.postObservations(r.Body)
		case r.Method == "DELETE" && named:
			return cluster.deleteFault(number)
		}
		return jsonResponse(404, Refusal{"no such path"})
	})
}

// jsonResponse returns a response with a body of JSON.
func jsonResponse(status int, v any) *httpwire.Response {
	text, _ := json.Marshal(v)
	return &httpwire.Response{Status: status, Body: text}
}

// postFault stages the fault that a request describes.
func (cluster *Cluster) postFault(body []byte) *httpwire.Response {
	var f Fault
	if err := json.Unmarshal(body, &f); err != nil {
		return jsonResponse(400, Refusal{err.Error()})
	}
	s, err := cluster.Stage(f)
	if err != nil {
		return jsonResponse(422, Refusal{err.Error()})
	}
	return jsonResponse(200, s)
}

// postObservations passes the observations of a request to the checkers.
func (cluster *Cluster) postObservations(body []byte) *httpwire.Response {
	var told struct {
		Told []Observation `cbor:"told"`
	}
	if err := wire.Decode(body, &told); err != nil {
		return jsonResponse(400, Refusal{err.Error()})
	}
	cluster.Observe(told.Told)
	return jsonResponse(200, struct{}{})
}

// deleteFault lifts the fault with a number.
func (cluster *Cluster) deleteFault(number string) *httpwire.Response {
	if n, err := strconv.Atoi(number); err != nil || !cluster.Lift(n) {
		return jsonResponse(404, Refusal{fmt.Sprintf("fault %s is not in force", number)})
	}
	return jsonResponse(200, struct{}{})
}
