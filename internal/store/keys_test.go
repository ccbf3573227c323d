package store

import "testing"

// TestKind: each key has the kind of its prefix, and a key of others has none of amberdeal's.
func TestKind(t *testing.T) {
	for key, want := range map[string]string{
		JobKey("wk-1"):         KindJob,
		BatchKey("b/1"):        KindBatch,
		RecentKey(3):           KindRecent,
		SegmentKey("a@2", 1):   KindLedger,
		LeaderKey("a"):         KindLeader,
		ArchivePrefix + "0250": KindArchive,
		FencingTokenKey:        KindFencingToken,
		MachineTypesKey:        KindMachineTypes,
		SubmissionFenceKey:     KindSubmissionFence,
		ShardingKey:            KindSharding,
		QuotaGrantKey:          KindQuotaGrant,
		TiersKey:               KindTiers,
		FormatKey:              KindFormat,
	} {
		if got := Kind(key); got != want {
			t.Errorf("%s is of kind %q, want %q", key, got, want)
		}
	}
}

// TestSplitKey: a key is split after its kind, whatever its name holds.
func TestSplitKey(t *testing.T) {
	for _, c := range []struct{ key, kind, name string }{
		{BatchKey("b/1"), batchPrefix, "b/1"},
		{SegmentKey("a", 0), ledgerPrefix, "a/0"},
		{FormatKey, FormatKey, ""},
		{ArchivePrefix + "~", ArchivePrefix, "~"},
		{"a/b", "a/b", ""},
		{"", "", ""},
	} {
		if kind, name := splitKey(c.key); kind != c.kind || name != c.name {
			t.Errorf("%q: %q and %q", c.key, kind, name)
		}
	}
}

// TestLedgerNames: each generation of the sharding has ledgers of its own, the first those of
// versions without shards.
func TestLedgerNames(t *testing.T) {
	if a, b := LedgerName("fleet", 0), LedgerName("fleet", 2); a != "fleet" || b != "fleet@2" {
		t.Errorf("%q, %q", a, b)
	}
}
