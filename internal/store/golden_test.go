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

// TestGoldenRecords checks that the encoding of each record in the state service is unchanged.
func TestGoldenRecords(t *testing.T) {
	checkGolden[JobRecord](t, "job.cbor")
	checkGolden[BatchRecord](t, "batch.cbor")
	checkGolden[FormatRecord](t, "format.cbor")
	checkGolden[SubmissionFenceRecord](t, "gate.cbor")
	checkGolden[LeaderRecord](t, "part.cbor")
	checkGolden[ShardingRecord](t, "grouping.cbor")
	checkGolden[QuotaGrantRecord](t, "grant.cbor")
	checkGolden[TiersRecord](t, "tiers.cbor")
	checkGolden[MachineTypesRecord](t, "types.cbor")
	checkGolden[SegmentRecord](t, "slot.cbor")
	checkGolden[MachineRecord](t, "machine.cbor")
	checkGolden[ScaleOutRecord](t, "ask.cbor")
	checkGolden[ZoneRecord](t, "zone.cbor")
	checkGolden[ZoneRecoveryRecord](t, "return.cbor")
	checkGolden[tier.Reservation](t, "claim.cbor")
}

// checkGolden compares the encoding of a record type with a golden file.
func checkGolden[T any](t *testing.T, name string) {
	t.Helper()
	goldentest.CheckEncoding[T](t, name, encode, wire.DecodeValue)
}

// TestGoldenKeys checks that the keys in the state service, the format numbers, the co-allocation
// constants and the purposes of calls are unchanged.
func TestGoldenKeys(t *testing.T) {
	goldentest.CompareText(t, "keys.txt", strings.Join([]string{
		CommonPrefix, StatePrefix, ArchivePrefix, fmt.Sprint(Format, FormatSharded),
		FencingTokenKey, MachineTypesKey, SubmissionFenceKey, ShardingKey, QuotaGrantKey, TiersKey, FormatKey,
		JobKey("j-1"), BatchKey("b-1"), RecentKey(7), SegmentKey(LedgerName("a", 0), 3), SegmentKey(LedgerName("a", 2), 3), LeaderKey("a"),
		Kind(ArchivePrefix + "x"), Kind(JobKey("j-1")),
		fmt.Sprint(CoAllocationRelease, CoAllocationReserve, CoAllocationFirstAttempt),
		PurposeLeadership, PurposeRounds, PurposeSubmissions, PurposeCancellations, PurposeCompaction, PurposeReads,
	}, "\n")+"\n")
}

// TestGoldenEntries checks that the keys, values and accounted sizes of ledger entries are unchanged.
func TestGoldenEntries(t *testing.T) {
	done := NewTaskSet(3000)
	for _, n := range []int{0, 1, 2, 70, 2999} {
		done.Add(n)
	}
	var out strings.Builder
	for _, e := range []Entry{
		MachineEntry("m-1", goldentest.FilledValue[MachineRecord](t)), MachineTombstone("m-1"),
		ScaleOutEntry("a-1", goldentest.FilledValue[ScaleOutRecord](t)), ScaleOutTombstone("a-1"),
		ProgressEntry("j-1", 0, done), ProgressEntry("j-1", 1, done),
		ZoneEntry("z-1", goldentest.FilledValue[ZoneRecord](t)),
		ZoneRecoveryEntry("z-1", goldentest.FilledValue[ZoneRecoveryRecord](t)), ZoneRecoveryTombstone("z-1"),
		PreemptionEntry("j-1", goldentest.FilledValue[tier.Reservation](t)), PreemptionTombstone("j-1", "m-1"),
	} {
		fmt.Fprintf(&out, "%s %d %x\n", e.Key, e.Size, []byte(e.Value))
	}
	goldentest.CompareText(t, "entries.txt", out.String())
}

// TestGoldenBatchUpdate checks that the encoding of a batch's rewrite after a job has ended is unchanged.
func TestGoldenBatchUpdate(t *testing.T) {
	rec := goldentest.FilledValue[JobRecord](t)
	rec.Stage = wire.Pending
	batch := Batch{Key: BatchKey("b-1"), Version: 9, SinceRevision: 4, Jobs: sortedJobs(map[string]JobRecord{"j-1": rec, "j-2": rec})}
	update := batch.Update()
	update.EndJob("j-1", wire.Done, time.UnixMilli(1_700_000_000_123))
	update.MarkFinishedIn("j-2", "a@2")
	change, err := encode(update.Operation())
	if err := errors.Join(err); err != nil {
		t.Fatal(err)
	}
	goldentest.CompareBytes(t, "home.cbor", change)
}
