package wire

import (
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// checkEncoding compares the CBOR encoding of a T with a golden file, and decodes that file again.
func checkEncoding[T any](t *testing.T, name string) {
	t.Helper()
	goldentest.CheckEncoding[T](t, name, func(v any) ([]byte, error) { return Encode(v), nil }, DecodeValue)
}

// TestGoldenMessages checks that the encoding of each message has not changed.
func TestGoldenMessages(t *testing.T) {
	checkEncoding[MachineType](t, "machine-type.cbor")
	checkEncoding[ScaleOutRequest](t, "rental.cbor")
	checkEncoding[MachineIDs](t, "machine-names.cbor")
	checkEncoding[ListedMachine](t, "listed-machine.cbor")
	checkEncoding[MachineList](t, "machine-list.cbor")
	checkEncoding[KeyValue](t, "item.cbor")
	checkEncoding[KeyValueList](t, "item-list.cbor")
	checkEncoding[Condition](t, "condition.cbor")
	checkEncoding[Operation](t, "change.cbor")
	checkEncoding[Txn](t, "txn.cbor")
	checkEncoding[TxnResult](t, "txn-result.cbor")
	checkEncoding[Event](t, "event.cbor")
	checkEncoding[WatchResponse](t, "changes.cbor")
	checkEncoding[LeaseGrantRequest](t, "lease-grant.cbor")
	checkEncoding[LeaseGrantResponse](t, "lease-id.cbor")
	checkEncoding[Job](t, "job.cbor")
	checkEncoding[submission](t, "submission.cbor")
	checkEncoding[JobStatus](t, "job-status.cbor")
	checkEncoding[Failure](t, "failure.cbor")
	checkEncoding[ReportedTask](t, "reported-task.cbor")
	checkEncoding[Heartbeat](t, "report.cbor")
	checkEncoding[Command](t, "command.cbor")
	checkEncoding[HeartbeatResponse](t, "answer.cbor")
	checkEncoding[Redirect](t, "redirect.cbor")
	checkEncoding[CommandRequest](t, "direct.cbor")
}

// TestGoldenPathsAndValues checks that the paths and enumerated values of the protocols have not changed.
func TestGoldenPathsAndValues(t *testing.T) {
	values := []string{
		PathJobs, PathReady, CancelPathSuffix, WorkPathSuffix, PathKeys, PathTxn, PathLeases, PathWatch, RenewPathSuffix,
		PathMachineTypes, PathRentals, PathRelease, PathHeartbeat, PathCommands, PathStatus,
		KeyPath("a/b"), KeysPath("a/", "a/b", 7), WatchPath("a/", 9, 2*time.Second), LeasePath(5), RenewPath(5), MachineListPath("m 1"),
		string(Array), string(Gang), string(Service), string(Production), string(High), string(Normal), string(Low),
		string(Pending), string(Running), string(Done), string(Cancelled),
		string(MachineStarting), string(MachineRunning), string(MachineFailed),
		string(Launch), string(Stop), string(Clear), JobIDPrefix, TaskID{"j-1", 4}.String(),
		string(TaskFetching), string(TaskWaiting), string(TaskRunning), string(TaskSaving), string(TaskEnded),
		string(CauseDone), string(CauseStopped), string(CauseGangBroken), string(CauseGangTimeout), string(CauseError), string(CauseNoCapacity), string(CauseBusy), string(CauseUnknown),
	}
	goldentest.CompareText(t, "words.txt", strings.Join(values, "\n")+"\n")
}
