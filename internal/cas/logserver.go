package cas

import (
	bspb "google.golang.org/genproto/googleapis/bytestream"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// writeLog receives a log by ByteStream. A write at offset 0 replaces an earlier log.
func (s *Server) writeLog(name string, first *bspb.WriteRequest, in bspb.ByteStream_WriteServer) error {
	if first.WriteOffset != 0 {
		return status.Error(codes.OutOfRange, "write_offset: a log begins at 0")
	}
	g, err := s.disk.logs.create(name)
	if err != nil {
		return asStatus(err)
	}
	at := int64(0)
	for msg := first; ; {
		if msg.WriteOffset != at {
			return status.Errorf(codes.OutOfRange, "write_offset %d: must be %d", msg.WriteOffset, at)
		}
		at += int64(len(msg.Data))
		if err := s.disk.logs.appendTo(g, msg.Data, msg.FinishWrite); err != nil {
			return status.Error(codes.Aborted, err.Error())
		}
		if msg.FinishWrite {
			return in.SendAndClose(&bspb.WriteResponse{CommittedSize: at})
		}
		if msg, err = in.Recv(); err != nil {
			_ = s.disk.logs.appendTo(g, nil, true) // its writer is gone: the readers have all there will be
			return err
		}
	}
}
