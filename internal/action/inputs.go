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
	Inputs      int   // entries of the input tree
	InputBytes  int64 // total size of the input files
	Outputs     int   // number of output files
	OutputBytes int64 // total size of the outputs, and size of each of stdout and stderr
}

// DefaultLimits holds the limits that apply unless the settings override them.
var DefaultLimits = Limits{Inputs: 500_000, InputBytes: 32 << 30, Outputs: 100_000, OutputBytes: 8 << 30}

// actionError is an error of the action itself. It becomes the status of the response. Any other error is a
// failure of the machine or the store, after which the action is retried.
type actionError struct {
	code    codes.Code
	missing []cas.Digest
	message string
}

// Error returns the message that is sent to the client.
func (f *actionError) Error() string { return f.message }

// invalidAction returns the error for a malformed action.
func invalidAction(format string, args ...any) error {
	return &actionError{code: codes.InvalidArgument, message: fmt.Sprintf(format, args...)}
}

// missingBlobs returns the error for an action that needs blobs which are not in the store.
func missingBlobs(digest ...cas.Digest) error {
	return &actionError{code: codes.FailedPrecondition, missing: digest, message: fmt.Sprintf("%d blobs are not in the store, the first is %v", len(digest), digest[0])}
}

// inputTree lists the directories, files and symlinks of an input tree.
type inputTree struct {
	dirs  []string
	files map[cas.Digest][]inputNode
	links []inputNode
}

// inputNode is a file or symlink in an input tree.
type inputNode struct {
	path       string
	executable bool
	target     string
}

// entryPath returns the path of a directory entry. The name must not lead out of the directory.
func entryPath(dir, name string) (string, error) {
	if name == "" || name == "." || name == ".." || strings.ContainsAny(name, "/\x00") {
		return "", invalidAction("input %q in %q: a name must be one word without /, and not . or ..", name, dir)
	}
	return path.Join(dir, name), nil
}

// relativePath validates and cleans a path from an action, such as that of an output. The path must stay within the
// input root. Errors name the path by its kind.
func relativePath(kind, p string) (string, error) {
	if path.IsAbs(p) || strings.ContainsRune(p, 0) {
		return "", invalidAction("%s %q: must be relative", kind, p)
	}
	if cleaned := path.Clean(p); cleaned == ".." || strings.HasPrefix(cleaned, "../") {
		return "", invalidAction("%s %q: leads out of the input root", kind, p)
	}
	return path.Clean(p), nil
}

// materialize fetches the input files and writes the tree below a directory.
func (in *inputTree) materialize(ctx context.Context, c *cas.Client, dir string) error {
	for _, d := range in.dirs {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o755); err != nil {
			return err
		}
	}
	if err := in.fetch(ctx, c, dir); err != nil {
		return err
	}
	for _, l := range in.links { // created last, so that no file is written through a symlink
		if err := os.Symlink(l.target, filepath.Join(dir, l.path)); err != nil {
			return err
		}
	}
	return nil
}

// fetch reads the files from the store and writes them below a directory. Small files are read in batches.
func (in *inputTree) fetch(ctx context.Context, c *cas.Client, dir string) error {
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

// notFoundAsFailedPrecondition converts the error for a blob that was evicted after the check for missing blobs to an
// actionError.
func notFoundAsFailedPrecondition(err error) error {
	if status.Code(err) == codes.NotFound {
		return &actionError{code: codes.FailedPrecondition, message: err.Error()}
	}
	return err
}

// fetchLarge writes all files that have the content of one large blob.
func (in *inputTree) fetchLarge(ctx context.Context, c *cas.Client, dir string, digest cas.Digest) error {
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

func (n inputNode) mode() os.FileMode {
	if n.executable {
		return 0o755
	}
	return 0o644
}
