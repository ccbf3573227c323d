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

func openTestDisk(t testing.TB, dir string, limit int64) *Disk {
	t.Helper()
	d, err := Open(dir, limit, 0)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// newTestClient serves a disk on the loopback interface and returns a client of it.
func newTestClient(t testing.TB, d *Disk, l Limits) *Client {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := NewServer(d, l, slog.New(slog.DiscardHandler))
	go server.Serve(lis)
	t.Cleanup(server.Stop)
	c, err := Dial(lis.Addr().String(), "main")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func randomBytes(n int, seed uint64) []byte {
	rng := rand.New(rand.NewPCG(seed, 1))
	out := make([]byte, n)
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// TestBlobs writes and reads blobs of various sizes with each digest function, and checks the health and capabilities
// services.
func TestBlobs(t *testing.T) {
	c := newTestClient(t, openTestDisk(t, t.TempDir(), 64<<20), DefaultLimits)
	for _, f := range DigestFunctions {
		for i, size := range []int{0, 1, 1000, chunkBytes, chunkBytes + 1, 3*chunkBytes + 7} {
			content := randomBytes(size, uint64(i))
			digest, err := c.Put(t.Context(), f, content)
			if err != nil {
				t.Fatal(err)
			}
			got, err := c.Get(t.Context(), digest)
			if err != nil || !bytes.Equal(got, content) {
				t.Errorf("%v: %d bytes, %v", digest, len(got), err)
			}
			missing, err := c.Missing(t.Context(), []Digest{digest, Sum(f, []byte("other"))})
			if err != nil || len(missing) != 1 {
				t.Errorf("missing: %v, %v", missing, err)
			}
		}
	}
	if _, err := c.Get(t.Context(), Sum(sha, []byte("nobody wrote this"))); status.Code(errors.Unwrap(err)) != codes.NotFound {
		t.Errorf("reading a missing blob: %v", err)
	}
	if h, err := healthpb.NewHealthClient(c.conn).Check(t.Context(), &healthpb.HealthCheckRequest{}); err != nil || h.Status != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health: %v, %v", h, err)
	}
	caps, err := repb.NewCapabilitiesClient(c.conn).GetCapabilities(t.Context(), &repb.GetCapabilitiesRequest{})
	if err != nil || len(caps.CacheCapabilities.DigestFunctions) != 2 {
		t.Errorf("capabilities: %v, %v", caps, err)
	}
}

// TestWrongContentIsRejected checks that content with a wrong hash or size, or with a malformed digest, is not
// stored.
func TestWrongContentIsRejected(t *testing.T) {
	d := openTestDisk(t, t.TempDir(), 1<<20)
	c := newTestClient(t, d, DefaultLimits)
	content := []byte("what was written")
	wrong := Sum(sha, []byte("what was promised"))
	for name, digest := range map[string]Digest{"hash": {sha, wrong.Hash, int64(len(content))}, "size": {sha, Sum(sha, content).Hash, 3}} {
		if err := c.upload(t.Context(), digest, bytes.NewReader(append(content, "x"...))); status.Code(errors.Unwrap(err)) != codes.InvalidArgument {
			t.Errorf("%s by stream: %v", name, err)
		}
		resp, err := c.blobs.BatchUpdateBlobs(t.Context(), &repb.BatchUpdateBlobsRequest{Requests: []*repb.BatchUpdateBlobsRequest_Request{
			{Digest: digest.Proto(), Data: content}, {Digest: Sum(sha, content).Proto(), Data: content}, {Digest: &repb.Digest{Hash: "../../etc", SizeBytes: 16}, Data: content}}})
		if err != nil || resp.Responses[0].Status.Code != int32(codes.InvalidArgument) || resp.Responses[1].Status.Code != 0 || resp.Responses[2].Status.Code != int32(codes.InvalidArgument) {
			t.Errorf("%s in a batch: %v, %v", name, resp, err)
		}
	}
	if s := d.Stats(); s.Blobs != 1 {
		t.Errorf("%+v", s)
	}
}

// TestInterruptedUploadResumes checks that an upload which was interrupted by its client or by a restart of the
// server resumes at the offset that QueryWriteStatus returns, and that a write at a wrong offset is rejected.
func TestInterruptedUploadResumes(t *testing.T) {
	dir := t.TempDir()
	content := randomBytes(900_000, 1)
	digest := Sum(sha, content)
	name := Resource{Upload: "0c0ffee", Digest: digest}.Name()
	write := func(c *Client, from, to int, finish bool) (int64, error) {
		stream, err := c.stream.Write(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Send(&bspb.WriteRequest{ResourceName: name, WriteOffset: int64(from), Data: content[from:to], FinishWrite: finish})
		resp, err := stream.CloseAndRecv()
		return resp.GetCommittedSize(), err
	}
	committed := func(c *Client) int64 {
		response, err := c.stream.QueryWriteStatus(t.Context(), &bspb.QueryWriteStatusRequest{ResourceName: name})
		if err != nil {
			return -1
		}
		return response.CommittedSize
	}
	c := newTestClient(t, openTestDisk(t, dir, 4<<20), DefaultLimits)
	if n := committed(c); n != -1 {
		t.Errorf("offset of an upload that was never started: %d", n)
	}
	if _, err := write(c, 0, 300_000, false); status.Code(err) != codes.InvalidArgument || committed(c) != 300_000 {
		t.Fatalf("interrupted upload: %v, at offset %d", err, committed(c))
	}
	if _, err := write(c, 100, 600_000, false); status.Code(err) != codes.OutOfRange {
		t.Errorf("write at a wrong offset: %v", err)
	}
	if missing, _ := c.Missing(t.Context(), []Digest{digest}); len(missing) != 1 {
		t.Error("a partial blob counts as present")
	}
	restarted := newTestClient(t, openTestDisk(t, dir, 4<<20), DefaultLimits) // a new process on the same directory
	if n := committed(restarted); n != 300_000 {
		t.Fatalf("offset after the restart: %d", n)
	}
	if n, err := write(restarted, 300_000, len(content), true); err != nil || n != int64(len(content)) {
		t.Fatalf("%d, %v", n, err)
	}
	if got, err := restarted.Get(t.Context(), digest); err != nil || !bytes.Equal(got, content) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
	if n := committed(restarted); n != int64(len(content)) {
		t.Errorf("offset of the complete upload: %d", n)
	}
}

// TestCompressed checks that blobs can be written and read with zstd compression, also from an offset, and that data
// which does not decompress to the blob is rejected.
func TestCompressed(t *testing.T) {
	c := newTestClient(t, openTestDisk(t, t.TempDir(), 64<<20), DefaultLimits)
	content := bytes.Repeat([]byte("a line of a log\n"), 100_000)
	z, _ := zstd.NewWriter(nil)
	compressed := z.EncodeAll(content, nil)
	digest := Sum(sha, content)
	upload := func(digest Digest, compressed []byte) error {
		stream, err := c.stream.Write(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Send(&bspb.WriteRequest{ResourceName: Resource{Upload: "u", Zstd: true, Digest: digest}.Name(), Data: compressed, FinishWrite: true})
		_, err = stream.CloseAndRecv()
		return err
	}
	for name, bad := range map[string][]byte{"cut": compressed[:len(compressed)/2], "not zstd": content[:100], "more": z.EncodeAll(append(content, '!'), nil)} {
		if err := upload(digest, bad); status.Code(err) != codes.InvalidArgument {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := upload(digest, compressed); err != nil {
		t.Fatal(err)
	}
	download, err := c.stream.Read(t.Context(), &bspb.ReadRequest{ResourceName: Resource{Zstd: true, Digest: digest}.Name(), ReadOffset: 16})
	if err != nil {
		t.Fatal(err)
	}
	var got []byte
	for {
		msg, err := download.Recv()
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

// TestDamagedFilesAreNotServed checks that files which a crash or a faulty disk has changed, truncated or misnamed
// are deleted and not served.
func TestDamagedFilesAreNotServed(t *testing.T) {
	dir := t.TempDir()
	d := openTestDisk(t, dir, 1<<20)
	var digests []Digest
	for i := range 4 {
		content := randomBytes(1000, uint64(i))
		digest := Sum(sha, content)
		if err := d.Put(digest, content); err != nil {
			t.Fatal(err)
		}
		digests = append(digests, digest)
	}
	changed, _ := os.ReadFile(d.path(digests[0]))
	changed[500] ^= 1
	_ = os.WriteFile(d.path(digests[0]), changed, 0o644)
	_ = os.Truncate(d.path(digests[1]), 400)
	_ = os.WriteFile(filepath.Join(dir, "blobs", "sha256", "stray"), []byte("?"), 0o644)
	d = openTestDisk(t, dir, 1<<20)
	for i, digest := range digests {
		_, err := d.Get(digest, 1<<20)
		if damaged := i < 2; damaged != errors.Is(err, ErrNotFound) {
			t.Errorf("blob %d: %v", i, err)
		}
		if _, err := os.Stat(d.path(digest)); i < 2 && err == nil {
			t.Errorf("blob %d is still on the disk", i)
		}
	}
}

// TestEviction checks that the least recently used blobs are evicted, but none that was used within the retention
// time or is being read. A write for which no room can be made is rejected with a retry delay.
func TestEviction(t *testing.T) {
	dir := t.TempDir()
	d, err := Open(dir, 10_000, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Unix(1e9, 0)
	d.now = func() time.Time { return now }
	put := func(i int) (Digest, error) {
		content := randomBytes(3000, uint64(i))
		return Sum(sha, content), d.Put(Sum(sha, content), content)
	}
	var digests []Digest
	for i := range 3 {
		digest, err := put(i)
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, digest)
	}
	if _, err := put(3); !errors.Is(err, ErrFull) {
		t.Errorf("writing while every blob was used recently: %v", err)
	}
	if st := status.Convert(toStatusError(ErrFull)); st.Code() != codes.ResourceExhausted || len(st.Details()) != 1 {
		t.Errorf("status of ErrFull: %v", st)
	}
	now = now.Add(2 * time.Minute)
	d.Has(digests[0])
	in, err := d.Reader(digests[1])
	if err != nil {
		t.Fatal(err)
	}
	now = now.Add(59 * time.Second)
	if _, err := put(4); err != nil { // evicts the third blob, the only one past the retention time
		t.Fatal(err)
	}
	for i, present := range []bool{true, true, false} {
		if d.Has(digests[i]) != present {
			t.Errorf("blob %d: present %v", i, !present)
		}
	}
	now = now.Add(5 * time.Minute)
	if _, err := put(5); err != nil {
		t.Fatal(err)
	}
	if !d.Has(digests[1]) {
		t.Error("a blob was evicted while it was read")
	}
	in.Close()
	if err := d.Put(Sum(sha, randomBytes(20_000, 9)), randomBytes(20_000, 9)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("a blob larger than the store: %v", err)
	}
	small, err := Open(dir, 4000, 0) // reopened with a lower limit
	if err != nil || small.Stats().Bytes > 4000 {
		t.Errorf("%+v, %v", small.Stats(), err)
	}
}

// TestResultRequiresAllOutputs checks that the result of an action is returned only while all its outputs are in the
// store, including the files in output directories.
func TestResultRequiresAllOutputs(t *testing.T) {
	d := openTestDisk(t, t.TempDir(), 1<<20)
	c := newTestClient(t, d, DefaultLimits)
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
		t.Errorf("result read under another instance name: %v", err)
	}
	d.mu.Lock()
	d.remove(deep)
	d.mu.Unlock()
	if _, err := c.Result(ctx, action); status.Code(err) != codes.NotFound {
		t.Errorf("result with a missing file in an output directory: %v", err)
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

// TestTree checks that GetTree sends each directory once, however often it is referenced, and leaves out missing
// ones.
func TestTree(t *testing.T) {
	c := newTestClient(t, openTestDisk(t, t.TempDir(), 16<<20), DefaultLimits)
	ctx := t.Context()
	leaf, _ := c.PutMessage(ctx, sha, &repb.Directory{Files: []*repb.FileNode{{Name: "f", Digest: Sum(sha, []byte("f")).Proto()}}})
	root := &repb.Directory{}
	for i := range 450 {
		sub, _ := c.PutMessage(ctx, sha, &repb.Directory{Directories: []*repb.DirectoryNode{{Name: fmt.Sprint(i), Digest: leaf.Proto()}}})
		root.Directories = append(root.Directories, &repb.DirectoryNode{Name: fmt.Sprintf("%03d", i), Digest: sub.Proto()})
	}
	root.Directories = append(root.Directories, &repb.DirectoryNode{Name: "gone", Digest: Sum(sha, []byte("gone")).Proto()})
	digest, err := c.PutMessage(ctx, sha, root)
	if err != nil {
		t.Fatal(err)
	}
	dirs, err := c.Tree(ctx, digest)
	if err != nil || len(dirs) != 452 || dirs[digest] == nil || dirs[leaf] == nil {
		t.Errorf("%d directories, %v", len(dirs), err)
	}
}

// TestCallLimitRefusesImmediately checks that a call beyond the limit of open calls is rejected with a retry delay.
func TestCallLimitRefusesImmediately(t *testing.T) {
	c := newTestClient(t, openTestDisk(t, t.TempDir(), 1<<20), Limits{Calls: 1, Batch: 1 << 20})
	begin := func() bspb.ByteStream_WriteClient {
		stream, err := c.stream.Write(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		_ = stream.Send(&bspb.WriteRequest{ResourceName: Resource{Upload: "u", Digest: Sum(sha, randomBytes(10, 1))}.Name(), Data: randomBytes(5, 1)})
		return stream
	}
	stream := begin()
	for {
		_, err := c.blobs.FindMissingBlobs(t.Context(), &repb.FindMissingBlobsRequest{})
		if status.Code(err) != codes.ResourceExhausted { // the stream has not arrived yet
			if stream.Context().Err() != nil || stream.Send(&bspb.WriteRequest{WriteOffset: 5}) != nil {
				stream = begin() // the stream was rejected because the other call was open
			}
			continue
		}
		for _, detail := range status.Convert(err).Details() {
			if r, ok := detail.(*errdetails.RetryInfo); ok && r.RetryDelay.AsDuration() > 0 {
				return
			}
		}
		t.Fatalf("rejected without a retry delay: %v", err)
	}
}

// TestClientResumesAfterServerRestart checks that the client completes an upload during which the server is
// restarted.
func TestClientResumesAfterServerRestart(t *testing.T) {
	dir := t.TempDir()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := lis.Addr().String()
	first := NewServer(openTestDisk(t, dir, 64<<20), DefaultLimits, slog.New(slog.DiscardHandler))
	go first.Serve(lis)
	c, err := Dial(addr, "")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	content := randomBytes(8<<20, 4)
	reader := &interruptingReader{Reader: bytes.NewReader(content), at: 3 << 20, interrupt: func() {
		first.Stop()
		newListener, err := net.Listen("tcp", addr)
		if err != nil {
			t.Error(err)
			return
		}
		second := NewServer(openTestDisk(t, dir, 64<<20), DefaultLimits, slog.New(slog.DiscardHandler))
		t.Cleanup(second.Stop)
		go second.Serve(newListener)
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	digest := Sum(sha, content)
	if err := c.upload(ctx, digest, reader); err != nil {
		t.Fatal(err)
	}
	if got, err := c.Get(ctx, digest); err != nil || !bytes.Equal(got, content) {
		t.Errorf("%d bytes, %v", len(got), err)
	}
}

// TestLogs checks that a log is read as it grows, that starting a log of the same name disconnects the readers and
// the writer of the old one, and that readers receive the whole log once it is finished.
func TestLogs(t *testing.T) {
	c := newTestClient(t, openTestDisk(t, t.TempDir(), 1<<20), DefaultLimits)
	ctx := t.Context()
	if _, err := c.FollowLog(ctx, LogName("main", "wk-1/stdout"), &bytes.Buffer{}); status.Code(err) != codes.NotFound {
		t.Errorf("a log that was never started: %v", err)
	}
	type seen struct {
		text string
		err  error
	}
	// follow reads the log until it ends. It closes started once it has read something, so that the test can wait
	// until the reader has opened the intended log.
	follow := func() (result chan seen, started chan struct{}) {
		result, started = make(chan seen, 1), make(chan struct{})
		go func() {
			for {
				out := &firstWriteNotifier{started: started}
				if _, err := c.FollowLog(ctx, LogName("main", "wk-1/stdout"), out); status.Code(err) != codes.NotFound {
					result <- seen{out.String(), err}
					return
				}
			}
		}()
		return result, started
	}
	first, err := c.Log(ctx, "wk-1/stdout")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = first.Write([]byte("one\n"))
	firstReader, started := follow()
	// Otherwise the reader might open the second log, which is finished only after this reader ends.
	<-started
	second, err := c.Log(ctx, "wk-1/stdout") // the command is run again
	if err != nil {
		t.Fatal(err)
	}
	_, _ = second.Write([]byte("two\n"))
	if s := <-firstReader; status.Code(s.err) != codes.Aborted || s.text != "one\n" {
		t.Errorf("%+v", s)
	}
	secondReader, started := follow()
	<-started
	_, _ = second.Write([]byte("three\n"))
	if err := second.Close(); err != nil {
		t.Fatal(err)
	}
	if s := <-secondReader; s.err != nil || s.text != "two\nthree\n" {
		t.Errorf("%+v", s)
	}
	if err := first.Close(); err == nil {
		t.Error("the first log can still be written after the second replaced it")
	}
}

// firstWriteNotifier closes started when something is written to it for the first time.
type firstWriteNotifier struct {
	bytes.Buffer
	started chan struct{}
}

func (w *firstWriteNotifier) Write(p []byte) (int, error) {
	if w.Len() == 0 && len(p) > 0 {
		close(w.started)
	}
	return w.Buffer.Write(p)
}

// interruptingReader calls interrupt once the given number of bytes was read.
type interruptingReader struct {
	*bytes.Reader
	at        int64
	interrupt func()
}

func (s *interruptingReader) Read(p []byte) (int, error) {
	if s.interrupt != nil && s.Size()-int64(s.Len()) >= s.at {
		s.interrupt()
		s.interrupt = nil
	}
	return s.Reader.Read(p)
}

// FuzzResourceNames checks that any resource name or digest is either rejected or survives a round trip, and that no
// name leads to a path outside the store's directory.
func FuzzResourceNames(f *testing.F) {
	digest := Sum(sha, []byte("x"))
	f.Add("main/blobs/" + digest.String())
	f.Add("a/b/uploads/1-2/compressed-blobs/zstd/blake3/" + digest.String() + "/file.o")
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
					t.Errorf("%q leads to %s", name, path)
				}
			}
		}
		if digest, err := DigestFromString(name); err == nil && digest.String() != name {
			t.Errorf("%q became %v", name, digest)
		}
	})
}

// BenchmarkStream writes blobs of 4 MiB through the ByteStream API.
func BenchmarkStream(b *testing.B) {
	c := newTestClient(b, openTestDisk(b, b.TempDir(), 1<<30), DefaultLimits)
	content := randomBytes(4<<20, 1)
	b.SetBytes(int64(len(content)))
	for i := 0; b.Loop(); i++ {
		content[0], content[1], content[2] = byte(i), byte(i>>8), byte(i>>16)
		if _, err := c.Put(b.Context(), sha, content); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFile is the baseline for BenchmarkStream: it writes blobs of the same size to files and computes their
// hashes.
func BenchmarkFile(b *testing.B) {
	dir := b.TempDir()
	content := randomBytes(4<<20, 1)
	b.SetBytes(int64(len(content)))
	for i := 0; b.Loop(); i++ {
		content[0], content[1] = byte(i), byte(i>>8)
		if err := os.WriteFile(filepath.Join(dir, Sum(sha, content).Hash), content, 0o644); err != nil {
			b.Fatal(err)
		}
	}
}
