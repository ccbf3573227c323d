package cas

import (
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// writeLog receives a log through the ByteStream API. A write at offset 0 replaces an earlier log of the same name.
func (s *Server) writeLog(name string, first *bspb.WriteRequest, stream bspb.ByteStream_WriteServer) error {
	if first.WriteOffset != 0 {
		return status.Error(codes.OutOfRange, "write_offset: a log begins at 0")
	}
	file, err := s.disk.logs.create(name)
	if err != nil {
		return toStatusError(err)
	}
	offset := int64(0)
	for msg := first; ; {
		if msg.WriteOffset != offset {
			return status.Errorf(codes.OutOfRange, "write_offset %d: must be %d", msg.WriteOffset, offset)
		}
		offset += int64(len(msg.Data))
		if err := s.disk.logs.appendTo(file, msg.Data, msg.FinishWrite); err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
		if msg.FinishWrite {
			return stream.SendAndClose(&bspb.WriteResponse{CommittedSize: offset})
		}
		if msg, err = stream.Recv(); err != nil {
			_ = s.disk.logs.appendTo(file, nil, true) // the writer has disconnected, so no more data will follow
			return err
		}
	}
}
