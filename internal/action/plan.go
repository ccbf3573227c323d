package action

import (
	"path"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"

	"amberdeal.example/amberdeal/internal/cas"
)

// planInputs validates an input tree and lists the directories, files and symlinks to create. All directories must be
// present, all paths must stay within the root, and the number and size of the entries must not exceed the limits.
func planInputs(root cas.Digest, dirs map[cas.Digest]*repb.Directory, limits Limits) (*inputTree, error) {
	planner := &inputPlanner{
		function: root.Function,
		limits:   limits,
		tree:     &inputTree{files: make(map[cas.Digest][]inputNode)},
		queue:    []plannedDir{{root, ""}},
	}
	var missing []cas.Digest
	for ; len(planner.queue) > 0; planner.queue = planner.queue[1:] {
		next := planner.queue[0]
		d := dirs[next.digest]
		if d == nil && next.digest.Empty() {
			d = &repb.Directory{}
		}
		if d == nil {
			missing = append(missing, next.digest)
			continue
		}
		if err := planner.directory(next.path, d); err != nil {
			return nil, err
		}
	}
	if missing != nil {
		return nil, missingBlobs(missing...)
	}
	return planner.tree, nil
}

// plannedDir is a directory that planInputs has not visited yet.
type plannedDir struct {
	digest cas.Digest
	path   string
}

// inputPlanner is the state of planInputs.
type inputPlanner struct {
	function cas.DigestFunction
	limits   Limits
	tree     *inputTree
	queue    []plannedDir
	count    int   // entries so far
	bytes    int64 // total size of the files so far
}

// directory adds a directory and its entries to the plan, and queues its subdirectories.
func (p *inputPlanner) directory(dir string, d *repb.Directory) error {
	if p.count += 1 + len(d.Files) + len(d.Symlinks); p.count > p.limits.Inputs {
		return invalidAction("the input tree has more than %d entries", p.limits.Inputs)
	}
	p.tree.dirs = append(p.tree.dirs, dir)
	seen := make(map[string]bool)
	for _, f := range d.Files {
		if err := p.file(dir, f, seen); err != nil {
			return err
		}
	}
	for _, link := range d.Symlinks {
		if err := p.symlink(dir, link, seen); err != nil {
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

// uniqueEntryPath returns the path of a directory entry. Its name must not be in seen, to which it is added.
func uniqueEntryPath(dir, name string, seen map[string]bool) (string, error) {
	p, err := entryPath(dir, name)
	if err == nil && seen[name] {
		err = invalidAction("input %q is in %q twice", name, dir)
	}
	seen[name] = true
	return p, err
}

func (p *inputPlanner) file(dir string, f *repb.FileNode, seen map[string]bool) error {
	filePath, err := uniqueEntryPath(dir, f.Name, seen)
	if err != nil {
		return err
	}
	digest, err := cas.ParseDigest(p.function, f.Digest)
	if err != nil {
		return invalidAction("input %q: %v", filePath, err)
	}
	if p.bytes += digest.Size; p.bytes > p.limits.InputBytes {
		return invalidAction("the input tree has more than %d bytes", p.limits.InputBytes)
	}
	p.tree.files[digest] = append(p.tree.files[digest], inputNode{path: filePath, executable: f.IsExecutable})
	return nil
}

func (p *inputPlanner) symlink(dir string, link *repb.SymlinkNode, seen map[string]bool) error {
	linkPath, err := uniqueEntryPath(dir, link.Name, seen)
	if err != nil {
		return err
	}
	if _, err := relativePath("symlink "+linkPath+" to", path.Join(dir, link.Target)); err != nil || path.IsAbs(link.Target) {
		return invalidAction("symlink %q to %q: leads out of the input root", linkPath, link.Target)
	}
	p.tree.links = append(p.tree.links, inputNode{path: linkPath, target: link.Target})
	return nil
}

// maxInputPath bounds the path of an input directory, in bytes. Linux allows 4096 bytes for a whole path.
const maxInputPath = 4000

func (p *inputPlanner) subdirectory(dir string, sub *repb.DirectoryNode, seen map[string]bool) error {
	subPath, err := uniqueEntryPath(dir, sub.Name, seen)
	if err != nil {
		return err
	}
	digest, err := cas.ParseDigest(p.function, sub.Digest)
	if err != nil {
		return invalidAction("input %q: %v", subPath, err)
	}
	if len(subPath) > maxInputPath {
		return invalidAction("input %.60q...: the path is too long", subPath)
	}
	p.queue = append(p.queue, plannedDir{digest, subPath})
	return nil
}
