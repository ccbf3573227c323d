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

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"amberdeal.example/amberdeal/internal/cas"
)

// Limits bounds what an action may bring and leave.
type Limits struct {
	Inputs      int   // files and directories of the input tree
	InputBytes  int64 // of all input files together
	Outputs     int   // files of all outputs
	OutputBytes int64 // of all outputs, and of each of stdout and stderr
}

// DefaultLimits is used where nothing else is said.
var DefaultLimits = Limits{Inputs: 500_000, InputBytes: 32 << 30, Outputs: 100_000, OutputBytes: 8 << 30}

// actionError is what is wrong with an action itself: an answer, not a failure of the
// machine.
type actionError struct {
	code    codes.Code
	missing []cas.Digest
	message string
}

func (f *actionError) Error() string { return f.message }

func invalidAction(format string, args ...any) error {
	return &actionError{code: codes.InvalidArgument, message: fmt.Sprintf(format, args...)}
}

func missingBlobs(g ...cas.Digest) error {
	return &actionError{code: codes.FailedPrecondition, missing: g, message: fmt.Sprintf("%d blobs are not in the store, the first is %v", len(g), g[0])}
}

// inputs is an input tree as it is to be laid out.
type inputs struct {
	dirs  []string
	files map[cas.Digest][]node
	links []node
}

// node is a file or a symlink of the tree.
type node struct {
	path       string
	executable bool
	target     string
}

// entryPath checks the name of an entry: it must stay in its directory.
func entryPath(dir, n string) (string, error) {
	if n == "" || n == "." || n == ".." || strings.ContainsAny(n, "/\x00") {
		return "", invalidAction("input %q in %q: a name must be one word without /, and not . or ..", n, dir)
	}
	return path.Join(dir, n), nil
}

// relativePath checks a path that the action itself gives, such as an output.
func relativePath(what, p string) (string, error) {
	if path.IsAbs(p) || strings.ContainsRune(p, 0) {
		return "", invalidAction("%s %q: must be relative", what, p)
	}
	if c := path.Clean(p); c == ".." || strings.HasPrefix(c, "../") {
		return "", invalidAction("%s %q: leads out of the input root", what, p)
	}
	return path.Clean(p), nil
}

// planInputs walks through a tree and checks it: names that stay inside, entries in
// bounds, and every directory there.
func planInputs(root cas.Digest, dirs map[cas.Digest]*repb.Directory, lim Limits) (*inputs, error) {
	in := &inputs{files: make(map[cas.Digest][]node)}
	type step struct {
		g   cas.Digest
		dir string
	}
	var lost []cas.Digest
	count, bytes := 0, int64(0)
	for queue := []step{{root, ""}}; len(queue) > 0; queue = queue[1:] {
		s := queue[0]
		d := dirs[s.g]
		if d == nil && s.g.Empty() {
			d = &repb.Directory{}
		}
		if d == nil {
			lost = append(lost, s.g)
			continue
		}
		if count += 1 + len(d.Files) + len(d.Symlinks); count > lim.Inputs {
			return nil, invalidAction("the input tree has more than %d entries", lim.Inputs)
		}
		in.dirs = append(in.dirs, s.dir)
		seen := make(map[string]bool)
		add := func(n string) (string, error) {
			p, err := entryPath(s.dir, n)
			if err == nil && seen[n] {
				err = invalidAction("input %q is in %q twice", n, s.dir)
			}
			seen[n] = true
			return p, err
		}
		for _, f := range d.Files {
			p, err := add(f.Name)
			if err != nil {
				return nil, err
			}
			g, err := cas.ParseDigest(root.Function, f.Digest)
			if err != nil {
				return nil, invalidAction("input %q: %v", p, err)
			}
			if bytes += g.Size; bytes > lim.InputBytes {
				return nil, invalidAction("the input tree has more than %d bytes", lim.InputBytes)
			}
			in.files[g] = append(in.files[g], node{path: p, executable: f.IsExecutable})
		}
		for _, l := range d.Symlinks {
			p, err := add(l.Name)
			if err != nil {
				return nil, err
			}
			if _, err := relativePath("symlink "+p+" to", path.Join(s.dir, l.Target)); err != nil || path.IsAbs(l.Target) {
				return nil, invalidAction("symlink %q to %q: leads out of the input root", p, l.Target)
			}
			in.links = append(in.links, node{path: p, target: l.Target})
		}
		for _, sub := range d.Directories {
			p, err := add(sub.Name)
			if err != nil {
				return nil, err
			}
			g, err := cas.ParseDigest(root.Function, sub.Digest)
			if err != nil {
				return nil, invalidAction("input %q: %v", p, err)
			}
			if len(p) > 4000 {
				return nil, invalidAction("input %.60q...: the path is too long", p)
			}
			queue = append(queue, step{g, p})
		}
	}
	if lost != nil {
		return nil, missingBlobs(lost...)
	}
	return in, nil
}

// materialize fetches the inputs into a directory.
func (in *inputs) materialize(ctx context.Context, c *cas.Client, dir string) error {
	for _, d := range in.dirs {
		if err := os.MkdirAll(filepath.Join(dir, d), 0o755); err != nil {
			return err
		}
	}
	var small, large []cas.Digest
	for g := range in.files {
		if g.Size <= cas.MaxBatchedBlob {
			small = append(small, g)
		} else {
			large = append(large, g)
		}
	}
	slices.SortFunc(small, func(a, b cas.Digest) int { return strings.Compare(a.Hash, b.Hash) })
	lost, err := c.Missing(ctx, append(slices.Clone(small), large...))
	if err != nil {
		return err
	}
	if len(lost) > 0 {
		return missingBlobs(lost...)
	}
	write := func(g cas.Digest, data []byte) error {
		for _, n := range in.files[g] {
			if err := os.WriteFile(filepath.Join(dir, n.path), data, n.mode()); err != nil {
				return err
			}
		}
		return nil
	}
	if err := c.ReadMany(ctx, small, write); err != nil {
		return notFoundAsFailed(err)
	}
	for _, g := range large {
		if err := in.fetchLarge(ctx, c, dir, g); err != nil {
			return notFoundAsFailed(err)
		}
	}
	for _, l := range in.links { // last, so that nothing is written through one
		if err := os.Symlink(l.target, filepath.Join(dir, l.path)); err != nil {
			return err
		}
	}
	return nil
}

// notFoundAsFailed turns a blob that was there a moment ago into what is wrong with the action.
func notFoundAsFailed(err error) error {
	if status.Code(errors.Unwrap(err)) == codes.NotFound {
		return &actionError{code: codes.FailedPrecondition, message: err.Error()}
	}
	return err
}

func (in *inputs) fetchLarge(ctx context.Context, c *cas.Client, dir string, g cas.Digest) error {
	for _, n := range in.files[g] {
		f, err := os.OpenFile(filepath.Join(dir, n.path), os.O_WRONLY|os.O_CREATE|os.O_EXCL, n.mode())
		if err != nil {
			return err
		}
		if err := errors.Join(c.Read(ctx, g, f), f.Close()); err != nil {
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

// outputs gathers what an action has left.
type outputs struct {
	function cas.Function
	limits   Limits
	result   *repb.ActionResult
	files    map[cas.Digest]string // to upload, by where they are
	blobs    map[cas.Digest][]byte
	count    int
	bytes    int64
}

// file takes in a file, and gives its digest.
func (o *outputs) file(at string, info os.FileInfo) (cas.Digest, error) {
	o.count++
	if o.bytes += info.Size(); o.count > o.limits.Outputs || o.bytes > o.limits.OutputBytes {
		return cas.Digest{}, &actionError{code: codes.ResourceExhausted, message: fmt.Sprintf("the outputs are more than %d files or %d bytes", o.limits.Outputs, o.limits.OutputBytes)}
	}
	g, err := cas.SumFile(o.function, at)
	if err == nil {
		o.files[g] = at
	}
	return g, err
}

// collect takes in an output of the command; one that is not there is left out, as
// the API has it.
func (o *outputs) collect(at, p string) error {
	info, err := os.Lstat(at)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(at)
		o.result.OutputSymlinks = append(o.result.OutputSymlinks, &repb.OutputSymlink{Path: p, Target: target})
		return err
	case info.IsDir():
		tree := &repb.Tree{}
		if tree.Root, err = o.directory(at, tree); err != nil {
			return err
		}
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree)
		g := cas.Sum(o.function, raw)
		o.blobs[g] = raw
		o.result.OutputDirectories = append(o.result.OutputDirectories, &repb.OutputDirectory{Path: p, TreeDigest: g.Proto(), IsTopologicallySorted: false})
		return err
	case !info.Mode().IsRegular():
		return invalidAction("output %q: is neither a file, a directory nor a symlink", p)
	}
	g, err := o.file(at, info)
	o.result.OutputFiles = append(o.result.OutputFiles, &repb.OutputFile{Path: p, Digest: g.Proto(), IsExecutable: info.Mode()&0o111 != 0})
	return err
}

// directory takes in a directory with all below it.
func (o *outputs) directory(at string, tree *repb.Tree) (*repb.Directory, error) {
	entries, err := os.ReadDir(at) // in order of names, as the API demands
	if err != nil {
		return nil, err
	}
	d := &repb.Directory{}
	for _, e := range entries {
		sub := filepath.Join(at, e.Name())
		info, err := e.Info()
		switch {
		case err != nil:
			return nil, err
		case info.Mode()&os.ModeSymlink != 0:
			target, err := os.Readlink(sub)
			if err != nil {
				return nil, err
			}
			d.Symlinks = append(d.Symlinks, &repb.SymlinkNode{Name: e.Name(), Target: target})
		case info.IsDir():
			child, err := o.directory(sub, tree)
			if err != nil {
				return nil, err
			}
			raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(child)
			if err != nil {
				return nil, err
			}
			tree.Children = append(tree.Children, child)
			d.Directories = append(d.Directories, &repb.DirectoryNode{Name: e.Name(), Digest: cas.Sum(o.function, raw).Proto()})
		case info.Mode().IsRegular():
			g, err := o.file(sub, info)
			if err != nil {
				return nil, err
			}
			d.Files = append(d.Files, &repb.FileNode{Name: e.Name(), Digest: g.Proto(), IsExecutable: info.Mode()&0o111 != 0})
		}
	}
	return d, nil
}

// upload writes what the store does not have yet.
func (o *outputs) upload(ctx context.Context, c *cas.Client) error {
	var all []cas.Digest
	for g := range o.files {
		all = append(all, g)
	}
	for g := range o.blobs {
		all = append(all, g)
	}
	lost, err := c.Missing(ctx, all)
	if err != nil {
		return err
	}
	for _, g := range lost {
		if raw, ok := o.blobs[g]; ok {
			_, err = c.Put(ctx, g.Function, raw)
		} else {
			err = c.PutFile(ctx, g, o.files[g])
		}
		if err != nil {
			return err
		}
	}
	return nil
}
