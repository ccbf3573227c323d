package cas

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"time"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/bazelbuild/remote-apis/build/bazel/semver"
	"github.com/klauspost/compress/zstd"
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	spb "google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Limits bounds what a server takes at once.
type Limits struct {
	Calls int   // open calls and streams; more are refused at once
	Batch int64 // bytes of a BatchRead or BatchUpdate
}

// DefaultLimits is used where nothing else is said.
var DefaultLimits = Limits{Calls: 1000, Batch: 4 << 20}

// chunkBytes is how much of a blob goes into one message.
const chunkBytes = 256 << 10

// Server serves a Disk through the Remote Execution API.
type Server struct {
	repb.UnimplementedContentAddressableStorageServer
	repb.UnimplementedActionCacheServer
	repb.UnimplementedCapabilitiesServer
	bspb.UnimplementedByteStreamServer
	disk   *Disk
	limits Limits
	log    *slog.Logger
}

// NewServer gives a gRPC server of a disk, with health and reflection.
func NewServer(d *Disk, l Limits, log *slog.Logger) *grpc.Server {
	s := &Server{disk: d, limits: l, log: log}
	g := grpc.NewServer(append(LimitCalls(l.Calls), grpc.MaxRecvMsgSize(int(l.Batch)+1<<20))...)
	repb.RegisterContentAddressableStorageServer(g, s)
	repb.RegisterActionCacheServer(g, s)
	repb.RegisterCapabilitiesServer(g, s)
	bspb.RegisterByteStreamServer(g, s)
	healthpb.RegisterHealthServer(g, health.NewServer())
	reflection.Register(g)
	return g
}

// LimitCalls refuses calls beyond a number of open ones, at once and with when to come
// back: none is held back.
func LimitCalls(calls int) []grpc.ServerOption {
	open := make(chan struct{}, calls)
	enter := func() (func(), error) {
		select {
		case open <- struct{}{}:
			return func() { <-open }, nil
		default:
			return nil, Busy("too many open calls", time.Second)
		}
	}
	return []grpc.ServerOption{
		grpc.UnaryInterceptor(func(ctx context.Context, req any, _ *grpc.UnaryServerInfo, h grpc.UnaryHandler) (any, error) {
			leave, err := enter()
			if err != nil {
				return nil, err
			}
			defer leave()
			return h(ctx, req)
		}),
		grpc.StreamInterceptor(func(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, h grpc.StreamHandler) error {
			leave, err := enter()
			if err != nil {
				return err
			}
			defer leave()
			return h(srv, ss)
		}),
	}
}

// Busy is the answer to a call that there is no room for now.
func Busy(why string, after time.Duration) error {
	st := status.New(codes.ResourceExhausted, why)
	if with, err := st.WithDetails(&errdetails.RetryInfo{RetryDelay: durationpb.New(after)}); err == nil {
		st = with
	}
	return st.Err()
}

// asStatus gives an error the code that the API has for it.
func asStatus(err error) error {
	if err == nil {
		return nil
	}
	if _, ok := status.FromError(err); ok {
		return err
	}
	code := codes.Internal
	switch {
	case errors.Is(err, ErrNotFound):
		code = codes.NotFound
	case errors.Is(err, ErrBadDigest), errors.Is(err, ErrWrongContent), errors.Is(err, ErrTooLarge):
		code = codes.InvalidArgument
	case errors.Is(err, ErrFull):
		return Busy(err.Error(), 10*time.Second)
	case errors.Is(err, ErrBusy):
		code = codes.Unavailable
	case errors.Is(err, context.Canceled):
		code = codes.Canceled
	case errors.Is(err, context.DeadlineExceeded):
		code = codes.DeadlineExceeded
	}
	return status.Error(code, err.Error())
}

// statusOf gives an error as it stands in the answer to a batch.
func statusOf(err error) *spb.Status {
	if err == nil {
		return &spb.Status{}
	}
	return status.Convert(asStatus(err)).Proto()
}

// CacheCapabilities tells what is served.
func CacheCapabilities(l Limits) *repb.CacheCapabilities {
	return &repb.CacheCapabilities{
		DigestFunctions:                 Functions,
		ActionCacheUpdateCapabilities:   &repb.ActionCacheUpdateCapabilities{UpdateEnabled: true},
		MaxBatchTotalSizeBytes:          l.Batch,
		SymlinkAbsolutePathStrategy:     repb.SymlinkAbsolutePathStrategy_DISALLOWED,
		SupportedCompressors:            []repb.Compressor_Value{repb.Compressor_ZSTD},
		SupportedBatchUpdateCompressors: []repb.Compressor_Value{repb.Compressor_ZSTD},
	}
}

// WithVersions of the API that are served.
func WithVersions(c *repb.ServerCapabilities) *repb.ServerCapabilities {
	c.LowApiVersion, c.HighApiVersion = &semver.SemVer{Major: 2}, &semver.SemVer{Major: 2, Minor: 3}
	return c
}

// GetCapabilities implements the API.
func (s *Server) GetCapabilities(context.Context, *repb.GetCapabilitiesRequest) (*repb.ServerCapabilities, error) {
	return WithVersions(&repb.ServerCapabilities{CacheCapabilities: CacheCapabilities(s.limits)}), nil
}

// FindMissingBlobs implements the API. What is here counts as used.
func (s *Server) FindMissingBlobs(_ context.Context, r *repb.FindMissingBlobsRequest) (*repb.FindMissingBlobsResponse, error) {
	out := &repb.FindMissingBlobsResponse{}
	for _, p := range r.BlobDigests {
		g, err := ParseDigest(r.DigestFunction, p)
		if err != nil {
			return nil, asStatus(err)
		}
		if !s.disk.Has(g) {
			out.MissingBlobDigests = append(out.MissingBlobDigests, p)
		}
	}
	return out, nil
}

// BatchUpdateBlobs implements the API.
func (s *Server) BatchUpdateBlobs(_ context.Context, r *repb.BatchUpdateBlobsRequest) (*repb.BatchUpdateBlobsResponse, error) {
	out, sum := &repb.BatchUpdateBlobsResponse{}, int64(0)
	for _, b := range r.Requests {
		if sum += max(int64(len(b.Data)), b.GetDigest().GetSizeBytes()); sum > s.limits.Batch {
			return nil, status.Errorf(codes.InvalidArgument, "the batch is larger than max_batch_total_size_bytes, %d", s.limits.Batch)
		}
	}
	for _, b := range r.Requests {
		err := s.update(r.DigestFunction, b)
		out.Responses = append(out.Responses, &repb.BatchUpdateBlobsResponse_Response{Digest: b.Digest, Status: statusOf(err)})
	}
	return out, nil
}

func (s *Server) update(f Function, b *repb.BatchUpdateBlobsRequest_Request) error {
	g, err := ParseDigest(f, b.Digest)
	if err != nil {
		return err
	}
	data := b.Data
	switch b.Compressor {
	case repb.Compressor_IDENTITY:
	case repb.Compressor_ZSTD:
		if data, err = unzstd(data, g.Size); err != nil {
			return err
		}
	default:
		return status.Errorf(codes.InvalidArgument, "compressor %v: must be ZSTD or none", b.Compressor)
	}
	return s.disk.Put(g, data)
}

// unzstd unpacks to exactly size bytes.
func unzstd(data []byte, size int64) ([]byte, error) {
	z, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(uint64(max(size, 1<<10))))
	if err != nil {
		return nil, err
	}
	defer z.Close()
	out, err := z.DecodeAll(data, nil)
	if err != nil || int64(len(out)) != size {
		return nil, errors.Join(ErrWrongContent, err)
	}
	return out, nil
}

// BatchReadBlobs implements the API.
func (s *Server) BatchReadBlobs(_ context.Context, r *repb.BatchReadBlobsRequest) (*repb.BatchReadBlobsResponse, error) {
	out, sum := &repb.BatchReadBlobsResponse{}, int64(0)
	for _, p := range r.Digests {
		if sum += p.GetSizeBytes(); sum > s.limits.Batch {
			return nil, status.Errorf(codes.InvalidArgument, "the batch is larger than max_batch_total_size_bytes, %d", s.limits.Batch)
		}
	}
	for _, p := range r.Digests {
		g, err := ParseDigest(r.DigestFunction, p)
		var data []byte
		if err == nil {
			data, err = s.disk.Get(g, s.limits.Batch)
		}
		out.Responses = append(out.Responses, &repb.BatchReadBlobsResponse_Response{Digest: p, Data: data, Status: statusOf(err)})
	}
	return out, nil
}

// treePageSize is how many directories go into one message of GetTree.
const treePageSize = 200

// GetTree implements the API. Directories are given once each, in the order in
// which they are first met; one that is missing is left out. The files that they
// name count as used. Page tokens are not made: a tree comes in one stream.
func (s *Server) GetTree(r *repb.GetTreeRequest, out grpc.ServerStreamingServer[repb.GetTreeResponse]) error {
	root, err := ParseDigest(r.DigestFunction, r.RootDigest)
	if err != nil {
		return asStatus(err)
	}
	if !s.disk.Has(root) {
		return asStatus(ErrNotFound)
	}
	seen := map[Digest]bool{root: true}
	page := &repb.GetTreeResponse{}
	for queue := []Digest{root}; len(queue) > 0; queue = queue[1:] {
		raw, err := s.disk.Get(queue[0], maxMessage)
		var dir repb.Directory
		if err != nil || proto.Unmarshal(raw, &dir) != nil {
			continue
		}
		for _, f := range dir.Files {
			if g, err := ParseDigest(r.DigestFunction, f.Digest); err == nil {
				s.disk.Has(g)
			}
		}
		for _, sub := range dir.Directories {
			if g, err := ParseDigest(r.DigestFunction, sub.Digest); err == nil && !seen[g] {
				seen[g] = true
				queue = append(queue, g)
			}
		}
		if page.Directories = append(page.Directories, &dir); len(page.Directories) == treePageSize {
			if err := out.Send(page); err != nil {
				return err
			}
			page = &repb.GetTreeResponse{}
		}
	}
	return out.Send(page)
}

// GetActionResult implements the API.
func (s *Server) GetActionResult(_ context.Context, r *repb.GetActionResultRequest) (*repb.ActionResult, error) {
	g, err := ParseDigest(r.DigestFunction, r.ActionDigest)
	if err != nil {
		return nil, asStatus(err)
	}
	res, err := s.disk.Result(r.InstanceName, g)
	return res, asStatus(err)
}

// UpdateActionResult implements the API. A result of which a blob is missing is
// refused: it would never be served.
func (s *Server) UpdateActionResult(_ context.Context, r *repb.UpdateActionResultRequest) (*repb.ActionResult, error) {
	g, err := ParseDigest(r.DigestFunction, r.ActionDigest)
	if err != nil {
		return nil, asStatus(err)
	}
	if r.ActionResult == nil {
		return nil, status.Error(codes.InvalidArgument, "action_result: missing")
	}
	if lost := s.disk.MissingOutput(g.Function, r.ActionResult); lost != nil {
		return nil, status.Errorf(codes.FailedPrecondition, "output %v is not in the store", lost)
	}
	return r.ActionResult, asStatus(s.disk.PutResult(r.InstanceName, g, r.ActionResult))
}

// Read implements ByteStream.
func (s *Server) Read(r *bspb.ReadRequest, out bspb.ByteStream_ReadServer) error {
	if name, ok := parseLog(r.ResourceName); ok {
		if r.ReadOffset < 0 || r.ReadLimit != 0 {
			return status.Error(codes.OutOfRange, "a log is read from an offset of 0 or more, without a limit")
		}
		return asStatus(s.disk.logs.follow(out.Context(), name, r.ReadOffset, &streamWriter{out: out}))
	}
	res, err := ParseResource(r.ResourceName)
	if err != nil || res.Upload != "" {
		return status.Errorf(codes.InvalidArgument, "%v", err)
	}
	size := res.Digest.Size
	if r.ReadOffset < 0 || r.ReadOffset > size || r.ReadLimit < 0 || res.Zstd && r.ReadLimit > 0 {
		return status.Errorf(codes.OutOfRange, "offset %d, limit %d of %d bytes", r.ReadOffset, r.ReadLimit, size)
	}
	in, err := s.disk.Reader(res.Digest)
	if err != nil {
		return asStatus(err)
	}
	defer in.Close()
	if _, err := in.Seek(r.ReadOffset, io.SeekStart); err != nil {
		return asStatus(err)
	}
	left := size - r.ReadOffset
	if r.ReadLimit > 0 {
		left = min(left, r.ReadLimit)
	}
	to := &streamWriter{out: out}
	if !res.Zstd {
		_, err = io.CopyBuffer(struct{ io.Writer }{to}, io.LimitReader(in, left), make([]byte, chunkBytes))
		return asStatus(err)
	}
	z, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return asStatus(err)
	}
	_, err = io.CopyBuffer(struct{ io.Writer }{z}, io.LimitReader(in, left), make([]byte, chunkBytes))
	return asStatus(errors.Join(err, z.Close()))
}

// streamWriter sends what is written to it in messages of a bounded size.
type streamWriter struct {
	out bspb.ByteStream_ReadServer
}

func (s *streamWriter) Write(p []byte) (int, error) {
	n := 0
	for len(p) > 0 {
		part := p[:min(len(p), chunkBytes)]
		if err := s.out.Send(&bspb.ReadResponse{Data: part}); err != nil {
			return n, err
		}
		n += len(part)
		p = p[len(part):]
	}
	return n, nil
}

// QueryWriteStatus implements ByteStream.
func (s *Server) QueryWriteStatus(_ context.Context, r *bspb.QueryWriteStatusRequest) (*bspb.QueryWriteStatusResponse, error) {
	res, err := ParseResource(r.ResourceName)
	if err != nil || res.Upload == "" {
		return nil, status.Errorf(codes.InvalidArgument, "not the name of an upload: %v", err)
	}
	if s.disk.Has(res.Digest) {
		return &bspb.QueryWriteStatusResponse{CommittedSize: res.Digest.Size, Complete: true}, nil
	}
	n, ok := s.disk.Uploaded(res.Digest, res.Upload)
	if !ok || res.Zstd { // a compressed upload begins anew
		return nil, status.Error(codes.NotFound, "no such upload")
	}
	return &bspb.QueryWriteStatusResponse{CommittedSize: n}, nil
}

// Write implements ByteStream. An upload that was broken off goes on at the offset
// that QueryWriteStatus tells.
func (s *Server) Write(in bspb.ByteStream_WriteServer) error {
	first, err := in.Recv()
	if err != nil {
		return err
	}
	if name, ok := parseLog(first.ResourceName); ok {
		return s.writeLog(name, first, in)
	}
	res, err := ParseResource(first.ResourceName)
	if err != nil || res.Upload == "" {
		return status.Errorf(codes.InvalidArgument, "not the name of an upload: %v", err)
	}
	if s.disk.Has(res.Digest) {
		n := res.Digest.Size
		if res.Zstd {
			n = -1 // as the API has it
		}
		return in.SendAndClose(&bspb.WriteResponse{CommittedSize: n})
	}
	id := res.Upload
	if res.Zstd {
		id = ""
	}
	w, err := s.disk.Writer(res.Digest, id)
	if err != nil {
		return asStatus(err)
	}
	defer w.Close()
	msgs := &uploadReader{in: in, next: first, name: first.ResourceName, at: w.Size()}
	if res.Zstd {
		msgs.at = 0
		err = decompressTo(w, msgs)
	} else {
		_, err = io.Copy(w, msgs)
	}
	if err != nil {
		return asStatus(err)
	}
	if err := w.Commit(); err != nil {
		return asStatus(err)
	}
	return in.SendAndClose(&bspb.WriteResponse{CommittedSize: msgs.at})
}

func decompressTo(w io.Writer, r io.Reader) error {
	z, err := zstd.NewReader(r, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(64<<20))
	if err != nil {
		return err
	}
	defer z.Close()
	if _, err = io.Copy(w, z); err != nil && status.Code(err) == codes.Unknown && !errors.Is(err, ErrWrongContent) {
		err = errors.Join(ErrWrongContent, err)
	}
	return err
}

// uploadReader reads the data of an upload's messages, in order.
type uploadReader struct {
	in   bspb.ByteStream_WriteServer
	next *bspb.WriteRequest
	name string
	at   int64
}

func (m *uploadReader) Read(p []byte) (int, error) {
	for m.next == nil || len(m.next.Data) == 0 {
		if m.next != nil {
			if err := m.check(); err != nil {
				return 0, err
			}
			if m.next.FinishWrite {
				return 0, io.EOF
			}
		}
		msg, err := m.in.Recv()
		if errors.Is(err, io.EOF) {
			return 0, status.Error(codes.InvalidArgument, "the upload ended without finish_write; go on with it from where it is")
		}
		if err != nil {
			return 0, err
		}
		m.next = msg
	}
	if err := m.check(); err != nil {
		return 0, err
	}
	n := copy(p, m.next.Data)
	m.next.Data = m.next.Data[n:]
	m.next.WriteOffset += int64(n)
	m.at += int64(n)
	return n, nil
}

// check compares a message with what came before it.
func (m *uploadReader) check() error {
	if m.next.ResourceName != "" && m.next.ResourceName != m.name {
		return status.Errorf(codes.InvalidArgument, "resource name %q: the upload began as %q", m.next.ResourceName, m.name)
	}
	if m.next.WriteOffset != m.at {
		return status.Errorf(codes.OutOfRange, "write_offset %d: must be %d", m.next.WriteOffset, m.at)
	}
	return nil
}
