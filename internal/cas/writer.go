package cas

import (
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
)

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
