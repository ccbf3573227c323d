package action

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	"amberdeal.example/amberdeal/internal/cas"
)

// outputCollector collects the files and messages to upload for the outputs of an action or for an input tree.
type outputCollector struct {
	function cas.DigestFunction
	limits   Limits
	result   *repb.ActionResult
	files    map[cas.Digest]string // paths of the files to upload
	blobs    map[cas.Digest][]byte
	count    int
	bytes    int64
}

// file adds a file and returns its digest. It returns an error if the outputs exceed the limits.
func (o *outputCollector) file(filePath string, info os.FileInfo) (cas.Digest, error) {
	o.count++
	if o.bytes += info.Size(); o.count > o.limits.Outputs || o.bytes > o.limits.OutputBytes {
		return cas.Digest{}, &actionError{code: codes.ResourceExhausted, message: fmt.Sprintf("the outputs are more than %d files or %d bytes", o.limits.Outputs, o.limits.OutputBytes)}
	}
	digest, err := cas.SumFile(o.function, filePath)
	if err == nil {
		o.files[digest] = filePath
	}
	return digest, err
}

// collect adds an output of the command. An output that does not exist is left out, as the API requires.
func (o *outputCollector) collect(filePath, p string) error {
	info, err := os.Lstat(filePath)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil
	case err != nil:
		return err
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(filePath)
		o.result.OutputSymlinks = append(o.result.OutputSymlinks, &repb.OutputSymlink{Path: p, Target: target})
		return err
	case info.IsDir():
		tree := &repb.Tree{}
		if tree.Root, err = o.directory(filePath, tree); err != nil {
			return err
		}
		raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(tree)
		digest := cas.Sum(o.function, raw)
		o.blobs[digest] = raw
		o.result.OutputDirectories = append(o.result.OutputDirectories, &repb.OutputDirectory{Path: p, TreeDigest: digest.Proto(), IsTopologicallySorted: false})
		return err
	case !info.Mode().IsRegular():
		return invalidAction("output %q: is neither a file, a directory nor a symlink", p)
	}
	digest, err := o.file(filePath, info)
	o.result.OutputFiles = append(o.result.OutputFiles, &repb.OutputFile{Path: p, Digest: digest.Proto(), IsExecutable: info.Mode()&0o111 != 0})
	return err
}

// directory adds the files and subdirectories of a directory, and returns its message.
func (o *outputCollector) directory(filePath string, tree *repb.Tree) (*repb.Directory, error) {
	entries, err := os.ReadDir(filePath) // sorted by name, as the API requires
	if err != nil {
		return nil, err
	}
	d := &repb.Directory{}
	for _, e := range entries {
		info, err := e.Info()
		if err != nil {
			return nil, err
		}
		if err := o.directoryEntry(d, filepath.Join(filePath, e.Name()), info, tree); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// directoryEntry adds a symlink, directory or file to the message of its parent directory. Other kinds of files
// are left out.
func (o *outputCollector) directoryEntry(parent *repb.Directory, filePath string, info os.FileInfo, tree *repb.Tree) error {
	name := filepath.Base(filePath)
	switch {
	case info.Mode()&os.ModeSymlink != 0:
		target, err := os.Readlink(filePath)
		if err != nil {
			return err
		}
		parent.Symlinks = append(parent.Symlinks, &repb.SymlinkNode{Name: name, Target: target})
	case info.IsDir():
		digest, err := o.subdirectory(filePath, tree)
		if err != nil {
			return err
		}
		parent.Directories = append(parent.Directories, &repb.DirectoryNode{Name: name, Digest: digest.Proto()})
	case info.Mode().IsRegular():
		digest, err := o.file(filePath, info)
		if err != nil {
			return err
		}
		parent.Files = append(parent.Files, &repb.FileNode{Name: name, Digest: digest.Proto(), IsExecutable: info.Mode()&0o111 != 0})
	}
	return nil
}

// subdirectory adds a directory to the children of a tree and returns its digest.
func (o *outputCollector) subdirectory(filePath string, tree *repb.Tree) (cas.Digest, error) {
	child, err := o.directory(filePath, tree)
	if err != nil {
		return cas.Digest{}, err
	}
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(child)
	if err != nil {
		return cas.Digest{}, err
	}
	tree.Children = append(tree.Children, child)
	return cas.Sum(o.function, raw), nil
}

// upload uploads the collected files and messages that the store does not have yet.
func (o *outputCollector) upload(ctx context.Context, c *cas.Client) error {
	var all []cas.Digest
	for digest := range o.files {
		all = append(all, digest)
	}
	for digest := range o.blobs {
		all = append(all, digest)
	}
	missing, err := c.Missing(ctx, all)
	if err != nil {
		return fmt.Errorf("finding which of %d blobs are missing: %w", len(all), err)
	}
	for _, digest := range missing {
		if raw, ok := o.blobs[digest]; ok {
			_, err = c.Put(ctx, digest.Function, raw)
		} else {
			err = c.PutFile(ctx, digest, o.files[digest])
		}
		if err != nil {
			return err
		}
	}
	return nil
}
