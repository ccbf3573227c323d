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

// Upload stores files and directories below a directory as an input tree with the same names,
// and returns the digest of its root.
func Upload(ctx context.Context, c *cas.Client, f cas.Function, base string, paths []string) (cas.Digest, error) {
	o := &outputs{function: f, limits: DefaultLimits, files: map[cas.Digest]string{}, blobs: map[cas.Digest][]byte{}}
	root := newFolder()
	for _, p := range paths {
		p, err := relativePath("input", filepath.ToSlash(p))
		if err != nil {
			return cas.Digest{}, err
		}
		if err := o.add(root, base, p); err != nil {
			return cas.Digest{}, err
		}
	}
	g, err := o.pack(root)
	if err != nil {
		return g, err
	}
	return g, o.upload(ctx, c)
}

// folder is a directory of an input tree that is being built.
type folder struct {
	folders map[string]*folder
	files   map[string]*repb.FileNode
	links   map[string]*repb.SymlinkNode
}

func newFolder() *folder {
	return &folder{map[string]*folder{}, map[string]*repb.FileNode{}, map[string]*repb.SymlinkNode{}}
}

// child returns the folder of a name, which is created if need be.
func (f *folder) child(name string) *folder {
	if f.folders[name] == nil {
		f.folders[name] = newFolder()
	}
	return f.folders[name]
}

// add adds the file, symlink or directory at a path, and all below it, to the tree.
func (o *outputs) add(root *folder, base, p string) error {
	full := filepath.Join(base, p)
	info, err := os.Lstat(full)
	if err != nil {
		return err
	}
	if p == "." && info.IsDir() {
		return o.addEntries(root, base, p)
	}
	parent := root
	words := strings.Split(p, "/")
	for _, word := range words[:len(words)-1] {
		parent = parent.child(word)
	}
	name := path.Base(p)
	switch {
	case info.IsDir():
		parent.child(name) // an empty directory is part of the tree, too
		return o.addEntries(root, base, p)
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(full)
		if err != nil {
			return err
		}
		parent.links[name] = &repb.SymlinkNode{Name: name, Target: target}
	case info.Mode().IsRegular():
		g, err := o.file(full, info)
		if err != nil {
			return err
		}
		parent.files[name] = &repb.FileNode{Name: name, Digest: g.Proto(), IsExecutable: info.Mode()&0o111 != 0}
	default:
		return fmt.Errorf("%s: is neither a file, a directory nor a symlink", full)
	}
	return nil
}

// addEntries adds all that is in a directory.
func (o *outputs) addEntries(root *folder, base, p string) error {
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

// pack adds the messages of a tree to the blobs, and returns the digest of its root.
func (o *outputs) pack(f *folder) (cas.Digest, error) {
	d := &repb.Directory{}
	for _, name := range slices.Sorted(maps.Keys(f.folders)) {
		g, err := o.pack(f.folders[name])
		if err != nil {
			return g, err
		}
		d.Directories = append(d.Directories, &repb.DirectoryNode{Name: name, Digest: g.Proto()})
	}
	for _, name := range slices.Sorted(maps.Keys(f.files)) {
		d.Files = append(d.Files, f.files[name])
	}
	for _, name := range slices.Sorted(maps.Keys(f.links)) {
		d.Symlinks = append(d.Symlinks, f.links[name])
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(d)
	g := cas.Sum(o.function, raw)
	o.blobs[g] = raw
	return g, err
}

// Download writes the outputs of a result below a directory. Files that exist are replaced.
func Download(ctx context.Context, c *cas.Client, f cas.Function, base string, r *repb.ActionResult) error {
	in := &inputs{files: make(map[cas.Digest][]node)}
	for _, o := range r.GetOutputFiles() {
		p, err := relativePath("output", o.Path)
		if err != nil {
			return err
		}
		g, err := cas.ParseDigest(f, o.Digest)
		if err != nil {
			return fmt.Errorf("output %q: %w", o.Path, err)
		}
		in.dirs = append(in.dirs, path.Dir(p))
		in.files[g] = append(in.files[g], node{path: p, executable: o.IsExecutable})
	}
	for _, o := range r.GetOutputDirectories() {
		p, err := relativePath("output", o.Path)
		if err != nil {
			return err
		}
		if err := in.addTree(ctx, c, f, p, o.TreeDigest); err != nil {
			return fmt.Errorf("output directory %q: %w", o.Path, err)
		}
	}
	for at := range in.files { // symlinks and read-only files would not be overwritten
		for _, n := range in.files[at] {
			_ = os.Remove(filepath.Join(base, n.path))
		}
	}
	return in.materialize(ctx, c, base)
}

// addTree adds an output directory, checked like an input tree.
func (in *inputs) addTree(ctx context.Context, c *cas.Client, f cas.Function, at string, digest *repb.Digest) error {
	g, err := cas.ParseDigest(f, digest)
	if err != nil {
		return err
	}
	var tree repb.Tree
	if err := c.Message(ctx, g, &tree); err != nil {
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
		in.dirs = append(in.dirs, path.Join(at, d))
	}
	for g, nodes := range sub.files {
		for _, n := range nodes {
			n.path = path.Join(at, n.path)
			in.files[g] = append(in.files[g], n)
		}
	}
	for _, n := range sub.links {
		n.path = path.Join(at, n.path)
		in.links = append(in.links, n)
	}
	return nil
}
