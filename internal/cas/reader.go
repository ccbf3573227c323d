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

// Reader opens a blob. It verifies the hash first, unless that was done since the process started.
func (d *Disk) Reader(digest Digest) (io.ReadSeekCloser, error) {
	if digest.Empty() {
		return &verifiedReader{ReadSeeker: strings.NewReader("")}, nil
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
	return &verifiedReader{f, func() {
		_ = f.Close() // nothing was written, so an error is irrelevant
		release()
	}}, nil
}

// open opens a blob's file, and verifies its content unless that was done before.
func (d *Disk) open(b *blob, verified bool) (*os.File, error) {
	f, err := os.Open(d.path(b.digest))
	if err != nil || verified {
		return f, err
	}
	if err := d.verify(f, b); err != nil {
		_ = f.Close() // nothing was written, so an error is irrelevant
		return nil, err
	}
	return f, nil
}

// verify compares the content of a file with the blob's digest, and rewinds the file.
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

// verifiedReader reads a blob whose content was verified. Closing it allows the blob to be evicted.
type verifiedReader struct {
	io.ReadSeeker
	release func()
}

// Close releases the blob, which may then be evicted.
func (r *verifiedReader) Close() error {
	if r.release != nil {
		r.release()
		r.release = nil
	}
	return nil
}
