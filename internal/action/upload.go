package action

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/protobuf/proto"

	"amberdeal.example/amberdeal/internal/cas"
)

// Upload stores files and directories below base as an input tree with the same relative paths, and returns the
// digest of its root.
func Upload(ctx context.Context, c *cas.Client, f cas.DigestFunction, base string, paths []string) (cas.Digest, error) {
	o := &outputCollector{function: f, limits: DefaultLimits, files: map[cas.Digest]string{}, blobs: map[cas.Digest][]byte{}}
	root := newTreeBuilder()
	for _, p := range paths {
		p, err := relativePath("input", filepath.ToSlash(p))
		if err != nil {
			return cas.Digest{}, err
		}
		if err := o.add(root, base, p); err != nil {
			return cas.Digest{}, err
		}
	}
	digest, err := o.encodeTree(root)
	if err != nil {
		return digest, err
	}
	return digest, o.upload(ctx, c)
}

// treeBuilder is a directory in an input tree that is being built.
type treeBuilder struct {
	dirs  map[string]*treeBuilder
	files map[string]*repb.FileNode
	links map[string]*repb.SymlinkNode
}

func newTreeBuilder() *treeBuilder {
	return &treeBuilder{map[string]*treeBuilder{}, map[string]*repb.FileNode{}, map[string]*repb.SymlinkNode{}}
}

// child returns the subdirectory with the given name, and creates it if necessary.
func (b *treeBuilder) child(name string) *treeBuilder {
	if b.dirs[name] == nil {
		b.dirs[name] = newTreeBuilder()
	}
	return b.dirs[name]
}

// add adds the file, symlink or directory at a path to the tree. It adds a directory with everything below it.
func (o *outputCollector) add(root *treeBuilder, base, p string) error {
	filePath := filepath.Join(base, p)
	info, err := os.Lstat(filePath)
	if err != nil {
		return err
	}
	if p == "." && info.IsDir() {
		return o.addEntries(root, base, p)
	}
	parent := root
	segments := strings.Split(p, "/")
	for _, segment := range segments[:len(segments)-1] {
		parent = parent.child(segment)
	}
	name := path.Base(p)
	switch {
	case info.IsDir():
		parent.child(name) // adds the directory even if it is empty
		return o.addEntries(root, base, p)
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(filePath)
		if err != nil {
			return err
		}
		parent.links[name] = &repb.SymlinkNode{Name: name, Target: target}
	case info.Mode().IsRegular():
		digest, err := o.file(filePath, info)
		if err != nil {
			return err
		}
		parent.files[name] = &repb.FileNode{Name: name, Digest: digest.Proto(), IsExecutable: info.Mode()&0o111 != 0}
	default:
		return fmt.Errorf("%s: is neither a file, a directory nor a symlink", filePath)
	}
	return nil
}

// addEntries adds all entries of a directory.
func (o *outputCollector) addEntries(root *treeBuilder, base, p string) error {
	entries, err := os.ReadDir(filepath.Join(base, p))
	if err != nil {
		return err
	}
	for _, e := range entries {
		if err := o.add(root, base, path.Join(p, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// encodeTree adds the Directory messages of a tree to the blobs to upload, and returns the digest of the root.
func (o *outputCollector) encodeTree(dir *treeBuilder) (cas.Digest, error) {
	d := &repb.Directory{}
	for _, name := range slices.Sorted(maps.Keys(dir.dirs)) {
		digest, err := o.encodeTree(dir.dirs[name])
		if err != nil {
			return digest, err
		}
		d.Directories = append(d.Directories, &repb.DirectoryNode{Name: name, Digest: digest.Proto()})
	}
	for _, name := range slices.Sorted(maps.Keys(dir.files)) {
		d.Files = append(d.Files, dir.files[name])
	}
	for _, name := range slices.Sorted(maps.Keys(dir.links)) {
		d.Symlinks = append(d.Symlinks, dir.links[name])
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	digest := cas.Sum(o.function, raw)
	o.blobs[digest] = raw
	return digest, err
}

// Download writes the outputs of a result below a directory. It replaces existing files.
func Download(ctx context.Context, c *cas.Client, f cas.DigestFunction, base string, r *repb.ActionResult) error {
	in := &inputTree{files: make(map[cas.Digest][]inputNode)}
	for _, output := range r.GetOutputFiles() {
		p, err := relativePath("output", output.Path)
		if err != nil {
			return err
		}
		digest, err := cas.ParseDigest(f, output.Digest)
		if err != nil {
			return fmt.Errorf("output %q: %w", output.Path, err)
		}
		in.dirs = append(in.dirs, path.Dir(p))
		in.files[digest] = append(in.files[digest], inputNode{path: p, executable: output.IsExecutable})
	}
	for _, output := range r.GetOutputDirectories() {
		p, err := relativePath("output", output.Path)
		if err != nil {
			return err
		}
		if err := in.addTree(ctx, c, f, p, output.TreeDigest); err != nil {
			return fmt.Errorf("output directory %q: %w", output.Path, err)
		}
	}
	// Otherwise an existing symlink would be followed, and a read-only file could not be written.
	for content := range in.files {
		for _, n := range in.files[content] {
			_ = os.Remove(filepath.Join(base, n.path))
		}
	}
	return in.materialize(ctx, c, base)
}

// addTree adds an output directory, after validating it like an input tree.
func (in *inputTree) addTree(ctx context.Context, c *cas.Client, f cas.DigestFunction, dir string, protoDigest *repb.Digest) error {
	digest, err := cas.ParseDigest(f, protoDigest)
	if err != nil {
		return err
	}
	var tree repb.Tree
	if err := c.Message(ctx, digest, &tree); err != nil {
		return err
	}
	dirs := make(map[cas.Digest]*repb.Directory)
	for _, d := range append(tree.Children, tree.Root) {
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
		if err != nil {
			return err
		}
		dirs[cas.Sum(f, raw)] = d
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree.Root)
	if err != nil {
		return err
	}
	sub, err := planInputs(cas.Sum(f, raw), dirs, DefaultLimits)
	if err != nil {
		return err
	}
	for _, d := range sub.dirs {
		in.dirs = append(in.dirs, path.Join(dir, d))
	}
	for digest, nodes := range sub.files {
		for _, n := range nodes {
			n.path = path.Join(dir, n.path)
			in.files[digest] = append(in.files[digest], n)
		}
	}
	for _, n := range sub.links {
		n.path = path.Join(dir, n.path)
		in.links = append(in.links, n)
	}
	return nil
}
