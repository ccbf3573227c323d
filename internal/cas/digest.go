// Package cas keeps blobs by their content, and the results of actions, and
// serves both through the Remote Execution API. It is the disk that controllers
// do not have: build tools, workers and controllers are its clients.
//
// A blob is a file, named by its digest. It comes to be under that name by a
// rename, once all of it is there and its hash was checked, and is checked again
// before it is first served after a start: whatever a crash leaves, no wrong or
// half blob is ever given out.
package cas

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"strconv"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/zeebo/blake3"
)

// Function is a digest function.
type Function = repb.DigestFunction_Value

// Functions are those that are served; the first is taken where none is named.
var Functions = []Function{repb.DigestFunction_SHA256, repb.DigestFunction_BLAKE3}

// ErrBadDigest means that a digest can't be one.
var ErrBadDigest = errors.New("malformed digest")

// Digest names a blob.
type Digest struct {
	Function Function
	Hash     string
	Size     int64
}

// hashDigits is the length of a hash of either function.
const hashDigits = 64

// ParseDigest checks a digest as it comes in a request.
func ParseDigest(f Function, d *repb.Digest) (Digest, error) {
	if f == repb.DigestFunction_UNKNOWN {
		f = Functions[0]
	}
	out := Digest{f, d.GetHash(), d.GetSizeBytes()}
	return out, out.check()
}

func (d Digest) check() error {
	if _, err := newHash(d.Function); err != nil {
		return err
	}
	if len(d.Hash) != hashDigits || strings.ToLower(d.Hash) != d.Hash {
		return fmt.Errorf("%w: hash %q: must be %d lower-case hex digits", ErrBadDigest, d.Hash, hashDigits)
	}
	if _, err := hex.DecodeString(d.Hash); err != nil {
		return fmt.Errorf("%w: hash %q: must be hex digits", ErrBadDigest, d.Hash)
	}
	if d.Size < 0 {
		return fmt.Errorf("%w: size %d: must be 0 or more", ErrBadDigest, d.Size)
	}
	return nil
}

// Proto gives the digest as it goes into an answer.
func (d Digest) Proto() *repb.Digest { return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size} }

// String is the usual text form, HASH/SIZE.
func (d Digest) String() string { return d.Hash + "/" + strconv.FormatInt(d.Size, 10) }

// DigestFromString reads the text form HASH/SIZE.
func DigestFromString(text string) (Digest, error) {
	h, size, ok := strings.Cut(text, "/")
	n, err := strconv.ParseInt(size, 10, 64)
	if !ok || err != nil {
		return Digest{}, fmt.Errorf("%w: %q: must be HASH/SIZE", ErrBadDigest, text)
	}
	d := Digest{Functions[0], h, n}
	return d, d.check()
}

// Empty reports whether the digest is that of the empty blob, which always exists.
func (d Digest) Empty() bool { return d.Size == 0 }

func newHash(f Function) (hash.Hash, error) {
	switch f {
	case repb.DigestFunction_SHA256:
		return sha256.New(), nil
	case repb.DigestFunction_BLAKE3:
		return blake3.New(), nil
	}
	return nil, fmt.Errorf("%w: function %v: must be SHA256 or BLAKE3", ErrBadDigest, f)
}

// Sum gives the digest of a blob.
func Sum(f Function, blob []byte) Digest {
	h, err := newHash(f)
	if err != nil {
		h, f = sha256.New(), Functions[0]
	}
	_, _ = h.Write(blob)
	return Digest{f, hex.EncodeToString(h.Sum(nil)), int64(len(blob))}
}

// Resource is what a ByteStream name says: a blob to read, or an upload of one.
type Resource struct {
	Instance string
	Upload   string // its uuid; empty for a read
	Zstd     bool
	Digest   Digest
}

// ParseResource reads the name of a blob, such as
// INSTANCE/compressed-blobs/zstd/HASH/SIZE, or of an upload of one, such as
// INSTANCE/uploads/UUID/blobs/HASH/SIZE. A digest function that is not SHA256
// stands before the hash; what follows the size of an upload is ignored.
func ParseResource(name string) (Resource, error) {
	bad := func(why string) (Resource, error) { return Resource{}, fmt.Errorf("resource name %q: %s", name, why) }
	words := strings.Split(name, "/")
	at := 0
	for at < len(words) && words[at] != "uploads" && words[at] != "blobs" && words[at] != "compressed-blobs" {
		at++
	}
	r := Resource{Instance: strings.Join(words[:at], "/")}
	words = words[at:]
	if len(words) > 1 && words[0] == "uploads" {
		if r.Upload = words[1]; r.Upload == "" || len(r.Upload) > 128 {
			return bad("the upload has no id, or a very long one")
		}
		words = words[2:]
	}
	switch {
	case len(words) > 2 && words[0] == "blobs":
		words = words[1:]
	case len(words) > 3 && words[0] == "compressed-blobs":
		if words[1] != "zstd" {
			return bad("compressor " + words[1] + ": must be zstd")
		}
		r.Zstd, words = true, words[2:]
	default:
		return bad("must hold blobs/HASH/SIZE or compressed-blobs/zstd/HASH/SIZE")
	}
	f := Functions[0]
	if words[0] == "blake3" || words[0] == "sha256" {
		if words[0] == "blake3" {
			f = repb.DigestFunction_BLAKE3
		}
		words = words[1:]
	}
	if len(words) < 2 || r.Upload == "" && len(words) > 2 {
		return bad("must end with HASH/SIZE")
	}
	size, err := strconv.ParseInt(words[1], 10, 64)
	if err != nil {
		return bad("size " + words[1] + ": must be a number")
	}
	r.Digest = Digest{f, words[0], size}
	if err := r.Digest.check(); err != nil {
		return bad(err.Error())
	}
	return r, nil
}

// Name is the name that ParseResource reads.
func (r Resource) Name() string {
	var words []string
	if r.Instance != "" {
		words = append(words, r.Instance)
	}
	if r.Upload != "" {
		words = append(words, "uploads", r.Upload)
	}
	if r.Zstd {
		words = append(words, "compressed-blobs", "zstd")
	} else {
		words = append(words, "blobs")
	}
	if r.Digest.Function == repb.DigestFunction_BLAKE3 {
		words = append(words, "blake3")
	}
	return strings.Join(append(words, r.Digest.String()), "/")
}
