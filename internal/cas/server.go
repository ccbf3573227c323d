package cas

import (
	"context"
	"errors"
	"log/slog"

	repb "github.com/bazelbuild/remote-apis/build/bazel/remote/execution/v2"
	"github.com/bazelbuild/remote-apis/build/bazel/semver"
	"github.com/klauspost/compress/zstd"
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

// chunkBytes is the maximum size of the data in one message of a stream.
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

// NewServer returns a gRPC server for a Disk, with the health and reflection services.
func NewServer(d *Disk, l Limits, log *slog.Logger) *grpc.Server {
	s := &Server{disk: d, limits: l, log: log}
	server := grpc.NewServer(append(LimitCalls(l.Calls), grpc.MaxRecvMsgSize(int(l.Batch)+1<<20))...)
	repb.RegisterContentAddressableStorageServer(server, s)
	repb.RegisterActionCacheServer(server, s)
	repb.RegisterCapabilitiesServer(server, s)
	bspb.RegisterByteStreamServer(server, s)
	healthpb.RegisterHealthServer(server, health.NewServer())
	reflection.Register(server)
	return server
}

// CacheCapabilities returns the cache capabilities of a store with the given limits.
func CacheCapabilities(l Limits) *repb.CacheCapabilities {
	return &repb.CacheCapabilities{
		DigestFunctions:                 DigestFunctions,
		ActionCacheUpdateCapabilities:   &repb.ActionCacheUpdateCapabilities{UpdateEnabled: true},
		MaxBatchTotalSizeBytes:          l.Batch,
		SymlinkAbsolutePathStrategy:     repb.SymlinkAbsolutePathStrategy_DISALLOWED,
		SupportedCompressors:            []repb.Compressor_Value{repb.Compressor_ZSTD},
		SupportedBatchUpdateCompressors: []repb.Compressor_Value{repb.Compressor_ZSTD},
	}
}

// WithVersions sets the supported range of API versions.
func WithVersions(c *repb.ServerCapabilities) *repb.ServerCapabilities {
	c.LowApiVersion, c.HighApiVersion = &semver.SemVer{Major: 2}, &semver.SemVer{Major: 2, Minor: 3}
	return c
}

// GetCapabilities implements the Capabilities service.
func (s *Server) GetCapabilities(context.Context, *repb.GetCapabilitiesRequest) (*repb.ServerCapabilities, error) {
	return WithVersions(&repb.ServerCapabilities{CacheCapabilities: CacheCapabilities(s.limits)}), nil
}

// FindMissingBlobs implements the ContentAddressableStorage service. It records a use of each blob that is present.
func (s *Server) FindMissingBlobs(_ context.Context, r *repb.FindMissingBlobsRequest) (*repb.FindMissingBlobsResponse, error) {
	out := &repb.FindMissingBlobsResponse{}
	for _, p := range r.BlobDigests {
		digest, err := ParseDigest(r.DigestFunction, p)
		if err != nil {
			return nil, toStatusError(err)
		}
		if !s.disk.Has(digest) {
			out.MissingBlobDigests = append(out.MissingBlobDigests, p)
		}
	}
	return out, nil
}

// BatchUpdateBlobs implements the ContentAddressableStorage service.
func (s *Server) BatchUpdateBlobs(_ context.Context, r *repb.BatchUpdateBlobsRequest) (*repb.BatchUpdateBlobsResponse, error) {
	out, total := &repb.BatchUpdateBlobsResponse{}, int64(0)
	for _, b := range r.Requests {
		if total += max(int64(len(b.Data)), b.GetDigest().GetSizeBytes()); total > s.limits.Batch {
			return nil, status.Errorf(codes.InvalidArgument, "the batch is larger than max_batch_total_size_bytes, %d", s.limits.Batch)
		}
	}
	for _, b := range r.Requests {
		err := s.update(r.DigestFunction, b)
		out.Responses = append(out.Responses, &repb.BatchUpdateBlobsResponse_Response{Digest: b.Digest, Status: toStatusProto(err)})
	}
	return out, nil
}

// update stores one blob of a batch.
func (s *Server) update(f DigestFunction, b *repb.BatchUpdateBlobsRequest_Request) error {
	digest, err := ParseDigest(f, b.Digest)
	if err != nil {
		return err
	}
	data := b.Data
	switch b.Compressor {
	case repb.Compressor_IDENTITY:
	case repb.Compressor_ZSTD:
		if data, err = decompress(data, digest.Size); err != nil {
			return err
		}
	default:
		return status.Errorf(codes.InvalidArgument, "compressor %v: must be ZSTD or none", b.Compressor)
	}
	return s.disk.Put(digest, data)
}

// decompress decompresses zstd data, and returns ErrWrongContent unless the result has exactly size bytes.
func decompress(data []byte, size int64) ([]byte, error) {
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

// BatchReadBlobs implements the ContentAddressableStorage service.
func (s *Server) BatchReadBlobs(_ context.Context, r *repb.BatchReadBlobsRequest) (*repb.BatchReadBlobsResponse, error) {
	out, total := &repb.BatchReadBlobsResponse{}, int64(0)
	for _, p := range r.Digests {
		if total += p.GetSizeBytes(); total > s.limits.Batch {
			return nil, status.Errorf(codes.InvalidArgument, "the batch is larger than max_batch_total_size_bytes, %d", s.limits.Batch)
		}
	}
	for _, p := range r.Digests {
		digest, err := ParseDigest(r.DigestFunction, p)
		var data []byte
		if err == nil {
			data, err = s.disk.Get(digest, s.limits.Batch)
		}
		out.Responses = append(out.Responses, &repb.BatchReadBlobsResponse_Response{Digest: p, Data: data, Status: toStatusProto(err)})
	}
	return out, nil
}

// treePageSize is the number of directories in one message of GetTree.
const treePageSize = 200

// GetTree implements the ContentAddressableStorage service. It sends each directory once, in breadth-first order, and
// leaves out missing ones. It records a use of all files in the tree. Page tokens are not supported, because a whole
// tree is sent in one stream.
func (s *Server) GetTree(r *repb.GetTreeRequest, stream grpc.ServerStreamingServer[repb.GetTreeResponse]) error {
	root, err := ParseDigest(r.DigestFunction, r.RootDigest)
	if err != nil {
		return toStatusError(err)
	}
	if !s.disk.Has(root) {
		return toStatusError(ErrNotFound)
	}
	seen := map[Digest]bool{root: true}
	page := &repb.GetTreeResponse{}
	for queue := []Digest{root}; len(queue) > 0; queue = queue[1:] {
		dir := s.directory(queue[0])
		if dir == nil {
			continue
		}
		queue = append(queue, unseenSubdirectories(r.DigestFunction, dir, seen)...)
		page.Directories = append(page.Directories, dir)
		if len(page.Directories) < treePageSize {
			continue
		}
		if err := stream.Send(page); err != nil {
			return err
		}
		page = &repb.GetTreeResponse{}
	}
	return stream.Send(page)
}

// unseenSubdirectories returns the digests of subdirectories that are not in seen yet, and adds them to seen. It
// skips malformed digests.
func unseenSubdirectories(f DigestFunction, dir *repb.Directory, seen map[Digest]bool) []Digest {
	var unseen []Digest
	for _, sub := range dir.Directories {
		if digest, err := ParseDigest(f, sub.Digest); err == nil && !seen[digest] {
			seen[digest] = true
			unseen = append(unseen, digest)
		}
	}
	return unseen
}

// directory reads a directory, or returns nil if it is missing or malformed. It records a use of the directory's
// files.
func (s *Server) directory(digest Digest) *repb.Directory {
	raw, err := s.disk.Get(digest, maxMessageBytes)
	var dir repb.Directory
	if err != nil || proto.Unmarshal(raw, &dir) != nil {
		return nil
	}
	for _, f := range dir.Files {
		if file, err := ParseDigest(digest.Function, f.Digest); err == nil {
			s.disk.Has(file)
		}
	}
	return &dir
}

// GetActionResult implements the ActionCache service.
func (s *Server) GetActionResult(_ context.Context, r *repb.GetActionResultRequest) (*repb.ActionResult, error) {
	digest, err := ParseDigest(r.DigestFunction, r.ActionDigest)
	if err != nil {
		return nil, toStatusError(err)
	}
	res, err := s.disk.Result(r.InstanceName, digest)
	return res, toStatusError(err)
}

// UpdateActionResult implements the ActionCache service. It rejects a result with a missing output, because
// GetActionResult would never return it.
func (s *Server) UpdateActionResult(_ context.Context, r *repb.UpdateActionResultRequest) (*repb.ActionResult, error) {
	digest, err := ParseDigest(r.DigestFunction, r.ActionDigest)
	if err != nil {
		return nil, toStatusError(err)
	}
	if r.ActionResult == nil {
		return nil, status.Error(codes.InvalidArgument, "action_result: missing")
	}
	if missing := s.disk.MissingOutput(digest.Function, r.ActionResult); missing != nil {
		return nil, status.Errorf(codes.FailedPrecondition, "output %v is not in the store", missing)
	}
	return r.ActionResult, toStatusError(s.disk.PutResult(r.InstanceName, digest, r.ActionResult))
}
