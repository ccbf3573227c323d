package cas

import (
	"container/list"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
)

// Errors of reading and writing blobs.
var (
	// ErrNotFound means that the blob is not in the store, or that its file is damaged.
	ErrNotFound = errors.New("no such blob")
	// ErrWrongContent means that the content does not match the digest.
	ErrWrongContent = errors.New("content does not match the digest")
	// ErrFull means that no blob can be evicted, because all were used within the retention time.
	ErrFull = errors.New("the store is full, and all of it was used lately")
	// ErrBusy means that another call is writing to the same upload.
	ErrBusy = errors.New("the upload is being written by another call")
	// ErrTooLarge means that the blob is larger than the whole store.
	ErrTooLarge = errors.New("the blob is larger than the store")
)

// Disk stores blobs as files in a directory. It evicts the least recently used ones to make room for new ones.
type Disk struct {
	dir       string
	limit     int64         // of all blobs, in bytes
	retention time.Duration // a blob is not evicted for this time after its last use

	mu       sync.Mutex
	blobs    map[Digest]*list.Element // of *blob
	lru      *list.List               // least recently used first
	bytes    int64
	reserved int64 // bytes reserved by unfinished uploads
	evicted  int
	damaged  int
	uploads  map[string]bool // by id: uploads that have an open writer
	now      func() time.Time
	logs     *logs
}

type blob struct {
	digest       Digest
	lastUsed     time.Time
	mtimeUpdated time.Time // when the file's modification time was last updated
	verified     bool      // the content was checked since the process started
	readers      int       // open readers; the blob is not evicted while there are any
}

// mtimeUpdateInterval is the minimum time between two updates of a file's modification time. These times preserve the
// LRU order over a restart.
const mtimeUpdateInterval = time.Minute

// Open opens the store in a directory, and creates the directory if necessary.
func Open(dir string, limit int64, retention time.Duration) (*Disk, error) {
	d := &Disk{dir: dir, limit: limit, retention: retention, blobs: make(map[Digest]*list.Element), lru: list.New(), uploads: make(map[string]bool), now: time.Now}
	for _, sub := range []string{"blobs", "uploads", "results"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, fmt.Errorf("creating the directory for %s: %w", sub, err)
		}
	}
	var err error
	if d.logs, err = newLogs(dir, retention); err != nil {
		return nil, fmt.Errorf("creating the directory for logs: %w", err)
	}
	if err := d.load(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", dir, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.makeRoom(0)
	return d, nil
}

// load indexes the blobs in the directory in the order of their last use. It deletes files that do not hold a
// complete blob.
func (d *Disk) load() error {
	var found []*blob
	err := filepath.WalkDir(filepath.Join(d.dir, "blobs"), func(path string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err != nil {
			return err
		}
		digest, ok := digestOf(path)
		if !ok || info.Size() != digest.Size { // a partial blob, or an unrelated file
			return os.Remove(path)
		}
		found = append(found, &blob{digest: digest, lastUsed: info.ModTime(), mtimeUpdated: info.ModTime()})
		return nil
	})
	if err != nil {
		return err
	}
	slices.SortFunc(found, func(a, b *blob) int { return a.lastUsed.Compare(b.lastUsed) })
	for _, b := range found {
		d.blobs[b.digest] = d.lru.PushBack(b)
		d.bytes += b.digest.Size
	}
	return d.sweepUploads(time.Hour)
}

// sweepUploads deletes uploads whose last write is longer ago than age.
func (d *Disk) sweepUploads(age time.Duration) error {
	entries, err := os.ReadDir(filepath.Join(d.dir, "uploads"))
	for _, e := range entries {
		if info, ierr := e.Info(); ierr == nil && time.Since(info.ModTime()) > age {
			err = errors.Join(err, os.Remove(filepath.Join(d.dir, "uploads", e.Name())))
		}
	}
	return err
}

// path returns the file of a blob.
func (d *Disk) path(digest Digest) string {
	return filepath.Join(d.dir, "blobs", strings.ToLower(digest.Function.String()), digest.Hash[:2], digest.Hash+"-"+strconv.FormatInt(digest.Size, 10))
}

// digestOf derives the digest of a blob from the path of its file.
func digestOf(path string) (Digest, bool) {
	h, size, _ := strings.Cut(filepath.Base(path), "-")
	n, err := strconv.ParseInt(size, 10, 64)
	f := repb.DigestFunction_Value_value[strings.ToUpper(filepath.Base(filepath.Dir(filepath.Dir(path))))]
	digest := Digest{DigestFunction(f), h, n}
	return digest, err == nil && digest.check() == nil
}

// Has reports whether a blob is in the store. It records a use of the blob, which then is not evicted for the
// retention time.
func (d *Disk) Has(digest Digest) bool {
	if digest.Empty() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.touch(digest) != nil
}

// touch records a use of a blob and returns it, or nil if it is not in the store. The caller holds the lock.
func (d *Disk) touch(digest Digest) *blob {
	e := d.blobs[digest]
	if e == nil {
		return nil
	}
	b := e.Value.(*blob)
	b.lastUsed = d.now()
	d.lru.MoveToBack(e)
	if b.lastUsed.Sub(b.mtimeUpdated) > mtimeUpdateInterval {
		b.mtimeUpdated = b.lastUsed
		_ = os.Chtimes(d.path(digest), b.lastUsed, b.lastUsed)
	}
	return b
}

// remove deletes a blob's file and its entry in the index. The caller holds the lock.
func (d *Disk) remove(digest Digest) {
	if e := d.blobs[digest]; e != nil {
		d.lru.Remove(e)
		delete(d.blobs, digest)
		d.bytes -= digest.Size
		_ = os.Remove(d.path(digest))
	}
}

// makeRoom evicts blobs that were not used within the retention time until size more bytes fit. The caller holds the
// lock.
func (d *Disk) makeRoom(size int64) error {
	if size > d.limit {
		return ErrTooLarge
	}
	now := d.now()
	for e := d.lru.Front(); e != nil && d.bytes+d.reserved+size > d.limit; {
		b := e.Value.(*blob)
		next := e.Next()
		if now.Sub(b.lastUsed) <= d.retention {
			break // all that follow were used more recently
		}
		if b.readers == 0 {
			d.remove(b.digest)
			d.evicted++
		}
		e = next
	}
	if size > 0 && d.bytes+d.reserved+size > d.limit {
		return ErrFull
	}
	return nil
}

// Stats holds the number and size of the blobs in the store, and how many were evicted or found damaged.
type Stats struct {
	Blobs, Evicted, Damaged int
	Bytes, Limit            int64
}

// Stats returns the current statistics.
func (d *Disk) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{len(d.blobs), d.evicted, d.damaged, d.bytes, d.limit}
}

// Get reads a whole blob of at most limit bytes.
func (d *Disk) Get(digest Digest, limit int64) ([]byte, error) {
	if digest.Size > limit {
		return nil, fmt.Errorf("%v: larger than %d bytes", digest, limit)
	}
	r, err := d.Reader(digest)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

// Put stores a whole blob after verifying its digest.
func (d *Disk) Put(digest Digest, content []byte) error {
	if Sum(digest.Function, content) != digest {
		return fmt.Errorf("%w: %v", ErrWrongContent, digest)
	}
	if d.Has(digest) {
		return nil
	}
	w, err := d.Writer(digest, "")
	if err != nil {
		return err
	}
	defer w.Close()
	if _, err := w.Write(content); err != nil {
		return err
	}
	return w.Commit()
}
