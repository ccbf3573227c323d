package peer

import (
	"reflect"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestHeartbeatMapping: each field of a status is sent, and each field of a heartbeat is read.
func TestHeartbeatMapping(t *testing.T) {
	s := goldentest.Filled[Status](t)
	s.Uptime = 7000000000 // it is sent in whole seconds
	h := s.heartbeat()
	h.Stream = "kind" // is the connection's alone
	if zeros := goldentest.Zeros(h); len(zeros) > 0 {
		t.Errorf("not sent: %v", zeros)
	}
	if got := h.status(); !reflect.DeepEqual(got, s) {
		t.Errorf("sent %+v, read %+v", s, got)
	}
}
