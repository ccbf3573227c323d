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

type controllerFlags struct {
	Addr string `required:"" placeholder:"IP:PORT" env:"AMBERDEAL_ADDR" help:"A controller's public address."`
}

// send sends a request, again while the service says to come back, for a
// minute.
func (t controllerFlags) send(method, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	caller := transport.Caller{MaxBody: wire.MaxBody, Dial: transport.Sockets{}.Dial}
	for {
		call, done := context.WithTimeout(ctx, 5*time.Second)
		resp, err := caller.Call(call, t.Addr, method, path, body)
		done()
		wait := time.Second
		if err == nil {
			switch resp.Status {
			case 200, 201:
				return printJobStatus(resp.Body)
			case 429, 503, 504:
				wait = max(wait, resp.RetryAfter)
				err = fmt.Errorf("the service is busy (status %d)", resp.Status)
			default:
				var f wire.Failure
				_ = wire.Decode(resp.Body, &f)
				return fmt.Errorf("refused with status %d: %s", resp.Status, f.Error)
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
	text, err := io.ReadAll(io.LimitReader(in, wire.MaxBody+1))
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

// jobFromJSON turns a JSON object into the CBOR map that the service takes.
// Whole numbers stay whole.
func jobFromJSON(text []byte) ([]byte, error) {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(text, &m); err != nil {
		return nil, fmt.Errorf("the job is not a JSON object: %w", err)
	}
	out := make(map[string]any, len(m))
	for k, raw := range m {
		var whole int64
		if json.Unmarshal(raw, &whole) == nil && string(raw) != "null" {
			out[k] = whole
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
		return errors.New("a job's id is " + wire.JobPrefix + " and digits, such as wk-000412")
	}
	return nil
}

type statusCmd struct{ jobArg }

// Run asks about the job.
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
	return a.send("POST", wire.PathJobs+"/"+a.ID+"/"+wire.CancelWord, []byte{})
}
