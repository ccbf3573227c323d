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

// operation identifies an execution. Its name holds the job and the action, so that every controller can serve it.
type operation struct {
	job    string
	action cas.Digest
}

// operationPrefix is the first segment of every operation name.
const operationPrefix = "operations"

// name returns operations/FUNCTION/HASH/SIZE/JOB.
func (o operation) name() string {
	return strings.Join([]string{operationPrefix, o.action.Function.String(), o.action.String(), o.job}, "/")
}

// parseOperation parses the name of an operation.
func parseOperation(name string) (operation, error) {
	notFound := status.Errorf(codes.NotFound, "operation %q: not a name that this service gave", name)
	segments := strings.Split(name, "/")
	if len(segments) != 5 || segments[0] != operationPrefix || !wire.ValidJobID(segments[4]) {
		return operation{}, notFound
	}
	digest, err := cas.DigestFromString(segments[2] + "/" + segments[3])
	if err != nil {
		return operation{}, notFound
	}
	digest.Function = cas.DigestFunction(repb.DigestFunction_Value_value[segments[1]])
	return operation{segments[4], digest}, nil
}

// send sends the stage of an operation, and its response if it is done.
func (o operation) send(stream grpc.ServerStreamingServer[longrunningpb.Operation], stage repb.ExecutionStage_Value, resp *repb.ExecuteResponse) error {
	stageMeta := &repb.ExecuteOperationMetadata{Stage: stage, ActionDigest: o.action.Proto(), DigestFunction: o.action.Function}
	if stage != repb.ExecutionStage_COMPLETED {
		// A log exists once something has been written, possibly before this controller knows that the action is
		// executing. Therefore the names of the logs are sent with every stage.
		stdout, stderr := action.LogNames(o.job)
		stageMeta.StdoutStreamName, stageMeta.StderrStreamName = cas.LogName("", stdout), cas.LogName("", stderr)
	}
	meta, err := anypb.New(stageMeta)
	if err != nil {
		return err
	}
	op := &longrunningpb.Operation{Name: o.name(), Metadata: meta}
	if resp != nil {
		encoded, err := anypb.New(resp)
		if err != nil {
			return err
		}
		op.Done, op.Result = true, &longrunningpb.Operation_Response{Response: encoded}
	}
	return stream.Send(op)
}
