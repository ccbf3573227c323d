package store

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/goldentest"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/wire"
)

func encode(v any) ([]byte, error) { return wire.Encode(v), nil }

// TestGoldenRecords: each record of the state service is stored as it was.
func TestGoldenRecords(t *testing.T) {
	check[JobRecord](t, "job.cbor")
	check[BatchRecord](t, "batch.cbor")
	check[FormatRecord](t, "format.cbor")
	check[SubmissionFenceRecord](t, "gate.cbor")
	check[LeaderRecord](t, "part.cbor")
	check[ShardingRecord](t, "grouping.cbor")
	check[QuotaGrantRecord](t, "grant.cbor")
	check[TiersRecord](t, "tiers.cbor")
	check[MachineTypesRecord](t, "types.cbor")
	check[SegmentRecord](t, "slot.cbor")
	check[MachineRecord](t, "machine.cbor")
	check[ScaleOutRecord](t, "ask.cbor")
	check[ZoneRecord](t, "zone.cbor")
	check[ZoneRecoveryRecord](t, "return.cbor")
	check[tier.Reservation](t, "claim.cbor")
}

func check[T any](t *testing.T, name string) {
	t.Helper()
	goldentest.Check[T](t, name, encode, wire.DecodeValue)
}

// TestGoldenKeys: the keys of the state service are what they were.
func TestGoldenKeys(t *testing.T) {
	goldentest.Text(t, "keys.txt", strings.Join([]string{
		CommonPrefix, StatePrefix, ArchivePrefix, fmt.Sprint(Format, FormatSharded),
		FencingTokenKey, MachineTypesKey, SubmissionFenceKey, ShardingKey, QuotaGrantKey, TiersKey, FormatKey,
		JobKey("j-1"), BatchKey("b-1"), RecentKey(7), SegmentKey(LedgerName("a", 0), 3), SegmentKey(LedgerName("a", 2), 3), LeaderKey("a"),
		Kind(ArchivePrefix + "x"), Kind(JobKey("j-1")),
		fmt.Sprint(CoAllocationRelease, CoAllocationReserve, CoAllocationFirstAttempt),
		PurposeLeadership, PurposeRounds, PurposeSubmissions, PurposeCancellations, PurposeCompaction, PurposeReads,
	}, "\n")+"\n")
}

// TestGoldenEntries: the entries of a ledger are stored under the keys that they had, with
// the values that they had, and count for as many bytes.
func TestGoldenEntries(t *testing.T) {
	done := NewTaskSet(3000)
	for _, n := range []int{0, 1, 2, 70, 2999} {
		done.Add(n)
	}
	var out strings.Builder
	for _, e := range []Entry{
		MachineEntry("m-1", goldentest.Filled[MachineRecord](t)), DropMachine("m-1"),
		ScaleOutEntry("a-1", goldentest.Filled[ScaleOutRecord](t)), DropScaleOut("a-1"),
		ProgressEntry("j-1", 0, done), ProgressEntry("j-1", 1, done),
		ZoneEntry("z-1", goldentest.Filled[ZoneRecord](t)),
		ZoneRecoveryEntry("z-1", goldentest.Filled[ZoneRecoveryRecord](t)), DropZoneRecovery("z-1"),
		PreemptionEntry("j-1", goldentest.Filled[tier.Reservation](t)), DropPreemption("j-1", "m-1"),
	} {
		fmt.Fprintf(&out, "%s %d %x\n", e.Key, e.Size, []byte(e.Value))
	}
	goldentest.Text(t, "entries.txt", out.String())
}

// TestGoldenHome: a batch of which a job has ended is written again as it was.
func TestGoldenHome(t *testing.T) {
	rec := goldentest.Filled[JobRecord](t)
	rec.Stage = wire.Pending
	h := Batch{Key: BatchKey("b-1"), Version: 9, SinceRevision: 4, Jobs: sortedJobs(map[string]JobRecord{"j-1": rec, "j-2": rec})}
	r := h.Update()
	r.EndJob("j-1", wire.Done, time.UnixMilli(1_700_000_000_123))
	r.MarkFinishedIn("j-2", "a@2")
	change, err := encode(r.Change())
	if err := errors.Join(err); err != nil {
		t.Fatal(err)
	}
	goldentest.File(t, "home.cbor", change)
}
