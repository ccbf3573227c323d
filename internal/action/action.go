// Package action represents an action of the Remote Execution API as a job: how the job is
// named and described, how a machine executes it, and how its answer is stored. Package reapi
// on the controllers and package agent on the machines share it.
package action

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/wire"
)

// Kind is the kind of work of a job that executes an action.
const Kind = "action"

// Work describes an action in a job's description.
type Work struct {
	Kind     string `json:"kind"`
	Instance string `json:"instance"`
	Function string `json:"function"`
	Action   string `json:"action"` // HASH/SIZE
}

// NewWork returns the description of an action.
func NewWork(instance string, action cas.Digest) Work {
	return Work{Kind, instance, action.Function.String(), action.String()}
}

// Text returns the form that a job's description carries.
func (w Work) Text() string {
	text, err := json.Marshal(w)
	if err != nil {
		panic(err) // text fields always encode
	}
	return string(text)
}

// ParseWork reads the description of an action and its digest.
func ParseWork(text string) (w Work, digest cas.Digest, err error) {
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return w, digest, fmt.Errorf("the job's work is not understood: %w", err)
	}
	if w.Kind != Kind {
		return w, digest, fmt.Errorf("the job's work is of kind %q: must be %s", w.Kind, Kind)
	}
	if digest, err = cas.DigestFromString(w.Action); err != nil {
		return w, digest, fmt.Errorf("the job's action: %w", err)
	}
	digest.Function = cas.Function(repb.DigestFunction_Value_value[w.Function])
	return w, digest, nil
}

// LogNames returns the names of the logs of a job's stdout and stderr.
func LogNames(job string) (stdout, stderr string) { return job + "/stdout", job + "/stderr" }

// jobIDDigits is the number of digits in the id of an action's job. The first is always a 9.
const jobIDDigits = 18

// jobIDRange bounds the digits after the first.
const jobIDRange = 100_000_000_000_000_000

// JobID returns the id of the job that executes an action. It is the same at every controller
// and for every team. The generation counts how often the action was executed again. Two
// actions may have the same id, very rarely; the next generation is used then.
func JobID(action cas.Digest, generation uint64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%v\x00%s\x00%d", action.Function, action, generation)
	n := binary.BigEndian.Uint64(h.Sum(nil)) % jobIDRange
	return fmt.Sprintf("%s9%0*d", wire.JobPrefix, jobIDDigits-1, n)
}

// answersInstance is the instance of the store under which answers of executions are stored.
const answersInstance = "amberdeal-answers"

// answerKey returns the digest under which a job's answer is stored, as if it were a result.
func answerKey(job string) cas.Digest { return cas.Sum(cas.Functions[0], []byte(job)) }

// PutAnswer stores the answer of a job's execution. That happens before the job is reported as
// done. It is stored as a result, so that it is only returned while all its outputs exist.
func PutAnswer(ctx context.Context, c *cas.Client, job string, resp *repb.ExecuteResponse) error {
	r := &repb.ActionResult{}
	if resp.Result != nil {
		r = proto.Clone(resp.Result).(*repb.ActionResult)
	}
	encoded, err := anypb.New(resp)
	if err != nil {
		return fmt.Errorf("encoding the answer of %s: %w", job, err)
	}
	r.ExecutionMetadata = &repb.ExecutedActionMetadata{AuxiliaryMetadata: []*anypb.Any{encoded}}
	if err := c.ForInstance(answersInstance).PutResult(ctx, answerKey(job), r); err != nil {
		return fmt.Errorf("storing the answer of %s: %w", job, err)
	}
	return nil
}

// ErrNoAnswer means that the answer of an execution was evicted, or was never stored.
var ErrNoAnswer = errors.New("the answer of the execution is not in the store")

// Answer returns the answer of a job's execution.
func Answer(ctx context.Context, c *cas.Client, job string) (*repb.ExecuteResponse, error) {
	r, err := c.ForInstance(answersInstance).Result(ctx, answerKey(job))
	if status.Code(err) == codes.NotFound {
		return nil, ErrNoAnswer
	}
	if err != nil {
		return nil, err
	}
	var resp repb.ExecuteResponse
	if len(r.GetExecutionMetadata().GetAuxiliaryMetadata()) != 1 || r.ExecutionMetadata.AuxiliaryMetadata[0].UnmarshalTo(&resp) != nil {
		return nil, ErrNoAnswer
	}
	return &resp, nil
}
