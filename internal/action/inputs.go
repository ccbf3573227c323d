package action

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"amberdeal.example/amberdeal/internal/cas"
)

// Limits bounds the inputs and outputs of an action.
type Limits struct {
	Inputs      int   // files and directories of the input tree
	InputBytes  int64 // of all input files together
	Outputs     int   // files of all outputs
	OutputBytes int64 // of all outputs, and of each of stdout and stderr
}

// DefaultLimits is used unless settings say otherwise.
var DefaultLimits = Limits{Inputs: 500_000, InputBytes: 32 << 30, Outputs: 100_000, OutputBytes: 8 << 30}

// actionError is a fault of the action itself. It becomes the action's answer; any other error
// is a failure of the machine or the store, after which the action is retried.
type actionError struct {
	code    codes.Code
	missing []cas.Digest
	message string
}

// Error returns the message for the client.
func (f *actionError) Error() string { return f.message }

// invalidAction is the error for a malformed action.
func invalidAction(format string, args ...any) error {
	return &actionError{code: codes.InvalidArgument, message: fmt.Sprintf(format, args...)}
}

// missingBlobs is the error for an action of which blobs are not in the store.
func missingBlobs(digest ...cas.Digest) error {
	return &actionError{code: codes.FailedPrecondition, missing: digest, message: fmt.Sprintf("%d blobs are not in the store, the first is %v", len(digest), digest[0])}
}

// inputs lists what must be written for an input tree.
type inputs struct {
	dirs  []string
	files map[cas.Digest][]node
	links []node
}

// node is a file or a symlink of an input tree.
type node struct {
	path       string
	executable bool
	target     string
}

// entryPath returns the path of an entry of a directory. The name must not lead out of it.
func entryPath(dir, name string) (string, error) {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, "/\x00") {
		return "", invalidAction("input %q in %q: a name must be one word without /, and not . or ..", name, dir)
	}
	return path.Join(dir, name), nil
}

// relativePath cleans a path that an action gives, such as an output. It must stay within the
// input root.
func relativePath(kind, p string) (string, error) {
	if path.IsAbs(p) || strings.ContainsRune(p, 0) {
		return "", invalidAction("%s %q: must be relative", kind, p)
	}
	if cleaned := path.Clean(p); cleaned == ".." || strings.HasPrefix(cleaned, "../") {
		return "", invalidAction("%s %q: leads out of the input root", kind, p)
	}
	return path.Clean(p), nil
}

// materialize fetches the inputs and writes them below a directory.
func (in *inputs) materialize(ctx context.Context, c *cas.Client, dir string) error {
	for _, d := range in.dirs {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o755); err != nil {
			return err
		}
	}
	if err := in.fetch(ctx, c, dir); err != nil {
		return err
	}
	for _, l := range in.links { // last, so that nothing is written through one
		if err := os.Symlink(l.target, filepath.Join(dir, l.path)); err != nil {
			return err
		}
	}
	return nil
}

// fetch writes the files, the small ones read in batches.
func (in *inputs) fetch(ctx context.Context, c *cas.Client, dir string) error {
	var small, large []cas.Digest
	for digest := range in.files {
		if digest.Size <= cas.MaxBatchedBlob {
			small = append(small, digest)
		} else {
			large = append(large, digest)
		}
	}
	slices.SortFunc(small, func(a, b cas.Digest) int { return strings.Compare(a.Hash, b.Hash) })
	missing, err := c.Missing(ctx, append(slices.Clone(small), large...))
	if err != nil {
		return fmt.Errorf("finding which of %d blobs are missing: %w", len(in.files), err)
	}
	if len(missing) > 0 {
		return missingBlobs(missing...)
	}
	write := func(digest cas.Digest, data []byte) error {
		for _, n := range in.files[digest] {
			if err := os.WriteFile(filepath.Join(dir, n.path), data, n.mode()); err != nil {
				return err
			}
		}
		return nil
	}
	if err := c.ReadMany(ctx, small, write); err != nil {
		return notFoundAsFailedPrecondition(err)
	}
	for _, digest := range large {
		if err := in.fetchLarge(ctx, c, dir, digest); err != nil {
			return notFoundAsFailedPrecondition(err)
		}
	}
	return nil
}

// notFoundAsFailedPrecondition converts the error for a blob that was evicted meanwhile to an actionError.
func notFoundAsFailedPrecondition(err error) error {
	if status.Code(err) == codes.NotFound {
		return &actionError{code: codes.FailedPrecondition, message: err.Error()}
	}
	return err
}

// fetchLarge writes all files with the content of one large blob.
func (in *inputs) fetchLarge(ctx context.Context, c *cas.Client, dir string, digest cas.Digest) error {
	for _, n := range in.files[digest] {
		f, err := os.OpenFile(filepath.Join(dir, n.path), os.O_WRONLY|os.O_CREATE|os.O_EXCL, n.mode())
		if err != nil {
			return err
		}
		if err := errors.Join(c.Read(ctx, digest, f), f.Close()); err != nil {
			return err
		}
	}
	return nil
}

func (n node) mode() os.FileMode {
	if n.executable {
		return 0o755
	}
	return 0o644
}
