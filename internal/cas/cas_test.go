package cas

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/klauspost/compress/zstd"
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"
)

const sha = repb.DigestFunction_SHA256

func open(t testing.TB, dir string, limit int64) *Disk {
	t.Helper()
	d, err := Open(dir, limit, 0)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// serve serves a disk on loopback and gives a client of it.
func serve(t testing.TB, d *Disk, l Limits) *Client {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewServer(d, l, slog.New(slog.DiscardHandler))
	go g.Serve(lis)
	t.Cleanup(g.Stop)
	c, err := Dial(lis.Addr().String(), "main")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func noise(n int, seed uint64) []byte {
	luck := rand.New(rand.NewPCG(seed, 1))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(luck.Uint32())
	}
	return out
}

// TestBlobs writes and reads blobs of all sizes in both functions, whole and as
// streams.
func TestBlobs(t *testing.T) {
	c := serve(t, open(t, t.TempDir(), 64<<20), DefaultLimits)
	for _, f := range Functions {
		for i, size := range []int{0, 1, 1000, chunkBytes, chunkBytes + 1, 3*chunkBytes + 7} {
			content := noise(size, uint64(i))
			g, err := c.Put(t.Context(), f, content)
			if err != nil {
				t.Fatal(err)
			}
			got, err := c.Get(t.Context(), g)
			if err != nil || !bytes.Equal(got, content) {
				t.Errorf("%v: %d bytes, %v", g, len(got), err)
			}
			missing, err := c.Missing(t.Context(), []Digest{g, Sum(f, []byte("other"))})
			if err != nil || len(missing) != 1 {
				t.Errorf("missing: %v, %v", missing, err)
			}
		}
	}
	if _, err := c.Get(t.Context(), Sum(sha, []byte("nobody wrote this"))); status.Code(errors.Unwrap(err)) != codes.NotFound {
		t.Errorf("a blob that is not there: %v", err)
	}
	if h, err := healthpb.NewHealthClient(c.conn).Check(t.Context(), &healthpb.HealthCheckRequest{}); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health: %v, %v", h, err)
	}
	caps, err := repb.NewCapabilitiesClient(c.conn).GetCapabilities(t.Context(), &repb.GetCapabilitiesRequest{})
	if err != nil || len(caps.CacheCapabilities.DigestFunctions) != 2 {
		t.Errorf("capabilities: %v, %v", caps, err)
	}
}

// TestWrongContentIsNeverKept: a hash, a size, and a digest that can't be one.
func TestWrongContentIsNeverKept(t *testing.T) {
	d := open(t, t.TempDir(), 1<<20)
	c := serve(t, d, DefaultLimits)
	content := []byte("what was written")
	wrong := Sum(sha, []byte("what was promised"))
	for name, g := range map[string]Digest{"hash": {sha, wrong.Hash, int64(len(content))}, "size": {sha, Sum(sha, content).Hash, 3}} {
		if err := c.upload(t.Context(), g, bytes.NewReader(append(content, "x"...))); status.Code(errors.Unwrap(err)) != codes.InvalidArgument {
			t.Errorf("%s by stream: %v", name, err)
		}
		resp, err := c.blobs.BatchUpdateBlobs(t.Context(), &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{
			{Digest: g.Proto(), Data: content}, {Digest: Sum(sha, content).Proto(), Data: content}, {Digest: &repb.Digest{Hash: "../../etc", SizeBytes: 16}, Data: content}}})
		if err != nil || resp.Responses[0].Status.Code != int32(codes.InvalidArgument) || resp.Responses[1].Status.Code != 0 || resp.Responses[2].Status.Code != int32(codes.InvalidArgument) {
			t.Errorf("%s in a batch: %v, %v", name, resp, err)
		}
	}
	if s := d.Stats(); s.Blobs != 1 {
		t.Errorf("%+v", s)
	}
}

// TestUploadGoesOn: an upload that was broken off, by its client or by the end of
// the server, goes on at the offset that it asks for; a wrong offset is refused.
func TestUploadGoesOn(t *testing.T) {
	dir := t.TempDir()
	content := noise(900_000, 1)
	g := Sum(sha, content)
	name := Resource{Upload: "0c0ffee", Digest: g}.Name()
	part := func(c *Client, from, to int, finish bool) (int64, error) {
		out, err := c.stream.Write(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = out.Send(&bspb.WriteRequest{ResourceName: name, WriteOffset: int64(from), Data: content[from:to], FinishWrite: finish})
		resp, err := out.CloseAndRecv()
		return resp.GetCommittedSize(), err
	}
	at := func(c *Client) int64 {
		st, err := c.stream.QueryWriteStatus(t.Context(), &bspb.QueryWriteStatusRequest{ResourceName: name})
		if err != nil {
			return -1
		}
		return st.CommittedSize
	}
	c := serve(t, open(t, dir, 4<<20), DefaultLimits)
	if n := at(c); n != -1 {
		t.Errorf("an upload that never began is at %d", n)
	}
	if _, err := part(c, 0, 300_000, false); status.Code(err) != codes.InvalidArgument || at(c) != 300_000 {
		t.Fatalf("broken off: %v, at %d", err, at(c))
	}
	if _, err := part(c, 100, 600_000, false); status.Code(err) != codes.OutOfRange {
		t.Errorf("a wrong offset: %v", err)
	}
	if missing, _ := c.Missing(t.Context(), []Digest{g}); len(missing) != 1 {
		t.Error("half a blob is there")
	}
	again := serve(t, open(t, dir, 4<<20), DefaultLimits) // after a kill
	if n := at(again); n != 300_000 {
		t.Fatalf("after the restart it is at %d", n)
	}
	if n, err := part(again, 300_000, len(content), true); err != nil || n != int64(len(content)) {
		t.Fatalf("%d, %v", n, err)
	}
	if got, err := again.Get(t.Context(), g); err != nil || !bytes.Equal(got, content) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if n := at(again); n != int64(len(content)) {
		t.Errorf("complete at %d", n)
	}
}

// TestCompressed: blobs go in and out under zstd, from any offset; what unpacks to
// something else is refused.
func TestCompressed(t *testing.T) {
	c := serve(t, open(t, t.TempDir(), 64<<20), DefaultLimits)
	content := bytes.Repeat([]byte("a line of a log\n"), 100_000)
	z, _ := zstd.NewWriter(nil)
	packed := z.EncodeAll(content, nil)
	g := Sum(sha, content)
	upload := func(g Digest, packed []byte) error {
		out, err := c.stream.Write(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = out.Send(&bspb.WriteRequest{ResourceName: Resource{Upload: "u", Zstd: true, Digest: g}.Name(), Data: packed, FinishWrite: true})
		_, err = out.CloseAndRecv()
		return err
	}
	for name, bad := range map[string][]byte{"cut": packed[:len(packed)/2], "not zstd": content[:100], "more": z.EncodeAll(append(content, '!'), nil)} {
		if err := upload(g, bad); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := upload(g, packed); err != nil {
		t.Fatal(err)
	}
	in, err := c.stream.Read(t.Context(), &bspb.ReadRequest{ResourceName: Resource{Zstd: true, Digest: g}.Name(), ReadOffset: 16})
	if err != nil {
		t.Fatal(err)
	}
	var got []byte
	for {
		msg, err := in.Recv()
		if err != nil {
			break
		}
		got = append(got, msg.Data...)
	}
	r, _ := zstd.NewReader(nil)
	if text, err := r.DecodeAll(got, nil); err != nil || !bytes.Equal(text, content[16:]) {
		t.Errorf("%d bytes, %v", len(text), err)
	}
}

// TestDamageOnDiskIsNotServed changes, cuts and misnames files, as a crash or a
// bad disk may leave them.
func TestDamageOnDiskIsNotServed(t *testing.T) {
	dir := t.TempDir()
	d := open(t, dir, 1<<20)
	var digests []Digest
	for i := range 4 {
		content := noise(1000, uint64(i))
		g := Sum(sha, content)
		if err := d.Put(g, content); err != nil {
			t.Fatal(err)
		}
		digests = append(digests, g)
	}
	changed, _ := os.ReadFile(d.path(digests[0]))
	changed[500] ^= 1
	_ = os.WriteFile(d.path(digests[0]), changed, 0o644)
	_ = os.Truncate(d.path(digests[1]), 400)
	_ = os.WriteFile(filepath.Join(dir, "blobs", "sha256", "stray"), []byte("?"), 0o644)
	d = open(t, dir, 1<<20)
	for i, g := range digests {
		_, err := d.Get(g, 1<<20)
		if damaged := i < 2; damaged != errors.Is(err, ErrNotFound) {
			t.Errorf("blob %d: %v", i, err)
		}
		if _, err := os.Stat(d.path(g)); i < 2 && err == nil {
			t.Errorf("blob %d is still on the disk", i)
		}
	}
}

// TestEviction: the least recently used make room, never what was used within the
// time to keep or is being read; then a write is told to come back.
func TestEviction(t *testing.T) {
	dir := t.TempDir()
	d, err := Open(dir, 10_000, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	d.now = func() time.Time { return now }
	put := func(i int) (Digest, error) {
		content := noise(3000, uint64(i))
		return Sum(sha, content), d.Put(Sum(sha, content), content)
	}
	var digests []Digest
	for i := range 3 {
		g, err := put(i)
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, g)
	}
	if _, err := put(3); !errors.Is(err, ErrFull) {
		t.Errorf("all was used just now: %v", err)
	}
	if st := status.Convert(asStatus(ErrFull)); st.Code() != codes.ResourceExhausted || len(st.Details()) != 1 {
		t.Errorf("the answer is %v", st)
	}
	now = now.Add(2 * time.Minute)
	d.Has(digests[0])
	in, err := d.Reader(digests[1])
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(59 * time.Second)
	if _, err := put(4); err != nil { // takes the third, the only one that is old
		t.Fatal(err)
	}
	for i, there := range []bool{true, true, false} {
		if d.Has(digests[i]) != there {
			t.Errorf("blob %d: there %v", i, !there)
		}
	}
	now = now.Add(5 * time.Minute)
	if _, err := put(5); err != nil {
		t.Fatal(err)
	}
	if !d.Has(digests[1]) {
		t.Error("a blob went while it was read")
	}
	in.Close()
	if err := d.Put(Sum(sha, noise(20_000, 9)), noise(20_000, 9)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a blob that never fits: %v", err)
	}
	small, err := Open(dir, 4000, 0) // opened with less
	if err != nil || small.Stats().Bytes > 4000 {
		t.Errorf("%+v, %v", small.Stats(), err)
	}
}

// TestResults: the result of an action is given only while all that it names is
// there, down to the files of its directories.
func TestResults(t *testing.T) {
	d := open(t, t.TempDir(), 1<<20)
	c := serve(t, d, DefaultLimits)
	ctx := t.Context()
	file, _ := c.Put(ctx, sha, []byte("output"))
	deep, _ := c.Put(ctx, sha, []byte("deep in a directory"))
	tree, _ := c.PutMessage(ctx, sha, &repb.Tree{Root: &repb.Directory{}, Children: []*repb.Directory{{Files: []*repb.FileNode{{Name: "f", Digest: deep.Proto()}}}}})
	action := Sum(sha, []byte("action"))
	want := &repb.ActionResult{ExitCode: 3, OutputFiles: []*repb.OutputFile{{Path: "out", Digest: file.Proto()}},
		OutputDirectories: []*repb.OutputDirectory{{Path: "dir", TreeDigest: tree.Proto()}}}
	if err := c.PutResult(ctx, action, &repb.ActionResult{StdoutDigest: Sum(sha, []byte("never written")).Proto()}); status.Code(err) != codes.FailedPrecondition {
		t.Errorf("a result without its output: %v", err)
	}
	if err := c.PutResult(ctx, action, want); err != nil {
		t.Fatal(err)
	}
	if got, err := c.Result(ctx, action); err != nil || got.ExitCode != 3 {
		t.Fatalf("%v, %v", got, err)
	}
	other := *c
	other.Instance = "other"
	if _, err := other.Result(ctx, action); status.Code(err) != codes.NotFound {
		t.Errorf("of another instance: %v", err)
	}
	d.mu.Lock()
	d.remove(deep)
	d.mu.Unlock()
	if _, err := c.Result(ctx, action); status.Code(err) != codes.NotFound {
		t.Errorf("a file of an output directory is gone: %v", err)
	}
	if _, err := c.Put(ctx, sha, []byte("deep in a directory")); err != nil {
		t.Fatal(err)
	}
	path := d.resultPath("main", action)
	raw, _ := os.ReadFile(path)
	_ = os.WriteFile(path, raw[:len(raw)-3], 0o644)
	if _, err := c.Result(ctx, action); status.Code(err) != codes.NotFound {
		t.Errorf("a damaged result: %v", err)
	}
}

// TestTree: a tree comes once for each directory, however often it is named, and
// without what is missing.
func TestTree(t *testing.T) {
	c := serve(t, open(t, t.TempDir(), 16<<20), DefaultLimits)
	ctx := t.Context()
	leaf, _ := c.PutMessage(ctx, sha, &repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: Sum(sha, []byte("f")).Proto()}}})
	root := &repb.Directory{}
	for i := range 450 {
		sub, _ := c.PutMessage(ctx, sha, &repb.Directory{Directories: []*repb.DirectoryNode{{Name: fmt.Sprint(i), Digest: leaf.Proto()}}})
		root.Directories = append(root.Directories, &repb.DirectoryNode{Name: fmt.Sprintf("%03d", i), Digest: sub.Proto()})
	}
	root.Directories = append(root.Directories, &repb.DirectoryNode{Name: "gone", Digest: Sum(sha, []byte("gone")).Proto()})
	g, err := c.PutMessage(ctx, sha, root)
	if err != nil {
		t.Fatal(err)
	}
	dirs, err := c.Tree(ctx, g)
	if err != nil || len(dirs) != 452 || dirs[g] == nil || dirs[leaf] == nil {
		t.Errorf("%d directories, %v", len(dirs), err)
	}
}

// TestGateRefusesAtOnce: a call beyond the bound is refused with when to come back.
func TestGateRefusesAtOnce(t *testing.T) {
	c := serve(t, open(t, t.TempDir(), 1<<20), Limits{Calls: 1, Batch: 1 << 20})
	begin := func() bspb.ByteStream_WriteClient {
		out, err := c.stream.Write(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = out.Send(&bspb.WriteRequest{ResourceName: Resource{Upload: "u", Digest: Sum(sha, noise(10, 1))}.Name(), Data: noise(5, 1)})
		return out
	}
	out := begin()
	for {
		_, err := c.blobs.FindMissingBlobs(t.Context(), &repb.FindMissingBlobsRequest{})
		if status.Code(err) != codes.ResourceExhausted { // the stream has not arrived yet
			if out.Context().Err() != nil || out.Send(&bspb.WriteRequest{WriteOffset: 5}) != nil {
				out = begin() // it came while the other call had the place
			}
			continue
		}
		for _, detail := range status.Convert(err).Details() {
			if r, ok := detail.(*errdetails.RetryInfo); ok && r.RetryDelay.AsDuration() > 0 {
				return
			}
		}
		t.Fatalf("refused without when to come back: %v", err)
	}
}

// TestClientGoesOn: a server that ends in the middle of an upload and comes back is
// gone on with.
func TestClientGoesOn(t *testing.T) {
	dir := t.TempDir()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	first := NewServer(open(t, dir, 64<<20), DefaultLimits, slog.New(slog.DiscardHandler))
	go first.Serve(lis)
	c, err := Dial(addr, "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	content := noise(8<<20, 4)
	slow := &stumble{Reader: bytes.NewReader(content), at: 3 << 20, then: func() {
		first.Stop()
		again, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		second := NewServer(open(t, dir, 64<<20), DefaultLimits, slog.New(slog.DiscardHandler))
		t.Cleanup(second.Stop)
		go second.Serve(again)
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	g := Sum(sha, content)
	if err := c.upload(ctx, g, slow); err != nil {
		t.Fatal(err)
	}
	if got, err := c.Get(ctx, g); err != nil || !bytes.Equal(got, content) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// TestLogs: a log is read as it grows; one that is begun anew sends its readers
// away, and one whose writer is gone is finished.
func TestLogs(t *testing.T) {
	c := serve(t, open(t, t.TempDir(), 1<<20), DefaultLimits)
	ctx := t.Context()
	if _, err := c.FollowLog(ctx, LogName("main", "wk-1/stdout"), &bytes.Buffer{}); status.Code(err) != codes.NotFound {
		t.Errorf("a log that nobody writes: %v", err)
	}
	type seen struct {
		text string
		err  error
	}
	// follow reads the log until it ends; begun is closed once something was read, so
	// that a test may wait until a reader is at the log that it means.
	follow := func() (end chan seen, begun chan struct{}) {
		end, begun = make(chan seen, 1), make(chan struct{})
		go func() {
			for {
				out := &firstWrite{begun: begun}
				if _, err := c.FollowLog(ctx, LogName("main", "wk-1/stdout"), out); status.Code(err) != codes.NotFound {
					end <- seen{out.String(), err}
					return
				}
			}
		}()
		return end, begun
	}
	first, err := c.Log(ctx, "wk-1/stdout")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = first.Write([]byte("one\n"))
	early, begun := follow()
	<-begun                                  // else it may come to the second log, whose end waits for this reader
	second, err := c.Log(ctx, "wk-1/stdout") // the command is begun anew
	if err != nil {
		t.Fatal(err)
	}
	_, _ = second.Write([]byte("two\n"))
	if s := <-early; status.Code(s.err) != codes.Aborted || s.text != "one\n" {
		t.Errorf("%+v", s)
	}
	late, begun := follow()
	<-begun
	_, _ = second.Write([]byte("three\n"))
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	if s := <-late; s.err != nil || s.text != "two\nthree\n" {
		t.Errorf("%+v", s)
	}
	if err := first.Close(); err == nil {
		t.Error("the first goes on beside the second")
	}
}

// firstWrite closes begun when something is written to it for the first time.
type firstWrite struct {
	bytes.Buffer
	begun chan struct{}
}

func (w *firstWrite) Write(p []byte) (int, error) {
	if w.Len() == 0 && len(p) > 0 {
		close(w.begun)
	}
	return w.Buffer.Write(p)
}

// stumble does something once so much was read.
type stumble struct {
	*bytes.Reader
	at   int64
	then func()
}

func (s *stumble) Read(p []byte) (int, error) {
	if s.then != nil && s.Size()-int64(s.Len()) >= s.at {
		s.then()
		s.then = nil
	}
	return s.Reader.Read(p)
}

// FuzzNames: whatever a name or a digest is, it is refused or names the same again,
// and no name leaves the directory.
func FuzzNames(f *testing.F) {
	g := Sum(sha, []byte("x"))
	f.Add("main/blobs/" + g.String())
	f.Add("a/b/uploads/1-2/compressed-blobs/zstd/blake3/" + g.String() + "/file.o")
	f.Add("uploads/../blobs/../1")
	f.Fuzz(func(t *testing.T, name string) {
		if r, err := ParseResource(name); err == nil {
			again, err := ParseResource(r.Name())
			if err != nil || again != r {
				t.Errorf("%q: %+v, then %+v, %v", name, r, again, err)
			}
			d := &Disk{dir: "/store"}
			for _, path := range []string{d.path(r.Digest), d.uploadPath(r.Digest, r.Upload), d.resultPath(r.Instance, r.Digest)} {
				if !strings.HasPrefix(filepath.Clean(path), "/store/") {
					t.Errorf("%q names %s", name, path)
				}
			}
		}
		if g, err := DigestFromString(name); err == nil && g.String() != name {
			t.Errorf("%q became %v", name, g)
		}
	})
}

// BenchmarkStream writes and reads blobs of 4 MiB through ByteStream; BenchmarkFile
// writes the same to a file and computes its hash.
func BenchmarkStream(b *testing.B) {
	c := serve(b, open(b, b.TempDir(), 1<<30), DefaultLimits)
	content := noise(4<<20, 1)
	b.SetBytes(int64(len(content)))
	for i := 0; b.Loop(); i++ {
		content[0], content[1], content[2] = byte(i), byte(i>>8), byte(i>>16)
		if _, err := c.Put(b.Context(), sha, content); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFile is what BenchmarkStream is measured against.
func BenchmarkFile(b *testing.B) {
	dir := b.TempDir()
	content := noise(4<<20, 1)
	b.SetBytes(int64(len(content)))
	for i := 0; b.Loop(); i++ {
		content[0], content[1] = byte(i), byte(i>>8)
		if err := os.WriteFile(filepath.Join(dir, Sum(sha, content).Hash), content, 0o644); err != nil {
			b.Fatal(err)
		}
	}
}
