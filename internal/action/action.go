// Package action is what an action of the Remote Execution API is as a job: how
// it is named and described, how it is carried out on a machine, and how its answer
// is kept. The interface for build tools and the agent on a machine share it.
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

// Kind is the kind of work of a job that is an action.
const Kind = "action"

// Work is what a job's description says of its action.
type Work struct {
	Kind     string `json:"kind"`
	Instance string `json:"instance"`
	Function string `json:"function"`
	Action   string `json:"action"` // HASH/SIZE
}

// NewWork describes an action.
func NewWork(instance string, action cas.Digest) Work {
	return Work{Kind, instance, action.Function.String(), action.String()}
}

// Text is the form in which a job carries it.
func (w Work) Text() string {
	text, err := json.Marshal(w)
	if err != nil {
		panic(err) // text fields always encode
	}
	return string(text)
}

// ParseWork reads what a job carries.
func ParseWork(text string) (w Work, g cas.Digest, err error) {
	if err := json.Unmarshal([]byte(text), &w); err != nil {
		return w, g, fmt.Errorf("the job's work is not understood: %w", err)
	}
	if w.Kind != Kind {
		return w, g, fmt.Errorf("the job's work is of kind %q: must be %s", w.Kind, Kind)
	}
	if g, err = cas.DigestFromString(w.Action); err == nil {
		g.Function = cas.Function(repb.DigestFunction_Value_value[w.Function])
	}
	return w, g, err
}

// LogNames names the logs of what an execution writes to stdout and stderr while it
// runs.
func LogNames(job string) (stdout, stderr string) { return job + "/stdout", job + "/stderr" }

// idDigits is how many digits the id of an action's job has.
const idDigits = 18

// JobID names the job of an action, the same at every controller and for every
// team. Generations count how often the action was to be executed anew. Two actions may get the same id,
// very rarely; whoever finds that takes the next generation.
func JobID(action cas.Digest, generation uint64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%v\x00%s\x00%d", action.Function, action, generation)
	n := binary.BigEndian.Uint64(h.Sum(nil)) % 100_000_000_000_000_000
	return fmt.Sprintf("%s9%0*d", wire.JobPrefix, idDigits-1, n)
}

// answersInstance is the instance under which the answers of executions are kept.
const answersInstance = "amberdeal-answers"

func answerKey(job string) cas.Digest { return cas.Sum(cas.Functions[0], []byte(job)) }

// PutAnswer stores the answer of a job's execution, before the job is reported done. It
// is kept as a result, so that it is given only while its outputs are there.
func PutAnswer(ctx context.Context, c *cas.Client, job string, resp *repb.ExecuteResponse) error {
	r := &repb.ActionResult{}
	if resp.Result != nil {
		r = proto.Clone(resp.Result).(*repb.ActionResult)
	}
	packed, err := anypb.New(resp)
	if err != nil {
		return err
	}
	r.ExecutionMetadata = &repb.ExecutedActionMetadata{AuxiliaryMetadata: []*anypb.Any{packed}}
	return c.ForInstance(answersInstance).PutResult(ctx, answerKey(job), r)
}

// ErrNoAnswer means that the answer of an execution is gone, or never was.
var ErrNoAnswer = errors.New("the answer of the execution is not in the store")

// Answer finds the answer of a job's execution.
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
