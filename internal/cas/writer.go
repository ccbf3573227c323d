package cas

import (
	"encoding/hex"
	"fmt"
	"hash"
	"io"
	"os"
	"path/filepath"
)

// Writer writes the content of a blob. An upload with an id can be resumed after its writer was closed or the process
// was restarted.
type Writer struct {
	disk     *Disk
	digest   Digest
	file     *os.File
	hash     hash.Hash
	written  int64
	id       string
	reserved int64 // bytes that count towards the disk's limit until the blob is committed
}

// Writer starts an upload, or resumes the one with the same id and digest.
func (d *Disk) Writer(digest Digest, id string) (*Writer, error) {
	h, err := newHash(digest.Function)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	if err = d.makeRoom(digest.Size); id != "" && d.uploads[id] {
		err = ErrBusy // two writers of one file would overwrite each other
	}
	if err == nil {
		d.reserved += digest.Size
		d.uploads[id] = id != ""
	}
	d.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("%w: %v", err, digest)
	}
	w := &Writer{disk: d, digest: digest, hash: h, id: id, reserved: digest.Size}
	if id == "" {
		w.file, err = os.CreateTemp(filepath.Join(d.dir, "uploads"), "whole-*")
	} else if w.file, err = os.OpenFile(d.uploadPath(digest, id), os.O_RDWR|os.O_CREATE, 0o644); err == nil {
		w.written, err = io.Copy(h, io.LimitReader(w.file, digest.Size)) // hash the bytes that were uploaded before
	}
	if err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

// uploadPath returns the path of an upload's file. The id is hashed, because it comes from a client and may
// contain any characters.
func (d *Disk) uploadPath(digest Digest, id string) string {
	return filepath.Join(d.dir, "uploads", Sum(DigestFunctions[0], []byte(id+"/"+digest.String())).Hash)
}

// Uploaded returns the number of bytes received of an upload, and whether the upload exists.
func (d *Disk) Uploaded(digest Digest, id string) (int64, bool) {
	info, err := os.Stat(d.uploadPath(digest, id))
	if err != nil {
		return 0, false
	}
	return min(info.Size(), digest.Size), true
}

// Size returns the number of bytes written, including those of earlier writers of the upload.
func (w *Writer) Size() int64 { return w.written }

// Write appends the next bytes of the blob.
func (w *Writer) Write(p []byte) (int, error) {
	if w.written+int64(len(p)) > w.digest.Size {
		return 0, fmt.Errorf("%w: %v: more than %d bytes", ErrWrongContent, w.digest, w.digest.Size)
	}
	n, err := w.file.Write(p)
	_, _ = w.hash.Write(p[:n])
	w.written += int64(n)
	return n, err
}

// Commit makes the blob readable if it is complete and matches its digest, and deletes the upload otherwise.
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
	if e := d.blobs[w.digest]; e != nil { // another upload has stored the blob meanwhile
		e.Value.(*blob).verified = true
		d.touch(w.digest)
		return nil
	}
	d.blobs[w.digest] = d.lru.PushBack(&blob{digest: w.digest, lastUsed: now, mtimeUpdated: now, verified: true})
	d.bytes += w.digest.Size
	return nil
}

// Close releases the reserved bytes. It deletes the file of an upload without an id. The file of an upload with an id
// is kept, so that the upload can be resumed.
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
