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
	check[GateRecord](t, "gate.cbor")
	check[PartRecord](t, "part.cbor")
	check[GroupingRecord](t, "grouping.cbor")
	check[GrantRecord](t, "grant.cbor")
	check[TiersRecord](t, "tiers.cbor")
	check[TypesRecord](t, "types.cbor")
	check[SlotRecord](t, "slot.cbor")
	check[MachineRecord](t, "machine.cbor")
	check[AskRecord](t, "ask.cbor")
	check[ZoneRecord](t, "zone.cbor")
	check[ReturnRecord](t, "return.cbor")
	check[tier.Room](t, "claim.cbor")
}

func check[T any](t *testing.T, name string) {
	t.Helper()
	goldentest.Check[T](t, name, encode, wire.DecodeValue)
}

// TestGoldenKeys: the keys of the state service are what they were.
func TestGoldenKeys(t *testing.T) {
	goldentest.Text(t, "keys.txt", strings.Join([]string{
		Stem, Root, History, fmt.Sprint(Format, FormatParts),
		TermKey, TypesKey, GateKey, GroupingKey, GrantKey, TiersKey, FormatKey,
		JobKey("j-1"), BatchKey("b-1"), RecentKey(7), SlotKey(LedgerOf("a", 0), 3), SlotKey(LedgerOf("a", 2), 3), PartKey("a"),
		Kind(History + "x"), Kind(JobKey("j-1")),
		fmt.Sprint(CoAllocationOff, CoAllocationHold, CoAllocationFirst),
		Claims, Rounds, Submissions, Cancels, Folding, Reading,
	}, "\n")+"\n")
}

// TestGoldenEntries: the entries of a ledger are stored under the keys that they had, with
// the values that they had, and count for as many bytes.
func TestGoldenEntries(t *testing.T) {
	done := NewBits(3000)
	for _, n := range []int{0, 1, 2, 70, 2999} {
		done.Set(n)
	}
	var out strings.Builder
	for _, e := range []Entry{
		MachineEntry("m-1", goldentest.Filled[MachineRecord](t)), DropMachine("m-1"),
		AskEntry("a-1", goldentest.Filled[AskRecord](t)), DropAsk("a-1"),
		ProgressEntry("j-1", 0, done), ProgressEntry("j-1", 1, done),
		ZoneEntry("z-1", goldentest.Filled[ZoneRecord](t)),
		ReturnEntry("z-1", goldentest.Filled[ReturnRecord](t)), DropReturn("z-1"),
		ClaimEntry("j-1", goldentest.Filled[tier.Room](t)), DropClaim("j-1", "m-1"),
	} {
		fmt.Fprintf(&out, "%s %d %x\n", e.Key, e.Size, []byte(e.Value))
	}
	goldentest.Text(t, "entries.txt", out.String())
}

// TestGoldenHome: a batch of which a job has ended is written again as it was.
func TestGoldenHome(t *testing.T) {
	rec := goldentest.Filled[JobRecord](t)
	rec.Stage = wire.Pending
	h := Home{Key: BatchKey("b-1"), Version: 9, Since: 4, Jobs: members(map[string]JobRecord{"j-1": rec, "j-2": rec})}
	r := h.Rewrite()
	r.End("j-1", wire.Done, time.UnixMilli(1_700_000_000_123))
	r.DoneIn("j-2", "a@2")
	change, err := encode(r.Change())
	if err := errors.Join(err); err != nil {
		t.Fatal(err)
	}
	goldentest.File(t, "home.cbor", change)
}
