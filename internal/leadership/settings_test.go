package leadership

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/fleet"
	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/wire"
)

// TestDelayedTiersChangeIsRejected delays a transaction that changes the tiers. Before it is applied the settings have
// been changed back, and other controllers have resharded the fleet and led shards that the transaction has no
// condition on. It must be rejected, or two leaders would use different tiers.
func TestDelayedTiersChangeIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		net, service, log := simulator.NewNetwork(), simulator.NewStateService(1, 0), slog.New(slog.NewTextHandler(io.Discard, nil))
		go net.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, service.Serve())
		synctest.Wait()
		service.Commit(wire.Txn{Then: []wire.Operation{{Put: store.FencingTokenKey, Value: uint64(4)}}})
		client, view := store.NewClient(net.Host("10.0.0.1"), "10.2.0.1:2379", 100, 100, store.EvenAllowance(1), log), store.NewView(log)
		gate := &SettingsGate{Sharding: fleet.SingleShard(), TiersDigest: "new", State: State{Client: client, View: view, Follow: store.NewFollower(client, view, log)},
			Log: log, Mismatch: func() (string, bool) { return "", true }}
		go gate.State.Follow.Run(ctx)
		go gate.State.Follow.RunBarriers(ctx)
		time.Sleep(time.Second)
		service.Configure(func(service *simulator.StateService) {
			service.HoldTxn = func(puts []string) bool { return len(puts) == 1 && puts[0] == store.TiersKey }
		})
		if _, matches := gate.tiersCondition(ctx); matches {
			t.Error("the state does not follow the settings yet")
		}
		service.Commit(wire.Txn{Then: []wire.Operation{{Put: store.FencingTokenKey, Value: uint64(5)}, {Put: store.LeaderKey("a"), Value: store.LeaderRecord{Leader: "other", FencingToken: 5}}}})
		if n := service.ReleaseHeld(); n != 0 {
			t.Error("the late change was taken")
		}
		stop()
		net.Close()
		time.Sleep(time.Minute)
	})
}
