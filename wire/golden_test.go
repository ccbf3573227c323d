package wire

import (
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/goldentest"
)

func check[T any](t *testing.T, name string) {
	t.Helper()
	goldentest.Check[T](t, name, func(v any) ([]byte, error) { return Encode(v), nil }, DecodeValue)
}

// TestGoldenMessages: each message of the interfaces is sent as it was.
func TestGoldenMessages(t *testing.T) {
	check[MachineType](t, "machine-type.cbor")
	check[ScaleOutRequest](t, "rental.cbor")
	check[MachineNames](t, "machine-names.cbor")
	check[ListedMachine](t, "listed-machine.cbor")
	check[MachineList](t, "machine-list.cbor")
	check[KeyValue](t, "item.cbor")
	check[KeyValueList](t, "item-list.cbor")
	check[Condition](t, "condition.cbor")
	check[Operation](t, "change.cbor")
	check[Txn](t, "txn.cbor")
	check[TxnResult](t, "txn-result.cbor")
	check[Event](t, "event.cbor")
	check[WatchResponse](t, "changes.cbor")
	check[LeaseGrantRequest](t, "lease-grant.cbor")
	check[LeaseGrantResponse](t, "lease-id.cbor")
	check[Job](t, "job.cbor")
	check[submission](t, "submission.cbor")
	check[JobStatus](t, "job-status.cbor")
	check[Failure](t, "failure.cbor")
	check[ReportedTask](t, "reported-task.cbor")
	check[Heartbeat](t, "report.cbor")
	check[Command](t, "command.cbor")
	check[HeartbeatResponse](t, "answer.cbor")
	check[Redirect](t, "redirect.cbor")
	check[CommandRequest](t, "direct.cbor")
}

// TestGoldenWords: the paths and words of the interfaces are what they were.
func TestGoldenWords(t *testing.T) {
	words := []string{
		PathJobs, PathReady, CancelWord, WorkWord, PathKeys, PathTxn, PathLeases, PathWatch, RenewWord,
		PathTypes, PathRentals, PathRelease, PathHeartbeat, PathCommands, PathStatus,
		KeyPath("a/b"), KeysPath("a/", "a/b", 7), WatchPath("a/", 9, 2*time.Second), LeasePath(5), RenewPath(5), MachineListPath("m 1"),
		string(Array), string(Gang), string(Service), string(Production), string(High), string(Normal), string(Low),
		string(Pending), string(Running), string(Done), string(Cancelled),
		string(MachineStarting), string(MachineRunning), string(MachineFailed),
		string(Launch), string(Stop), string(Clear), JobPrefix, TaskID{"j-1", 4}.String(),
		string(TaskFetching), string(TaskWaiting), string(TaskRunning), string(TaskSaving), string(TaskEnded),
		string(CauseDone), string(CauseStopped), string(CausePeers), string(CauseAlone), string(CauseError), string(CauseNoRoom), string(CauseBusy), string(CauseUnknown),
	}
	goldentest.Text(t, "words.txt", strings.Join(words, "\n")+"\n")
}
