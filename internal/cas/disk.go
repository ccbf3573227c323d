package cas

import (
	"container/list"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
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

// What can be wrong with a blob.
var (
	// ErrNotFound means that the blob is not here, or was found damaged.
	ErrNotFound = errors.New("no such blob")
	// ErrWrongContent means that what was written is not what its digest says.
	ErrWrongContent = errors.New("content does not match the digest")
	// ErrFull means that nothing can be evicted to make room.
	ErrFull = errors.New("the store is full, and all of it was used lately")
	// ErrBusy means that somebody else is at the same upload.
	ErrBusy = errors.New("the upload is being written by another call")
	// ErrTooLarge means that a blob will never fit.
	ErrTooLarge = errors.New("the blob is larger than the store")
)

// Disk keeps blobs as files in a directory, the least recently used of which make
// room for new ones.
type Disk struct {
	dir       string
	limit     int64         // bytes of all blobs
	retention time.Duration // for which a blob that was used is not evicted

	mu       sync.Mutex
	blobs    map[Digest]*list.Element // of *blob
	lru      *list.List               // the least recently used first
	bytes    int64
	reserved int64 // by uploads that are not through
	evicted  int
	damaged  int
	uploads  map[string]bool // ids that a writer is at
	now      func() time.Time
	logs     *logs
}

type blob struct {
	digest      Digest
	lastUsed    time.Time
	lastTouched time.Time // when the file was last touched for it
	verified    bool      // since this start
	readers     int       // readers
}

// touchInterval is how often the time of use is noted in the file system.
const touchInterval = time.Minute

// Open opens a directory, which is made if need be, and finds what is in it.
func Open(dir string, limit int64, keep time.Duration) (*Disk, error) {
	d := &Disk{dir: dir, limit: limit, retention: keep, blobs: make(map[Digest]*list.Element), lru: list.New(), uploads: make(map[string]bool), now: time.Now}
	for _, sub := range []string{"blobs", "uploads", "results"} {
		if err := os.MkdirAll(filepath.Join(dir, sub), 0o755); err != nil {
			return nil, err
		}
	}
	var err error
	if d.logs, err = newLogs(dir, keep); err != nil {
		return nil, err
	}
	if err := d.load(); err != nil {
		return nil, fmt.Errorf("reading %s: %w", dir, err)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.makeRoom(0)
	return d, nil
}

// load lists the files, and puts them in the order in which they were used.
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
		g, ok := digestOf(path)
		if !ok || info.Size() != g.Size { // half a blob, or nothing of ours
			return os.Remove(path)
		}
		found = append(found, &blob{digest: g, lastUsed: info.ModTime(), lastTouched: info.ModTime()})
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

// sweepUploads removes uploads that nobody has gone on with.
func (d *Disk) sweepUploads(age time.Duration) error {
	entries, err := os.ReadDir(filepath.Join(d.dir, "uploads"))
	for _, e := range entries {
		if info, ierr := e.Info(); ierr == nil && time.Since(info.ModTime()) > age {
			err = errors.Join(err, os.Remove(filepath.Join(d.dir, "uploads", e.Name())))
		}
	}
	return err
}

func (d *Disk) path(g Digest) string {
	return filepath.Join(d.dir, "blobs", strings.ToLower(g.Function.String()), g.Hash[:2], g.Hash+"-"+strconv.FormatInt(g.Size, 10))
}

// digestOf reads the digest from a file's name.
func digestOf(path string) (Digest, bool) {
	h, size, _ := strings.Cut(filepath.Base(path), "-")
	n, err := strconv.ParseInt(size, 10, 64)
	f := repb.DigestFunction_Value_value[strings.ToUpper(filepath.Base(filepath.Dir(filepath.Dir(path))))]
	g := Digest{Function(f), h, n}
	return g, err == nil && g.check() == nil
}

// Has reports whether a blob is here, and counts as its use: it is not evicted for
// the time to keep.
func (d *Disk) Has(g Digest) bool {
	if g.Empty() {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.touch(g) != nil
}

// touch notes the use of a blob.
func (d *Disk) touch(g Digest) *blob {
	e := d.blobs[g]
	if e == nil {
		return nil
	}
	b := e.Value.(*blob)
	b.lastUsed = d.now()
	d.lru.MoveToBack(e)
	if b.lastUsed.Sub(b.lastTouched) > touchInterval {
		b.lastTouched = b.lastUsed
		_ = os.Chtimes(d.path(g), b.lastUsed, b.lastUsed)
	}
	return b
}

// remove removes a blob's file and what is known of it.
func (d *Disk) remove(g Digest) {
	if e := d.blobs[g]; e != nil {
		d.lru.Remove(e)
		delete(d.blobs, g)
		d.bytes -= g.Size
		_ = os.Remove(d.path(g))
	}
}

// makeRoom evicts blobs that were not used lately until so many bytes fit.
func (d *Disk) makeRoom(size int64) error {
	if size > d.limit {
		return ErrTooLarge
	}
	now := d.now()
	for e := d.lru.Front(); e != nil && d.bytes+d.reserved+size > d.limit; {
		b := e.Value.(*blob)
		next := e.Next()
		if now.Sub(b.lastUsed) <= d.retention {
			break // and all that follow
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

// Stats tells of the store's state.
type Stats struct {
	Blobs, Evicted, Damaged int
	Bytes, Limit            int64
}

// Stats gives the counts.
func (d *Disk) Stats() Stats {
	d.mu.Lock()
	defer d.mu.Unlock()
	return Stats{len(d.blobs), d.evicted, d.damaged, d.bytes, d.limit}
}

// Reader opens a blob. It was checked since this start before any of it is given.
func (d *Disk) Reader(g Digest) (io.ReadSeekCloser, error) {
	if g.Empty() {
		return &reader{ReadSeeker: strings.NewReader("")}, nil
	}
	d.mu.Lock()
	b := d.touch(g)
	if b == nil {
		d.mu.Unlock()
		return nil, fmt.Errorf("%w: %v", ErrNotFound, g)
	}
	b.readers++
	verified := b.verified
	d.mu.Unlock()
	release := func() {
		d.mu.Lock()
		b.readers--
		d.mu.Unlock()
	}
	f, err := os.Open(d.path(g))
	if err == nil && !verified {
		err = d.verify(f, b)
	}
	if err != nil {
		release()
		if f != nil {
			f.Close()
		}
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, ErrWrongContent) {
			d.mu.Lock()
			d.remove(g)
			d.damaged++
			d.mu.Unlock()
			return nil, fmt.Errorf("%w: %v: %w", ErrNotFound, g, err)
		}
		return nil, err
	}
	return &reader{f, func() { f.Close(); release() }}, nil
}

// verify checks a file against its digest.
func (d *Disk) verify(f *os.File, b *blob) error {
	h, err := newHash(b.digest.Function)
	if err != nil {
		return err
	}
	n, err := io.Copy(h, f)
	if err != nil {
		return err
	}
	if n != b.digest.Size || hex.EncodeToString(h.Sum(nil)) != b.digest.Hash {
		return ErrWrongContent
	}
	if _, err := f.Seek(0, io.SeekStart); err != nil {
		return err
	}
	d.mu.Lock()
	b.verified = true
	d.mu.Unlock()
	return nil
}

type reader struct {
	io.ReadSeeker
	release func()
}

func (r *reader) Close() error {
	if r.release != nil {
		r.release()
		r.release = nil
	}
	return nil
}

// Get reads a whole blob of at most limit bytes.
func (d *Disk) Get(g Digest, limit int64) ([]byte, error) {
	if g.Size > limit {
		return nil, fmt.Errorf("%v: larger than %d bytes", g, limit)
	}
	r, err := d.Reader(g)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	return io.ReadAll(r)
}

// Put keeps a whole blob.
func (d *Disk) Put(g Digest, content []byte) error {
	if Sum(g.Function, content) != g {
		return fmt.Errorf("%w: %v", ErrWrongContent, g)
	}
	if d.Has(g) {
		return nil
	}
	w, err := d.Writer(g, "")
	if err != nil {
		return err
	}
	defer w.Close()
	if _, err := w.Write(content); err != nil {
		return err
	}
	return w.Commit()
}

// Writer takes the content of a blob. An upload with an id can be gone on with
// after its writer was closed, or the process ended.
type Writer struct {
	disk     *Disk
	digest   Digest
	file     *os.File
	hash     hash.Hash
	written  int64
	id       string
	reserved int64 // bytes that are reserved
}

// Writer begins an upload, or goes on with one that has the same id and digest.
func (d *Disk) Writer(g Digest, id string) (*Writer, error) {
	h, err := newHash(g.Function)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	if err = d.makeRoom(g.Size); id != "" && d.uploads[id] {
		err = ErrBusy // two at one file would write over each other
	}
	if err == nil {
		d.reserved += g.Size
		d.uploads[id] = id != ""
	}
	d.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", err, g)
	}
	w := &Writer{disk: d, digest: g, hash: h, id: id, reserved: g.Size}
	if id == "" {
		w.file, err = os.CreateTemp(filepath.Join(d.dir, "uploads"), "whole-*")
	} else if w.file, err = os.OpenFile(d.uploadPath(g, id), os.O_RDWR|os.O_CREATE, 0o644); err == nil {
		w.written, err = io.Copy(h, io.LimitReader(w.file, g.Size)) // what came before
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// uploadPath names the file of an upload; any id makes a safe name.
func (d *Disk) uploadPath(g Digest, id string) string {
	return filepath.Join(d.dir, "uploads", Sum(Functions[0], []byte(id+"/"+g.String())).Hash)
}

// Uploaded tells how much of an upload is here.
func (d *Disk) Uploaded(g Digest, id string) (int64, bool) {
	info, err := os.Stat(d.uploadPath(g, id))
	if err != nil {
		return 0, false
	}
	return min(info.Size(), g.Size), true
}

// Size is how much has been written.
func (w *Writer) Size() int64 { return w.written }

// Write takes the next bytes.
func (w *Writer) Write(p []byte) (int, error) {
	if w.written+int64(len(p)) > w.digest.Size {
		return 0, fmt.Errorf("%w: %v: more than %d bytes", ErrWrongContent, w.digest, w.digest.Size)
	}
	n, err := w.file.Write(p)
	_, _ = w.hash.Write(p[:n])
	w.written += int64(n)
	return n, err
}

// Commit makes the blob readable, if it is whole and what its digest says. What
// is not is thrown away.
func (w *Writer) Commit() error {
	if w.written != w.digest.Size || hex.EncodeToString(w.hash.Sum(nil)) != w.digest.Hash {
		_ = os.Remove(w.file.Name())
		return fmt.Errorf("%w: %v: got %d bytes", ErrWrongContent, w.digest, w.written)
	}
	path := w.disk.path(w.digest)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.Rename(w.file.Name(), path); err != nil {
		return err
	}
	d := w.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reserved -= w.reserved
	w.reserved = 0
	now := d.now()
	if e := d.blobs[w.digest]; e != nil { // somebody else was faster
		e.Value.(*blob).verified = true
		d.touch(w.digest)
		return nil
	}
	d.blobs[w.digest] = d.lru.PushBack(&blob{digest: w.digest, lastUsed: now, lastTouched: now, verified: true})
	d.bytes += w.digest.Size
	return nil
}

// Close gives up what was reserved. The file of an upload without an id goes, one
// with an id stays, to be gone on with.
func (w *Writer) Close() {
	w.disk.mu.Lock()
	w.disk.reserved -= w.reserved
	w.reserved = 0
	delete(w.disk.uploads, w.id)
	w.disk.mu.Unlock()
	if w.file != nil {
		_ = w.file.Close()
		if w.id == "" {
			_ = os.Remove(w.file.Name())
		}
	}
}
