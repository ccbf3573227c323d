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
func missingBlobs(g ...cas.Digest) error {
	return &actionError{code: codes.FailedPrecondition, missing: g, message: fmt.Sprintf("%d blobs are not in the store, the first is %v", len(g), g[0])}
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
func entryPath(dir, n string) (string, error) {
	if n == "" || n == "." || n == ".." || strings.ContainsAny(n, "/\x00") {
		return "", invalidAction("input %q in %q: a name must be one word without /, and not . or ..", n, dir)
	}
	return path.Join(dir, n), nil
}

// relativePath cleans a path that an action gives, such as an output. It must stay within the
// input root.
func relativePath(what, p string) (string, error) {
	if path.IsAbs(p) || strings.ContainsRune(p, 0) {
		return "", invalidAction("%s %q: must be relative", what, p)
	}
	if c := path.Clean(p); c == ".." || strings.HasPrefix(c, "../") {
		return "", invalidAction("%s %q: leads out of the input root", what, p)
	}
	return path.Clean(p), nil
}

// planInputs checks an input tree and lists what must be written: names that stay inside the
// root, no more entries and bytes than the limits allow, and every directory there.
func planInputs(root cas.Digest, dirs map[cas.Digest]*repb.Directory, lim Limits) (*inputs, error) {
	p := &inputPlanner{
		function: root.Function,
		limits:   lim,
		in:       &inputs{files: make(map[cas.Digest][]node)},
		queue:    []plannedDir{{root, ""}},
	}
	var lost []cas.Digest
	for ; len(p.queue) > 0; p.queue = p.queue[1:] {
		next := p.queue[0]
		d := dirs[next.digest]
		if d == nil && next.digest.Empty() {
			d = &repb.Directory{}
		}
		if d == nil {
			lost = append(lost, next.digest)
			continue
		}
		if err := p.directory(next.path, d); err != nil {
			return nil, err
		}
	}
	if lost != nil {
		return nil, missingBlobs(lost...)
	}
	return p.in, nil
}

// plannedDir is a directory that planInputs has yet to look at.
type plannedDir struct {
	digest cas.Digest
	path   string
}

// inputPlanner is the state of planInputs.
type inputPlanner struct {
	function cas.Function
	limits   Limits
	in       *inputs
	queue    []plannedDir
	count    int   // of entries so far
	bytes    int64 // of files so far
}

// directory plans the entries of a directory.
func (p *inputPlanner) directory(dir string, d *repb.Directory) error {
	if p.count += 1 + len(d.Files) + len(d.Symlinks); p.count > p.limits.Inputs {
		return invalidAction("the input tree has more than %d entries", p.limits.Inputs)
	}
	p.in.dirs = append(p.in.dirs, dir)
	seen := make(map[string]bool)
	for _, f := range d.Files {
		if err := p.file(dir, f, seen); err != nil {
			return err
		}
	}
	for _, l := range d.Symlinks {
		if err := p.symlink(dir, l, seen); err != nil {
			return err
		}
	}
	for _, sub := range d.Directories {
		if err := p.subdirectory(dir, sub, seen); err != nil {
			return err
		}
	}
	return nil
}

// entry returns the path of an entry of a directory, whose names seen holds.
func entry(dir, name string, seen map[string]bool) (string, error) {
	p, err := entryPath(dir, name)
	if err == nil && seen[name] {
		err = invalidAction("input %q is in %q twice", name, dir)
	}
	seen[name] = true
	return p, err
}

func (p *inputPlanner) file(dir string, f *repb.FileNode, seen map[string]bool) error {
	at, err := entry(dir, f.Name, seen)
	if err != nil {
		return err
	}
	g, err := cas.ParseDigest(p.function, f.Digest)
	if err != nil {
		return invalidAction("input %q: %v", at, err)
	}
	if p.bytes += g.Size; p.bytes > p.limits.InputBytes {
		return invalidAction("the input tree has more than %d bytes", p.limits.InputBytes)
	}
	p.in.files[g] = append(p.in.files[g], node{path: at, executable: f.IsExecutable})
	return nil
}

func (p *inputPlanner) symlink(dir string, l *repb.SymlinkNode, seen map[string]bool) error {
	at, err := entry(dir, l.Name, seen)
	if err != nil {
		return err
	}
	if _, err := relativePath("symlink "+at+" to", path.Join(dir, l.Target)); err != nil || path.IsAbs(l.Target) {
		return invalidAction("symlink %q to %q: leads out of the input root", at, l.Target)
	}
	p.in.links = append(p.in.links, node{path: at, target: l.Target})
	return nil
}

// maxInputPath bounds the path of an input directory, in bytes; Linux allows 4096.
const maxInputPath = 4000

func (p *inputPlanner) subdirectory(dir string, sub *repb.DirectoryNode, seen map[string]bool) error {
	at, err := entry(dir, sub.Name, seen)
	if err != nil {
		return err
	}
	g, err := cas.ParseDigest(p.function, sub.Digest)
	if err != nil {
		return invalidAction("input %q: %v", at, err)
	}
	if len(at) > maxInputPath {
		return invalidAction("input %.60q...: the path is too long", at)
	}
	p.queue = append(p.queue, plannedDir{g, at})
	return nil
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
	return nil
}

// notFoundAsFailed converts the error for a blob that was evicted meanwhile to an actionError.
func notFoundAsFailed(err error) error {
	if status.Code(errors.Unwrap(err)) == codes.NotFound {
		return &actionError{code: codes.FailedPrecondition, message: err.Error()}
	}
	return err
}

// fetchLarge writes all files with the content of one large blob.
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

// outputs collects files to upload: the outputs of an action, or an input tree.
type outputs struct {
	function cas.Function
	limits   Limits
	result   *repb.ActionResult
	files    map[cas.Digest]string // to upload, with their paths
	blobs    map[cas.Digest][]byte
	count    int
	bytes    int64
}

// file adds a file and returns its digest.
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

// collect adds an output of the command. One that does not exist is left out, as the API
// demands.
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

// directory adds a directory with all below it, and returns its message.
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

// upload stores all that the store does not have yet.
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
