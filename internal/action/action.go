// Package action maps an action of the Remote Execution API to a job. It defines the id and description of the
// job, how a machine executes it, and how the response is stored. It is shared by package reapi on the controllers
// and package agent on the machines.
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

// Kind is the Work.Kind of a job that executes an action.
const Kind = "action"

// Work identifies the action that a job executes. Its JSON encoding is the Work field of the job description.
type Work struct {
	Kind     string `json:"kind"`
	Instance string `json:"instance"`
	Function string `json:"function"`
	Action   string `json:"action"` // HASH/SIZE
}

// NewWork returns the Work of a job that executes an action.
func NewWork(instance string, action cas.Digest) Work {
	return Work{Kind, instance, action.Function.String(), action.String()}
}

// Text returns the JSON encoding that the job's description holds.
func (w Work) Text() string {
	text, err := json.Marshal(w)
	if err != nil {
		panic(err) // string fields can always be encoded
	}
	return string(text)
}

// ParseWork decodes the Work of a job and the digest of its action.
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
	digest.Function = cas.DigestFunction(repb.DigestFunction_Value_value[w.Function])
	return w, digest, nil
}

// LogNames returns the names of the logs that hold a job's stdout and stderr.
func LogNames(job string) (stdout, stderr string) { return job + "/stdout", job + "/stderr" }

// jobIDDigits is the number of digits in the id of an action's job. The first digit is always 9.
const jobIDDigits = 18

// jobIDRange is the exclusive upper bound of the number that the digits after the first form.
const jobIDRange = 100_000_000_000_000_000

// JobID returns the id of the job that executes an action. It is the same on every controller and for every team.
// The generation counts how often the action was executed again. In the rare case that the ids of two actions
// collide, the next generation is used.
func JobID(action cas.Digest, generation uint64) string {
	h := sha256.New()
	fmt.Fprintf(h, "%v\x00%s\x00%d", action.Function, action, generation)
	n := binary.BigEndian.Uint64(h.Sum(nil)) % jobIDRange
	return fmt.Sprintf("%s9%0*d", wire.JobIDPrefix, jobIDDigits-1, n)
}

// responsesInstance is the instance name under which the responses of executions are stored.
const responsesInstance = "amberdeal-answers"

// responseKey returns the digest under which a job's response is stored in the action cache.
func responseKey(job string) cas.Digest { return cas.Sum(cas.DigestFunctions[0], []byte(job)) }

// StoreResponse stores the response of a job's execution. It is called before the job is reported as done. The
// response is stored as an action result, so that it is only returned while all its outputs are in the store.
func StoreResponse(ctx context.Context, c *cas.Client, job string, resp *repb.ExecuteResponse) error {
	r := &repb.ActionResult{}
	if resp.Result != nil {
		r = proto.Clone(resp.Result).(*repb.ActionResult)
	}
	encoded, err := anypb.New(resp)
	if err != nil {
		return fmt.Errorf("encoding the response of %s: %w", job, err)
	}
	r.ExecutionMetadata = &repb.ExecutedActionMetadata{AuxiliaryMetadata: []*anypb.Any{encoded}}
	if err := c.ForInstance(responsesInstance).PutResult(ctx, responseKey(job), r); err != nil {
		return fmt.Errorf("storing the answer of %s: %w", job, err)
	}
	return nil
}

// ErrResponseNotFound means that the response of an execution was evicted or was never stored.
var ErrResponseNotFound = errors.New("the response of the execution is not in the store")

// StoredResponse returns the stored response of a job's execution, or ErrResponseNotFound.
func StoredResponse(ctx context.Context, c *cas.Client, job string) (*repb.ExecuteResponse, error) {
	r, err := c.ForInstance(responsesInstance).Result(ctx, responseKey(job))
	if status.Code(err) == codes.NotFound {
		return nil, ErrResponseNotFound
	}
	if err != nil {
		return nil, err
	}
	var resp repb.ExecuteResponse
	if len(r.GetExecutionMetadata().GetAuxiliaryMetadata()) != 1 || r.ExecutionMetadata.AuxiliaryMetadata[0].UnmarshalTo(&resp) != nil {
		return nil, ErrResponseNotFound
	}
	return &resp, nil
}
