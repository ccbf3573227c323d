package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// controllerFlags name the controller that a command connects to.
type controllerFlags struct {
	Addr string `required:"" placeholder:"IP:PORT" env:"AMBERDEAL_ADDR" help:"A controller's public address."`
}

// send sends a request and prints the job's status from the response. It retries for up to a minute while the
// controller can't be reached or answers that it is busy (429, 503 or 504).
func (f controllerFlags) send(method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	caller := transport.Client{MaxBody: wire.MaxBodyBytes, Dial: transport.TCPNetwork{}.Dial}
	for {
		callCtx, cancelCall := context.WithTimeout(ctx, 5*time.Second)
		resp, err := caller.Call(callCtx, f.Addr, method, path, body)
		cancelCall()
		wait := time.Second
		if err == nil {
			switch resp.Status {
			case 200, 201:
				return printJobStatus(resp.Body)
			case 429, 503, 504:
				wait = max(wait, resp.RetryAfter)
				err = fmt.Errorf("the service is busy (status %d)", resp.Status)
			default:
				var failure wire.Failure
				_ = wire.Decode(resp.Body, &failure)
				return fmt.Errorf("refused with status %d: %s", resp.Status, failure.Error)
			}
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("no answer within a minute: %w", err)
		case <-time.After(wait):
		}
	}
}

func printJobStatus(body []byte) error {
	var s wire.JobStatus
	if err := wire.Decode(body, &s); err != nil {
		return fmt.Errorf("answer not understood: %w", err)
	}
	fmt.Printf("%s %s done=%d running=%d\n", s.ID, s.Stage, s.Done, s.Running)
	return nil
}

type submitCmd struct {
	controllerFlags
	File string `arg:"" help:"The job's description as JSON, or - for standard input."`
}

// Run submits the job.
func (s submitCmd) Run() error {
	in := os.Stdin
	if s.File != "-" {
		f, err := os.Open(s.File)
		if err != nil {
			return err
		}
		defer f.Close()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, wire.MaxBodyBytes+1))
	if err != nil {
		return err
	}
	job, err := jobFromJSON(text)
	if err != nil {
		return err
	}
	if _, err := wire.DecodeJob(job); err != nil {
		return fmt.Errorf("the job is malformed:\n%w", err)
	}
	return s.send("POST", wire.PathJobs, job)
}

// jobFromJSON converts a JSON object to the CBOR map that the service expects. Whole numbers become CBOR integers.
func jobFromJSON(text []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("the job is not a JSON object: %w", err)
	}
	out := make(map[string]any, len(m))
	for k, raw := range m {
		var integer int64
		if json.Unmarshal(raw, &integer) == nil && string(raw) != "null" {
			out[k] = integer
			continue
		}
		var v any
		if err := json.Unmarshal(raw, &v); err != nil {
			return nil, err
		}
		out[k] = v
	}
	return wire.Encode(out), nil
}

type jobArg struct {
	controllerFlags
	ID string `arg:"" help:"The job's id, such as wk-000412."`
}

func (j jobArg) check() error {
	if !wire.ValidJobID(j.ID) {
		return errors.New("a job's id is " + wire.JobIDPrefix + " and digits, such as wk-000412")
	}
	return nil
}

type statusCmd struct{ jobArg }

// Run prints the status of the job.
func (s statusCmd) Run() error {
	if err := s.check(); err != nil {
		return err
	}
	return s.send("GET", wire.PathJobs+"/"+s.ID, nil)
}

type abortCmd struct{ jobArg }

// Run cancels the job.
func (a abortCmd) Run() error {
	if err := a.check(); err != nil {
		return err
	}
	return a.send("POST", wire.PathJobs+"/"+a.ID+"/"+wire.CancelPathSuffix, []byte{})
}
