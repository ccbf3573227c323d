package cas

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// maxMessageBytes bounds the size of a message that is read into memory, such as a Directory.
const maxMessageBytes = 4 << 20

// resultPath returns the path of the file that holds an action's result.
func (d *Disk) resultPath(instance string, action Digest) string {
	h := Sum(DigestFunctions[0], []byte(instance+"\x00"+action.Function.String()+"\x00"+action.String())).Hash
	return filepath.Join(d.dir, "results", h[:2], h)
}

// PutResult stores the result of an action in a file. The encoded result is followed by its checksum.
func (d *Disk) PutResult(instance string, action Digest, r *repb.ActionResult) error {
	body, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	path := d.resultPath(instance, action)
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Join(d.dir, "uploads"), "result-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(binary.LittleEndian.AppendUint64(body, xxhash.Sum64(body)))
	if err := errors.Join(err, f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// Result returns the result of an action. It returns ErrNotFound if the result is damaged or any of its outputs is
// missing. It records a use of the outputs.
func (d *Disk) Result(instance string, action Digest) (*repb.ActionResult, error) {
	path := d.resultPath(instance, action)
	raw, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("%w: result of %v", ErrNotFound, action)
	}
	if err != nil {
		return nil, err
	}
	n := len(raw) - 8
	var r repb.ActionResult
	if n < 0 || xxhash.Sum64(raw[:n]) != binary.LittleEndian.Uint64(raw[n:]) || proto.Unmarshal(raw[:n], &r) != nil {
		_ = os.Remove(path)
		return nil, fmt.Errorf("%w: result of %v is damaged", ErrNotFound, action)
	}
	if missing := d.MissingOutput(action.Function, &r); missing != nil {
		return nil, fmt.Errorf("%w: output %v of %v", ErrNotFound, missing, action)
	}
	return &r, nil
}

// maxTreeBytes bounds the size of the Tree message of an output directory.
const maxTreeBytes = 64 << 20

// MissingOutput returns the digest of an output that is not in the store, or nil if all are. It also checks the files
// in output directories.
func (d *Disk) MissingOutput(f DigestFunction, r *repb.ActionResult) *Digest {
	var fileDigests []*repb.Digest
	for _, output := range r.OutputFiles {
		fileDigests = append(fileDigests, output.Digest)
	}
	fileDigests = append(fileDigests, r.StdoutDigest, r.StderrDigest)
	if missing := d.firstMissing(f, fileDigests); missing != nil {
		return missing
	}
	for _, output := range r.OutputDirectories {
		if missing := d.missingFromTree(f, output.TreeDigest); missing != nil {
			return missing
		}
	}
	return nil
}

// firstMissing returns the first digest whose blob is not in the store, or nil. It records a use of the blobs before
// it. Nil digests are skipped.
func (d *Disk) firstMissing(f DigestFunction, digests []*repb.Digest) *Digest {
	for _, protoDigest := range digests {
		if protoDigest == nil {
			continue
		}
		if digest, err := ParseDigest(f, protoDigest); err != nil || !d.Has(digest) {
			return &digest
		}
	}
	return nil
}

// missingFromTree returns the digest of an output directory's Tree message, or of a file in it, that is not in the
// store, or nil if all are. A tree that can't be read counts as missing.
func (d *Disk) missingFromTree(f DigestFunction, protoDigest *repb.Digest) *Digest {
	if protoDigest == nil {
		return nil
	}
	digest, err := ParseDigest(f, protoDigest)
	if err != nil || !d.Has(digest) {
		return &digest
	}
	raw, err := d.Get(digest, maxTreeBytes)
	var tree repb.Tree
	if err != nil || proto.Unmarshal(raw, &tree) != nil {
		return &digest
	}
	var files []*repb.Digest
	for _, dir := range append(tree.Children, tree.Root) {
		for _, file := range dir.GetFiles() {
			files = append(files, file.Digest)
		}
	}
	return d.firstMissing(f, files)
}
