package store

import "testing"

// TestKind checks that Kind recognizes the key of every kind.
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
			t.Errorf("Kind(%q) = %q, want %q", key, got, want)
		}
	}
}

// TestSplitKey checks that a key is split after its kind, whatever characters its name contains.
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
			t.Errorf("splitKey(%q) = %q, %q", c.key, kind, name)
		}
	}
}

// TestLedgerNames checks that each generation of the sharding has its own ledger names, and that
// generation 0 uses the names that versions without shards used.
func TestLedgerNames(t *testing.T) {
	if a, b := LedgerName("fleet", 0), LedgerName("fleet", 2); a != "fleet" || b != "fleet@2" {
		t.Errorf("ledger names %q and %q, want \"fleet\" and \"fleet@2\"", a, b)
	}
}
