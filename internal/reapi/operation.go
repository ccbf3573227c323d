package reapi

import (
	"strings"

	"cloud.google.com/go/longrunning/autogen/longrunningpb"
	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/anypb"

	"amberdeal.example/amberdeal/internal/action"
	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/wire"
)

// operation names an execution: every controller can tell from it which job it is,
// and of which action.
type operation struct {
	job    string
	action cas.Digest
}

const operationPrefix = "operations"

func (o operation) name() string {
	return strings.Join([]string{operationPrefix, o.action.Function.String(), o.action.String(), o.job}, "/")
}

func parseOperation(name string) (operation, error) {
	bad := status.Errorf(codes.NotFound, "operation %q: not a name that this service gave", name)
	words := strings.Split(name, "/")
	if len(words) != 5 || words[0] != operationPrefix || !wire.ValidJobID(words[4]) {
		return operation{}, bad
	}
	g, err := cas.DigestFromString(words[2] + "/" + words[3])
	if err != nil {
		return operation{}, bad
	}
	g.Function = cas.Function(repb.DigestFunction_Value_value[words[1]])
	return operation{words[4], g}, nil
}

// send tells the stage of an operation.
func (o operation) send(out grpc.ServerStreamingServer[longrunningpb.Operation], stage repb.ExecutionStage_Value, resp *repb.ExecuteResponse) error {
	told := &repb.ExecuteOperationMetadata{Stage: stage, ActionDigest: o.action.Proto(), DigestFunction: o.action.Function}
	if stage != repb.ExecutionStage_COMPLETED { // the logs come once something is written, maybe before this stage is known here
		stdout, stderr := action.LogNames(o.job)
		told.StdoutStreamName, told.StderrStreamName = cas.LogName("", stdout), cas.LogName("", stderr)
	}
	meta, err := anypb.New(told)
	if err != nil {
		return err
	}
	op := &longrunningpb.Operation{Name: o.name(), Metadata: meta}
	if resp != nil {
		packed, err := anypb.New(resp)
		if err != nil {
			return err
		}
		op.Done, op.Result = true, &longrunningpb.Operation_Response{Response: packed}
	}
	return out.Send(op)
}
