// Package metrics tells how a controller does, in the text form of Prometheus.
// Nothing is counted for it twice: a scrape reads what the packages keep.
package metrics

import (
	"bytes"
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/common/expfmt"

	"amberdeal.example/amberdeal/internal/archive"
	"amberdeal.example/amberdeal/internal/httpwire"
	"amberdeal.example/amberdeal/internal/store"
	"amberdeal.example/amberdeal/internal/tier"
	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/internal/zone"
)

// Path is where metrics are read.
const Path = "/metrics"

// Reading is what a controller knows of itself at a moment.
type Reading struct {
	Started                                                  time.Time
	LastList                                                 store.LoadStats
	Revision                                                 uint64
	FencingToken                                             uint64 // 0 where it holds nothing
	Shards                                                   int    // of the fleet that it holds
	LiveJobs, EndedJobs, Batches, RecentJobs                 int
	OldestEnd                                                time.Time
	UnreadableRecords                                        int
	StoreCalls                                               map[string]store.CallStats
	BlockCache                                               archive.CacheStats
	Compaction                                               archive.CompactorStats
	ReportingMachines                                        int // machines whose reports are taken here
	ForwardingPeers                                          int // siblings that pass reports on to this holder
	HeartbeatsForwarded, HeartbeatsUnanswered, MachinesMoved uint64
	LateHeartbeats, ImpossibleHeartbeats                     uint64                 // reports to the holders here that changed nothing
	RequestsForwarded, ForwardsUnanswered                    uint64                 // requests of users that were forwarded, and those whose outcome was not told
	CallWindow                                               int                    // of calls that can wait
	StalledFor                                               time.Duration          // for which nothing was started here although there was work and room
	Zones                                                    map[string]zone.Record // that were ever in question, by the holder
	Tiers                                                    map[string]tier.Status // of the parts that it holds
}

// metric is one figure of a reading.
type metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*Reading) float64
}

func newMetric(kind prometheus.ValueType, name, help string, read func(*Reading) float64) metric {
	return metric{prometheus.NewDesc("amberdeal_"+name, help, nil, nil), kind, read}
}

const (
	gauge   = prometheus.GaugeValue
	counter = prometheus.CounterValue
)

var controllerMetrics = []metric{
	newMetric(gauge, "jobs_live", "Jobs that are neither done nor cancelled.", func(r *Reading) float64 { return float64(r.LiveJobs) }),
	newMetric(gauge, "jobs_over_unfolded", "Jobs that are over and still have a key.", func(r *Reading) float64 { return float64(r.EndedJobs) }),
	newMetric(gauge, "job_keys", "Keys that hold jobs: batches, and jobs in the form of version 1.", func(r *Reading) float64 { return float64(r.Batches) }),
	newMetric(gauge, "jobs_recent", "Jobs in recent blocks, on their way into the history.", func(r *Reading) float64 { return float64(r.RecentJobs) }),
	newMetric(gauge, "fold_lag_seconds", "Age of the oldest end that waits to be folded, 0 for none.", func(r *Reading) float64 {
		if r.OldestEnd.IsZero() {
			return 0
		}
		return time.Since(r.OldestEnd).Seconds()
	}),
	newMetric(gauge, "records_not_understood", "Records that could not be read, see the log.", func(r *Reading) float64 { return float64(r.UnreadableRecords) }),
	newMetric(gauge, "term", "Highest term of the parts that this controller holds, 0 for none.", func(r *Reading) float64 { return float64(r.FencingToken) }),
	newMetric(gauge, "parts_held", "Parts of the fleet that this controller holds.", func(r *Reading) float64 { return float64(r.Shards) }),
	newMetric(gauge, "revision", "Revision of the state service up to which the view has come.", func(r *Reading) float64 { return float64(r.Revision) }),
	newMetric(gauge, "view_keys", "Keys that the last list of the state had.", func(r *Reading) float64 { return float64(r.LastList.Keys) }),
	newMetric(gauge, "view_bytes", "Bytes that the last list of the state had.", func(r *Reading) float64 { return float64(r.LastList.Bytes) }),
	newMetric(gauge, "view_requests", "Requests that the last list of the state took.", func(r *Reading) float64 { return float64(r.LastList.Requests) }),
	newMetric(gauge, "view_load_seconds", "Time that the last list of the state took.", func(r *Reading) float64 { return r.LastList.Duration.Seconds() }),
	newMetric(gauge, "snapshot_age_seconds", "Time since the state was last read as a whole.", func(r *Reading) float64 {
		if r.LastList.FinishedAt.IsZero() {
			return 0
		}
		return time.Since(r.LastList.FinishedAt).Seconds()
	}),
	newMetric(gauge, "start_seconds", "Time from the start until the state had been read.", func(r *Reading) float64 {
		return max(0, r.LastList.FinishedAt.Sub(r.Started).Seconds())
	}),
	newMetric(gauge, "machines_reporting", "Machines whose reports are taken by this controller.", func(r *Reading) float64 { return float64(r.ReportingMachines) }),
	newMetric(gauge, "report_edges", "Siblings that pass reports on to this holder.", func(r *Reading) float64 { return float64(r.ForwardingPeers) }),
	newMetric(counter, "reports_passed_total", "Reports that were passed on to the holder.", func(r *Reading) float64 { return float64(r.HeartbeatsForwarded) }),
	newMetric(counter, "reports_late_total", "Reports to the holder that were older than what it knew.", func(r *Reading) float64 { return float64(r.LateHeartbeats) }),
	newMetric(counter, "reports_impossible_total", "Reports to the holder that can't be, see the log.", func(r *Reading) float64 { return float64(r.ImpossibleHeartbeats) }),
	newMetric(counter, "reports_unanswered_total", "Of them, those that the holder did not answer in time.", func(r *Reading) float64 { return float64(r.HeartbeatsUnanswered) }),
	newMetric(counter, "machines_moved_total", "Times that a machine was sent to a sibling with more room.", func(r *Reading) float64 { return float64(r.MachinesMoved) }),
	newMetric(counter, "requests_forwarded_total", "Submissions and cancellations that were forwarded to the controllers that write them.", func(r *Reading) float64 { return float64(r.RequestsForwarded) }),
	newMetric(counter, "requests_forward_lost_total", "Of them, those whose outcome was not told in time, and that were done here.", func(r *Reading) float64 { return float64(r.ForwardsUnanswered) }),
	newMetric(gauge, "call_window", "Calls that can wait which may be open at once; it falls while this process is late.", func(r *Reading) float64 { return float64(r.CallWindow) }),
	newMetric(gauge, "starts_stalled_seconds", "Time for which a holder here has started nothing although there was work and room, 0 for less than 30 s; /status and the log tell the cause.", func(r *Reading) float64 { return r.StalledFor.Seconds() }),
	newMetric(counter, "folds_total", "Writes of folding that were taken.", func(r *Reading) float64 { return float64(r.Compaction.Writes) }),
	newMetric(counter, "folds_refused_total", "Writes of folding that were planned on what had changed.", func(r *Reading) float64 { return float64(r.Compaction.Refused) }),
	newMetric(counter, "jobs_settled_total", "Jobs moved from their keys into recent blocks.", func(r *Reading) float64 { return float64(r.Compaction.Staged) }),
	newMetric(counter, "jobs_merged_total", "Jobs moved into the history.", func(r *Reading) float64 { return float64(r.Compaction.Merged) }),
	newMetric(counter, "gate_moved_total", "How often submissions on their way were sent back.", func(r *Reading) float64 { return float64(r.Compaction.FenceAdvances) }),
	newMetric(gauge, "jobs_stuck", "Jobs that wait for a block of the history that can't be read.", func(r *Reading) float64 { return float64(r.Compaction.Blocked) }),
	newMetric(counter, "answers_differ_total", "Final answers that would have changed; the first stayed.", func(r *Reading) float64 { return float64(r.Compaction.Conflicting) }),
	newMetric(gauge, "history_blocks_cached", "Blocks of the history in memory.", func(r *Reading) float64 { return float64(r.BlockCache.Cached) }),
	newMetric(counter, "history_hits_total", "Look-ups in the history that memory answered.", func(r *Reading) float64 { return float64(r.BlockCache.Hits) }),
	newMetric(counter, "history_reads_total", "Look-ups in the history that took a request.", func(r *Reading) float64 { return float64(r.BlockCache.Reads) }),
	newMetric(counter, "history_unreadable_total", "Look-ups in the history that met a block that can't be read.", func(r *Reading) float64 { return float64(r.BlockCache.Unreadable) }),
}

// storeMetrics are counted by purpose.
var storeMetrics = []struct {
	desc *prometheus.Desc
	read func(store.CallStats) uint64
}{
	{newPurposeDesc("store_requests_total", "Requests to the state service."), func(s store.CallStats) uint64 { return s.Requests }},
	{newPurposeDesc("store_changes_total", "Puts and deletes sent to the state service."), func(s store.CallStats) uint64 { return s.Changes }},
	{newPurposeDesc("store_refused_total", "Requests that the state service refused (429, 503)."), func(s store.CallStats) uint64 { return s.Refused }},
	{newPurposeDesc("store_unanswered_total", "Requests to the state service without an answer."), func(s store.CallStats) uint64 { return s.Unanswered }},
	{newPurposeDesc("store_bytes_total", "Bytes of requests and answers."), func(s store.CallStats) uint64 { return s.Bytes }},
}

// tierMetrics are told by name.
var tierMetrics = []struct {
	desc *prometheus.Desc
	read func(tier.Status) float64
}{
	{newTierDesc("tier_cards", "Cards that a tier's tasks use."), func(s tier.Status) float64 { return s.Cards }},
	{newTierDesc("tier_share_cards", "Cards that a tier is guaranteed, of those that there are."), func(s tier.Status) float64 { return s.Share }},
	{newTierDesc("tier_lent_cards", "Of them, those that others use."), func(s tier.Status) float64 { return s.Lent }},
	{newTierDesc("tier_tasks_waiting", "Tasks of a tier that are nowhere."), func(s tier.Status) float64 { return float64(s.Waiting) }},
	{newTierDesc("tier_claims", "Jobs of a tier for which cards are being claimed back."), func(s tier.Status) float64 { return float64(s.Claims) }},
}

func newTierDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("amberdeal_"+name, help, []string{"tier"}, nil)
}

func newPurposeDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("amberdeal_"+name, help, []string{"purpose"}, nil)
}

// Zones are told by the holders, each with its state and the number of its changes.
var (
	zoneState  = prometheus.NewDesc("amberdeal_zone_state", "State of a zone by the store: 0 up, 1 in doubt, 2 dark, 3 back.", []string{"zone"}, nil)
	zoneNumber = prometheus.NewDesc("amberdeal_zone_changes_total", "Changes of a zone's state, by any holder.", []string{"zone"}, nil)
	zoneStates = map[zone.State]float64{zone.Up: 0, zone.Suspected: 1, zone.Unreachable: 2, zone.Recovering: 3}
)

// collector gives a reading's figures to the library.
type collector func() Reading

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, f := range controllerMetrics {
		ch <- f.desc
	}
	for _, f := range storeMetrics {
		ch <- f.desc
	}
	ch <- zoneState
	ch <- zoneNumber
	for _, f := range tierMetrics {
		ch <- f.desc
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	r := c()
	for _, f := range controllerMetrics {
		ch <- prometheus.MustNewConstMetric(f.desc, f.kind, f.read(&r))
	}
	for name, z := range r.Zones {
		ch <- prometheus.MustNewConstMetric(zoneState, gauge, zoneStates[z.State], name)
		ch <- prometheus.MustNewConstMetric(zoneNumber, counter, float64(z.Number), name)
	}
	for by, spent := range r.StoreCalls {
		for _, f := range storeMetrics {
			ch <- prometheus.MustNewConstMetric(f.desc, counter, float64(f.read(spent)), by)
		}
	}
	for name, s := range r.Tiers {
		for _, f := range tierMetrics {
			ch <- prometheus.MustNewConstMetric(f.desc, gauge, f.read(s), name)
		}
	}
}

// Handler answers a scrape.
func Handler(read func() Reading) transport.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collector(read), collectors.NewGoCollector())
	return func(_ context.Context, req *httpwire.Request) *httpwire.Response {
		if req.Path != Path || req.Method != "GET" {
			return &httpwire.Response{Status: 404}
		}
		families, err := registry.Gather()
		if err != nil {
			return &httpwire.Response{Status: 500, ContentType: "text/plain", Body: []byte(err.Error())}
		}
		var out bytes.Buffer
		for _, f := range families {
			if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
				return &httpwire.Response{Status: 500, ContentType: "text/plain", Body: []byte(err.Error())}
			}
		}
		return &httpwire.Response{Status: 200, ContentType: string(expfmt.NewFormat(expfmt.TypeTextPlain)), Body: out.Bytes()}
	}
}
