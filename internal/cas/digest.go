// Package cas implements a content-addressable store. It stores blobs by digest and the results of actions, and
// serves both through the Remote Execution API to build tools, workers and controllers. Controllers have no disk
// of their own.
//
// A blob is a file that is named by its digest. It is renamed to that name only after it was written completely
// and its hash was verified. The hash is verified again before the blob is first served after a restart, so that a
// wrong or partial blob is never served, whatever state a crash leaves on disk.
package cas

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"hash"
	"slices"
	"strconv"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/zeebo/blake3"
)

// DigestFunction is a digest function.
type DigestFunction = repb.DigestFunction_Value

// DigestFunctions lists the supported digest functions. The first is the default.
var DigestFunctions = []DigestFunction{repb.DigestFunction_SHA256, repb.DigestFunction_BLAKE3}

// ErrBadDigest means that a digest is malformed.
var ErrBadDigest = errors.New("malformed digest")

// Digest identifies a blob by its hash and size.
type Digest struct {
	Function DigestFunction
	Hash     string
	Size     int64
}

// hashDigits is the length of a hash in hex digits, for each of Functions.
const hashDigits = 64

// ParseDigest converts and validates the digest of a request.
func ParseDigest(f DigestFunction, d *repb.Digest) (Digest, error) {
	if f == repb.DigestFunction_UNKNOWN {
		f = DigestFunctions[0]
	}
	out := Digest{f, d.GetHash(), d.GetSizeBytes()}
	return out, out.check()
}

// check returns an error if the digest is malformed.
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

// Proto returns the digest as a message of the API.
func (d Digest) Proto() *repb.Digest { return &repb.Digest{Hash: d.Hash, SizeBytes: d.Size} }

// String returns the digest in the form HASH/SIZE.
func (d Digest) String() string { return d.Hash + "/" + strconv.FormatInt(d.Size, 10) }

// DigestFromString parses a digest of the form HASH/SIZE, with the default digest function.
func DigestFromString(text string) (Digest, error) {
	h, size, ok := strings.Cut(text, "/")
	n, err := strconv.ParseInt(size, 10, 64)
	if !ok || err != nil {
		return Digest{}, fmt.Errorf("%w: %q: must be HASH/SIZE", ErrBadDigest, text)
	}
	d := Digest{DigestFunctions[0], h, n}
	return d, d.check()
}

// Empty reports whether this is the digest of the empty blob, which always exists.
func (d Digest) Empty() bool { return d.Size == 0 }

// newHash returns a hash.Hash that computes a digest function.
func newHash(f DigestFunction) (hash.Hash, error) {
	switch f {
	case repb.DigestFunction_SHA256:
		return sha256.New(), nil
	case repb.DigestFunction_BLAKE3:
		return blake3.New(), nil
	}
	return nil, fmt.Errorf("%w: function %v: must be SHA256 or BLAKE3", ErrBadDigest, f)
}

// Sum returns the digest of a blob. It uses the default function in place of an unknown one.
func Sum(f DigestFunction, blob []byte) Digest {
	h, err := newHash(f)
	if err != nil {
		h, f = sha256.New(), DigestFunctions[0]
	}
	_, _ = h.Write(blob)
	return Digest{f, hex.EncodeToString(h.Sum(nil)), int64(len(blob))}
}

// Resource is a parsed ByteStream resource name of a blob to read or to upload.
type Resource struct {
	Instance string
	Upload   string // UUID of the upload; empty for a read
	Zstd     bool   // the blob is transferred compressed
	Digest   Digest
}

// maxUploadIDBytes bounds the length of an upload's UUID.
const maxUploadIDBytes = 128

// ParseResource parses the resource name of a blob, such as INSTANCE/compressed-blobs/zstd/HASH/SIZE, or of an
// upload, such as INSTANCE/uploads/UUID/blobs/HASH/SIZE. A digest function other than SHA256 precedes the hash.
// Segments after the size in the name of an upload are ignored.
func ParseResource(name string) (Resource, error) {
	r, err := parseResource(strings.Split(name, "/"))
	if err != nil {
		return Resource{}, fmt.Errorf("resource name %q: %w", name, err)
	}
	return r, nil
}

func parseResource(segments []string) (r Resource, err error) {
	start := slices.IndexFunc(segments, func(w string) bool { return w == "uploads" || w == "blobs" || w == "compressed-blobs" })
	if start < 0 {
		start = len(segments)
	}
	r.Instance, segments = strings.Join(segments[:start], "/"), segments[start:]
	if len(segments) > 1 && segments[0] == "uploads" {
		if r.Upload = segments[1]; r.Upload == "" || len(r.Upload) > maxUploadIDBytes {
			return r, errors.New("the upload has no id, or a very long one")
		}
		segments = segments[2:]
	}
	switch {
	case len(segments) > 2 && segments[0] == "blobs":
		segments = segments[1:]
	case len(segments) > 3 && segments[0] == "compressed-blobs":
		if segments[1] != "zstd" {
			return r, fmt.Errorf("compressor %s: must be zstd", segments[1])
		}
		r.Zstd, segments = true, segments[2:]
	default:
		return r, errors.New("must hold blobs/HASH/SIZE or compressed-blobs/zstd/HASH/SIZE")
	}
	r.Digest, err = parseResourceDigest(segments, r.Upload != "")
	return r, err
}

// parseResourceDigest parses [FUNCTION/]HASH/SIZE. Further segments are accepted if moreAllowed is set.
func parseResourceDigest(segments []string, moreAllowed bool) (Digest, error) {
	f := DigestFunctions[0]
	switch segments[0] {
	case "blake3":
		f, segments = repb.DigestFunction_BLAKE3, segments[1:]
	case "sha256":
		segments = segments[1:]
	}
	if len(segments) < 2 || !moreAllowed && len(segments) > 2 {
		return Digest{}, errors.New("must end with HASH/SIZE")
	}
	size, err := strconv.ParseInt(segments[1], 10, 64)
	if err != nil {
		return Digest{}, fmt.Errorf("size %s: must be a number", segments[1])
	}
	d := Digest{f, segments[0], size}
	return d, d.check()
}

// Name returns the resource name in the form that ParseResource accepts.
func (r Resource) Name() string {
	var segments []string
	if r.Instance != "" {
		segments = append(segments, r.Instance)
	}
	if r.Upload != "" {
		segments = append(segments, "uploads", r.Upload)
	}
	if r.Zstd {
		segments = append(segments, "compressed-blobs", "zstd")
	} else {
		segments = append(segments, "blobs")
	}
	if r.Digest.Function == repb.DigestFunction_BLAKE3 {
		segments = append(segments, "blake3")
	}
	return strings.Join(append(segments, r.Digest.String()), "/")
}
