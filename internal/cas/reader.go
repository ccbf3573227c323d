package cas

import (
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"strings"
)

// Reader opens a blob. Its hash is checked first if it was not since the process started.
func (d *Disk) Reader(digest Digest) (io.ReadSeekCloser, error) {
	if digest.Empty() {
		return &reader{ReadSeeker: strings.NewReader("")}, nil
	}
	d.mu.Lock()
	b := d.touch(digest)
	if b == nil {
		d.mu.Unlock()
		return nil, fmt.Errorf("%w: %v", ErrNotFound, digest)
	}
	b.readers++
	verified := b.verified
	d.mu.Unlock()
	release := func() {
		d.mu.Lock()
		b.readers--
		d.mu.Unlock()
	}
	f, err := d.open(b, verified)
	if err != nil {
		release()
		if errors.Is(err, fs.ErrNotExist) || errors.Is(err, ErrWrongContent) {
			d.mu.Lock()
			d.remove(digest)
			d.damaged++
			d.mu.Unlock()
			return nil, fmt.Errorf("%w: %v: %w", ErrNotFound, digest, err)
		}
		return nil, err
	}
	return &reader{f, func() {
		_ = f.Close() // of a file that was read
		release()
	}}, nil
}

// open opens a blob's file, and checks it unless that was done before.
func (d *Disk) open(b *blob, verified bool) (*os.File, error) {
	f, err := os.Open(d.path(b.digest))
	if err != nil || verified {
		return f, err
	}
	if err := d.verify(f, b); err != nil {
		_ = f.Close() // of a file that was read
		return nil, err
	}
	return f, nil
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

// reader reads a blob, and releases it when it is closed.
type reader struct {
	io.ReadSeeker
	release func()
}

// Close releases the blob; it may be evicted again.
func (r *reader) Close() error {
	if r.release != nil {
		r.release()
		r.release = nil
	}
	return nil
}
