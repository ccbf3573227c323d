package simulator

import (
	"context"
	"errors"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// TestDelayedTransactions checks that a delayed transaction gets no answer and is carried out 2 to 12 s
// later, after a newer one; that it changes nothing if its condition no longer holds; and that a
// transaction of which only the answer is lost is carried out at once.
func TestDelayedTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, s := NewNetwork(), NewStateService(1, 0)
		ctx, stop := context.WithCancel(t.Context())
		go n.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, s.Serve())
		time.Sleep(time.Second)
		put := func(key string, version uint64) (int, error) {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			resp, err := (&transport.Client{MaxBody: 1 << 20, Dial: n.Host("10.0.0.1").Dial}).Call(ctx, "10.2.0.1:2379", "POST", wire.PathTxn,
				wire.Encode(wire.Txn{If: []wire.Condition{{Key: key, Version: version}}, Then: []wire.Operation{{Put: key, Value: "x"}}}))
			if err != nil {
				return 0, err
			}
			return resp.Status, nil
		}
		s.Configure(func(s *StateService) { s.DelayedShare = 1 })
		for _, key := range []string{"a", "b"} {
			if status, err := put(key, 0); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("%s was answered %d, %v", key, status, err)
			}
		}
		if items := s.Page("", "", 0).Items; len(items) > 0 {
			t.Errorf("carried out at once: %v", items)
		}
		s.Configure(func(s *StateService) { s.DelayedShare = 0 })
		if status, err := put("a", 0); status != 200 {
			t.Errorf("a newer transaction was answered %d, %v", status, err)
		}
		s.Configure(func(s *StateService) { s.LostReplyShare = 1 })
		if status, err := put("c", 0); !errors.Is(err, os.ErrDeadlineExceeded) || len(s.Page("c", "", 0).Items) != 1 || s.LostReplyCount() != 1 {
			t.Errorf("a transaction whose answer is to be lost was answered %d, %v", status, err)
		}
		s.Configure(func(s *StateService) { s.LostReplyShare = 0 })
		time.Sleep(12 * time.Second)
		items := s.Page("", "", 0).Items
		if delayed, committed := s.DelayedCounts(); delayed != 2 || committed != 1 || len(items) != 3 || items[0].Version != 1 || items[1].Version != 3 {
			t.Errorf("%d delayed, %d of them committed, %v", delayed, committed, items)
		}
		stop()
		n.Close()
		time.Sleep(time.Minute)
	})
}
