package peer

import (
	"reflect"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestHeartbeatMapping checks that the conversion to Heartbeat and back covers every field of both types.
func TestHeartbeatMapping(t *testing.T) {
	s := goldentest.FilledValue[Status](t)
	s.Uptime = 7000000000 // sent in whole seconds
	h := s.heartbeat()
	h.Stream = "kind" // set by OpenStream, not part of a status
	if zeros := goldentest.Zeros(h); len(zeros) > 0 {
		t.Errorf("not sent: %v", zeros)
	}
	if got := h.status(); !reflect.DeepEqual(got, s) {
		t.Errorf("sent %+v, read %+v", s, got)
	}
}
