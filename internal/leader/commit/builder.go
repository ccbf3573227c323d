package commit

import (
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxTxnBytes bounds the total size of the values that a round writes: the state service refuses larger
	// transactions.
	maxTxnBytes = 58 << 10
	// maxBatchBytes bounds the size of the batches among these values. The first batch is exempt. The rest is left to
	// the ledger, which often has more segments to write.
	maxBatchBytes = 20 << 10
)

// Limits bounds the number of changes and conditions of a round.
type Limits struct {
	Changes    int
	Conditions int // on batches of jobs
}

// Builder builds the transaction of a round. Batches of jobs are updated first. OpenLedger then reserves the remaining
// capacity for the ledger, to which entries are added. A method that reports success adds something only if the round
// has capacity for it.
type Builder struct {
	Txn wire.Txn

	entries        []store.Entry
	packed         store.PackedWrite
	updates        map[string]*store.BatchUpdate // by batch key
	orderedUpdates []*store.BatchUpdate          // the same updates, in the order in which they were begun
	guarded        map[string]bool               // keys of the batches whose versions the round is conditional on

	maxSegments    int // segments of the ledger that the round may write
	entryBytes     int // bytes left for ledger entries
	txnBytes       int // bytes left in the transaction
	changesLeft    int
	conditionsLeft int
}

// NewBuilder returns a builder of a transaction that stays within the limits.
func NewBuilder(l Limits) *Builder {
	return &Builder{updates: map[string]*store.BatchUpdate{}, guarded: map[string]bool{},
		txnBytes: maxTxnBytes, changesLeft: l.Changes, conditionsLeft: l.Conditions}
}

// Guard makes the round conditional on the version of a job's batch, so that the state service refuses the round if the
// job was cancelled in the meantime. It returns false if the round may have no more conditions.
func (b *Builder) Guard(l *store.LiveJob) bool {
	if b.guarded[l.Batch.Key] {
		return true
	}
	if b.conditionsLeft == 0 {
		return false
	}
	b.conditionsLeft--
	b.guarded[l.Batch.Key] = true
	b.Txn.If = append(b.Txn.If, wire.Condition{Key: l.Batch.Key, Version: l.Batch.Version})
	return true
}

// GuardedCount returns how many batches the round is conditional on.
func (b *Builder) GuardedCount() int { return len(b.guarded) }

// Update returns the round's update of a job's batch and begins it if needed. It returns nil if the round has no
// capacity for it.
func (b *Builder) Update(l *store.LiveJob) *store.BatchUpdate {
	if u := b.updates[l.Batch.Key]; u != nil {
		return u
	}
	size := l.Batch.Bytes()
	if b.changesLeft <= 1 || len(b.orderedUpdates) > 0 && b.txnBytes-size < maxTxnBytes-maxBatchBytes || !b.Guard(l) {
		return nil
	}
	b.changesLeft--
	b.txnBytes -= size
	u := l.Batch.Update()
	b.updates[l.Batch.Key] = u
	b.orderedUpdates = append(b.orderedUpdates, u)
	return u
}

// Pending returns the round's update of a job's batch, or nil if the round does not write the batch.
func (b *Builder) Pending(l *store.LiveJob) *store.BatchUpdate { return b.updates[l.Batch.Key] }

// UpdateCount returns how many batches the round writes.
func (b *Builder) UpdateCount() int { return len(b.orderedUpdates) }

// ChangesLeft returns how many more changes the round may make.
func (b *Builder) ChangesLeft() int { return b.changesLeft }

// AddChange adds a change. The caller must have checked that a change is left.
func (b *Builder) AddChange(op wire.Operation) {
	b.changesLeft--
	b.Txn.Then = append(b.Txn.Then, op)
}

// AddChangeIf adds a change and a condition of the round. The caller must have checked that the round has capacity.
func (b *Builder) AddChangeIf(c wire.Condition, op wire.Operation) {
	b.changesLeft--
	b.conditionsLeft--
	b.Txn.If = append(b.Txn.If, c)
	b.Txn.Then = append(b.Txn.Then, op)
}

// OpenLedger adds the updates of batches to the transaction, and reserves the remaining capacity, up to maxSegments
// segments, for entries of the ledger. No batch may be updated after it.
func (b *Builder) OpenLedger(ledger *store.Ledger, maxSegments, segmentBytes int, size *SizeBackoff) {
	for _, u := range b.orderedUpdates {
		b.Txn.Then = append(b.Txn.Then, u.Operation())
	}
	b.maxSegments = max(1, min(maxSegments, b.txnBytes/segmentBytes, b.changesLeft))
	b.changesLeft -= b.maxSegments
	b.entryBytes = size.Limit(ledger.FreeBytes(b.maxSegments))
}

// Add adds entries to the round if all of them fit, and reports whether it did.
func (b *Builder) Add(entries ...store.Entry) bool {
	size := 0
	for _, e := range entries {
		size += e.Size
	}
	if !b.Reserve(size) {
		return false
	}
	b.entries = append(b.entries, entries...)
	return true
}

// Fits reports whether size bytes are left for entries.
func (b *Builder) Fits(size int) bool { return size <= b.entryBytes }

// Reserve reserves size bytes for entries that are added by AddReserved, and reports whether that many are left.
func (b *Builder) Reserve(size int) bool {
	if !b.Fits(size) {
		return false
	}
	b.entryBytes -= size
	return true
}

// AddReserved adds an entry for which capacity has been reserved.
func (b *Builder) AddReserved(e store.Entry) { b.entries = append(b.entries, e) }

// Empty reports whether the round changes nothing yet.
func (b *Builder) Empty() bool { return len(b.Txn.Then) == 0 && len(b.entries) == 0 }

// Pack distributes the entries over segments of the ledger. It returns the number of entries that did not fit.
func (b *Builder) Pack(ledger *store.Ledger, head store.SegmentRecord) (left int) {
	b.packed, b.entries = ledger.Pack(head, b.entries, b.maxSegments, b.changesLeft > 0)
	return len(b.entries)
}

// Seal adds the packed segments to the transaction, which completes it.
func (b *Builder) Seal() {
	b.Txn.If = append(b.Txn.If, b.packed.If...)
	b.Txn.Then = append(b.Txn.Then, b.packed.Then...)
}

// Packed returns the segments that the round writes.
func (b *Builder) Packed() store.PackedWrite { return b.packed }

// FirstSegmentKey returns the key of the first segment that the round writes.
func (b *Builder) FirstSegmentKey() string { return b.packed.Then[0].Put }

// WrittenBatches returns the batches that the round wrote, given the revision at which it was committed.
func (b *Builder) WrittenBatches(revision uint64) []*store.Batch {
	out := make([]*store.Batch, len(b.orderedUpdates))
	for i, u := range b.orderedUpdates {
		out[i] = u.Committed(revision)
	}
	return out
}
