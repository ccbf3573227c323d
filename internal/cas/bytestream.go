package cas

import (
	"context"
	"errors"
	"io"

	"github.com/klauspost/compress/zstd"
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Read implements the ByteStream API for blobs and logs.
func (s *Server) Read(r *bspb.ReadRequest, stream bspb.ByteStream_ReadServer) error {
	if name, ok := parseLog(r.ResourceName); ok {
		if r.ReadOffset < 0 || r.ReadLimit != 0 {
			return status.Error(codes.OutOfRange, "a log is read from an offset of 0 or more, without a limit")
		}
		return toStatusError(s.disk.logs.follow(stream.Context(), name, r.ReadOffset, &streamWriter{stream: stream}))
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
		return toStatusError(err)
	}
	defer in.Close()
	if _, err := in.Seek(r.ReadOffset, io.SeekStart); err != nil {
		return toStatusError(err)
	}
	left := size - r.ReadOffset
	if r.ReadLimit > 0 {
		left = min(left, r.ReadLimit)
	}
	to := &streamWriter{stream: stream}
	if res.Zstd {
		return toStatusError(copyCompressed(to, io.LimitReader(in, left)))
	}
	return toStatusError(copyChunks(to, io.LimitReader(in, left)))
}

// copyChunks copies in chunks of chunkBytes. It hides the destination's ReadFrom method, if there is one, because
// that would choose its own chunk size.
func copyChunks(to io.Writer, from io.Reader) error {
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, from, make([]byte, chunkBytes))
	return err
}

// copyCompressed copies from a reader and compresses the data with zstd.
func copyCompressed(to io.Writer, from io.Reader) error {
	z, err := zstd.NewWriter(to, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest))
	if err != nil {
		return err
	}
	return errors.Join(copyChunks(z, from), z.Close())
}

// streamWriter is an io.Writer that sends data as ReadResponse messages of bounded size.
type streamWriter struct {
	stream bspb.ByteStream_ReadServer
}

// Write sends p in messages of at most chunkBytes.
func (s *streamWriter) Write(p []byte) (int, error) {
	n := 0
	for len(p) > 0 {
		part := p[:min(len(p), chunkBytes)]
		if err := s.stream.Send(&bspb.ReadResponse{Data: part}); err != nil {
			return n, err
		}
		n += len(part)
		p = p[len(part):]
	}
	return n, nil
}

// QueryWriteStatus implements the ByteStream API.
func (s *Server) QueryWriteStatus(_ context.Context, r *bspb.QueryWriteStatusRequest) (*bspb.QueryWriteStatusResponse, error) {
	res, err := ParseResource(r.ResourceName)
	if err != nil || res.Upload == "" {
		return nil, status.Errorf(codes.InvalidArgument, "not the name of an upload: %v", err)
	}
	if s.disk.Has(res.Digest) {
		return &bspb.QueryWriteStatusResponse{CommittedSize: res.Digest.Size, Complete: true}, nil
	}
	n, ok := s.disk.Uploaded(res.Digest, res.Upload)
	if !ok || res.Zstd { // a compressed upload can't be resumed
		return nil, status.Error(codes.NotFound, "no such upload")
	}
	return &bspb.QueryWriteStatusResponse{CommittedSize: n}, nil
}

// Write implements the ByteStream API for blobs and logs. A client resumes an interrupted upload at the offset that
// QueryWriteStatus returns.
func (s *Server) Write(stream bspb.ByteStream_WriteServer) error {
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if name, ok := parseLog(first.ResourceName); ok {
		return s.writeLog(name, first, stream)
	}
	res, err := ParseResource(first.ResourceName)
	if err != nil || res.Upload == "" {
		return status.Errorf(codes.InvalidArgument, "not the name of an upload: %v", err)
	}
	if s.disk.Has(res.Digest) {
		n := res.Digest.Size
		if res.Zstd {
			n = -1 // the API requires this for compressed uploads
		}
		return stream.SendAndClose(&bspb.WriteResponse{CommittedSize: n})
	}
	id := res.Upload
	if res.Zstd {
		id = ""
	}
	w, err := s.disk.Writer(res.Digest, id)
	if err != nil {
		return toStatusError(err)
	}
	defer w.Close()
	msgs := &uploadReader{stream: stream, next: first, resourceName: first.ResourceName, offset: w.Size()}
	if res.Zstd {
		msgs.offset = 0
		err = decompressTo(w, msgs)
	} else {
		_, err = io.Copy(w, msgs)
	}
	if err != nil {
		return toStatusError(err)
	}
	if err := w.Commit(); err != nil {
		return toStatusError(err)
	}
	return stream.SendAndClose(&bspb.WriteResponse{CommittedSize: msgs.offset})
}

// decompressTo copies from a reader and decompresses the data with zstd. It returns ErrWrongContent for malformed
// data.
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

// uploadReader is an io.Reader of the data in an upload's messages. It checks that the messages are contiguous.
type uploadReader struct {
	stream       bspb.ByteStream_WriteServer
	next         *bspb.WriteRequest
	resourceName string
	offset       int64
}

// Read returns data of the current or the next message, and io.EOF after the message that finishes the upload.
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
		msg, err := m.stream.Recv()
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
	m.offset += int64(n)
	return n, nil
}

// check verifies that the next message belongs to the same upload and starts where the previous one ended.
func (m *uploadReader) check() error {
	if m.next.ResourceName != "" && m.next.ResourceName != m.resourceName {
		return status.Errorf(codes.InvalidArgument, "resource name %q: the upload began as %q", m.next.ResourceName, m.resourceName)
	}
	if m.next.WriteOffset != m.offset {
		return status.Errorf(codes.OutOfRange, "write_offset %d: must be %d", m.next.WriteOffset, m.offset)
	}
	return nil
}
