package commit

import (
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

const (
	// maxBytes bounds what the values of one round take together: the state service refuses
	// larger transactions.
	maxBytes = 58 << 10
	// maxUpdateBytes bounds the batches among them, but for the first: the rest is for the
	// ledger, where often more segments want to be written.
	maxUpdateBytes = 20 << 10
)

// Limits bounds what a round may write.
type Limits struct {
	Changes    int
	Conditions int // on batches of jobs
}

// Builder builds the transaction of a round. Batches of jobs come first, then what is left is
// reserved for the ledger, into which entries are added. Each method takes in what it is given
// only if the round has capacity for it.
type Builder struct {
	Txn wire.Txn

	entries []store.Entry
	packed  store.PackedWrite
	updates map[string]*store.BatchUpdate // by key
	ordered []*store.BatchUpdate          // the same, in order
	guarded map[string]bool               // keys of the batches that must be as they were seen

	segments       int // of the ledger, that the round may write
	entryBytes     int // that are left for entries
	txnBytes       int // that are left in the transaction
	changesLeft    int
	conditionsLeft int
}

// NewBuilder returns a builder of a transaction within limits.
func NewBuilder(l Limits) *Builder {
	return &Builder{updates: map[string]*store.BatchUpdate{}, guarded: map[string]bool{},
		txnBytes: maxBytes, changesLeft: l.Changes, conditionsLeft: l.Conditions}
}

// Guard makes the round conditional on the batch of a job being as it was seen, so that a
// cancellation that came in between fails the round.
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

// Guarded returns how many batches the round is conditional on.
func (b *Builder) Guarded() int { return len(b.guarded) }

// Update returns the update of the batch of a job that the round writes; nil if there is no capacity.
func (b *Builder) Update(l *store.LiveJob) *store.BatchUpdate {
	if u := b.updates[l.Batch.Key]; u != nil {
		return u
	}
	size := l.Batch.Bytes()
	if b.changesLeft <= 1 || len(b.ordered) > 0 && b.txnBytes-size < maxBytes-maxUpdateBytes || !b.Guard(l) {
		return nil
	}
	b.changesLeft--
	b.txnBytes -= size
	u := l.Batch.Update()
	b.updates[l.Batch.Key] = u
	b.ordered = append(b.ordered, u)
	return u
}

// Pending returns the update of the batch of a job, or nil if the round does not write it.
func (b *Builder) Pending(l *store.LiveJob) *store.BatchUpdate { return b.updates[l.Batch.Key] }

// Updates returns how many batches the round writes.
func (b *Builder) Updates() int { return len(b.ordered) }

// ChangesLeft returns how many more changes the round may make.
func (b *Builder) ChangesLeft() int { return b.changesLeft }

// AddChange adds a change. The caller has seen that one is left.
func (b *Builder) AddChange(op wire.Operation) {
	b.changesLeft--
	b.Txn.Then = append(b.Txn.Then, op)
}

// AddChangeIf adds a change and a condition for it. The caller has seen that there is capacity.
func (b *Builder) AddChangeIf(c wire.Condition, op wire.Operation) {
	b.changesLeft--
	b.conditionsLeft--
	b.Txn.If = append(b.Txn.If, c)
	b.Txn.Then = append(b.Txn.Then, op)
}

// OpenLedger ends the updates of batches, which become changes, and reserves what is left, up to so
// many segments, for entries of the ledger.
func (b *Builder) OpenLedger(ledger *store.Ledger, maxSegments, segmentBytes int, size *SizeBackoff) {
	for _, u := range b.ordered {
		b.Txn.Then = append(b.Txn.Then, u.Change())
	}
	b.segments = max(1, min(maxSegments, b.txnBytes/segmentBytes, b.changesLeft))
	b.changesLeft -= b.segments
	b.entryBytes = size.Limit(ledger.FreeBytes(b.segments))
}

// Add takes entries into the round if all of them fit.
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

// Fits reports whether so many bytes are left for entries.
func (b *Builder) Fits(size int) bool { return size <= b.entryBytes }

// Reserve sets aside capacity for entries that are added by AddReserved, if it is there.
func (b *Builder) Reserve(size int) bool {
	if !b.Fits(size) {
		return false
	}
	b.entryBytes -= size
	return true
}

// AddReserved adds an entry for which capacity was reserved.
func (b *Builder) AddReserved(e store.Entry) { b.entries = append(b.entries, e) }

// Empty reports whether the round changes nothing yet.
func (b *Builder) Empty() bool { return len(b.Txn.Then) == 0 && len(b.entries) == 0 }

// Pack divides the entries among segments of the ledger. It returns how many did not fit.
func (b *Builder) Pack(ledger *store.Ledger, head store.SegmentRecord) (left int) {
	b.packed, b.entries = ledger.Pack(head, b.entries, b.segments, b.changesLeft > 0)
	return len(b.entries)
}

// Seal completes the transaction with the packed segments.
func (b *Builder) Seal() {
	b.Txn.If = append(b.Txn.If, b.packed.If...)
	b.Txn.Then = append(b.Txn.Then, b.packed.Then...)
}

// Packed returns the segments that the round writes.
func (b *Builder) Packed() store.PackedWrite { return b.packed }

// FirstSegment returns the key of the first segment that the round writes.
func (b *Builder) FirstSegment() string { return b.packed.Then[0].Put }

// WrittenBatches returns the batches that the round has written, once it was committed at a revision.
func (b *Builder) WrittenBatches(revision uint64) []*store.Batch {
	out := make([]*store.Batch, len(b.ordered))
	for i, u := range b.ordered {
		out[i] = u.Committed(revision)
	}
	return out
}
