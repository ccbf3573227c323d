// Package metrics exposes a controller's metrics in the text format of Prometheus. It keeps no
// counters of its own: each scrape takes a Reading of the counters and states of other packages.
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

// Path is the HTTP path of the metrics.
const Path = "/metrics"

// Reading holds the values of all metrics of a controller, read for one scrape.
type Reading struct {
	Started  time.Time
	LastLoad store.LoadStats // of the last complete load of the state
	Revision uint64          // of the state service, up to which the local view of the state is current

	FencingToken uint64 // highest of the shards that this controller leads, 0 for none
	Shards       int    // number of shards that this controller leads

	LiveJobs          int
	EndedJobs         int       // that are not compacted yet
	Batches           int       // keys that hold jobs
	RecentJobs        int       // ended jobs in recent blocks, not yet merged into the archive
	OldestEnd         time.Time // when the oldest job that waits for compaction ended; zero if there is none
	UnreadableRecords int

	StoreCalls map[string]store.CallStats // by purpose of the call
	BlockCache archive.CacheStats
	Compaction archive.CompactorStats

	ReportingMachines    int // machines whose heartbeats arrive at this controller
	ForwardingPeers      int // peers that forward heartbeats to this leader
	HeartbeatsForwarded  uint64
	HeartbeatsUnanswered uint64 // forwarded, but not answered by the leader in time
	MachinesRedirected   uint64 // redirected to a peer with more free connections
	LateHeartbeats       uint64 // to leaders in this controller, older than their state
	ImpossibleHeartbeats uint64 // to leaders in this controller, contradicting their state

	RequestsForwarded  uint64
	ForwardsUnanswered uint64 // forwarded requests whose result is unknown

	CallWindow int           // maximum number of deferrable calls that may be open at the same time
	StalledFor time.Duration // for which a leader here has started no tasks despite pending tasks and free capacity

	Zones map[string]zone.Record // zones that were ever suspected to be unreachable, from the leader's records
	Tiers map[string]tier.Status // in the shards that this controller leads

	MalformedTxns uint64 // transactions that the state service called malformed
}

// metric is a metric without labels, with a function that reads its value from a Reading.
type metric struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*Reading) float64
}

// namePrefix is the prefix of the names of all metrics.
const namePrefix = "amberdeal_"

// newMetric returns a metric without labels; name lacks the namePrefix.
func newMetric(kind prometheus.ValueType, name, help string, read func(*Reading) float64) metric {
	return metric{prometheus.NewDesc(namePrefix+name, help, nil, nil), kind, read}
}

const (
	gauge   = prometheus.GaugeValue
	counter = prometheus.CounterValue
)

// controllerMetrics are the metrics without labels.
var controllerMetrics = []metric{
	newMetric(gauge, "jobs_live", "Jobs that are neither done nor cancelled.", func(r *Reading) float64 { return float64(r.LiveJobs) }),
	newMetric(gauge, "jobs_over_unfolded", "Ended jobs that have not been compacted yet.", func(r *Reading) float64 { return float64(r.EndedJobs) }),
	newMetric(gauge, "job_keys", "Keys that hold jobs: batches, and single jobs in the format of version 1.", func(r *Reading) float64 { return float64(r.Batches) }),
	newMetric(gauge, "jobs_recent", "Ended jobs in recent blocks, not yet merged into the archive.", func(r *Reading) float64 { return float64(r.RecentJobs) }),
	newMetric(gauge, "fold_lag_seconds", "Age of the oldest ended job that waits for compaction, 0 for none.", func(r *Reading) float64 {
		if r.OldestEnd.IsZero() {
			return 0
		}
		return time.Since(r.OldestEnd).Seconds()
	}),
	newMetric(gauge, "records_not_understood", "Records that could not be decoded; the log names them.", func(r *Reading) float64 { return float64(r.UnreadableRecords) }),
	newMetric(gauge, "term", "Highest fencing token of the shards that this controller leads, 0 for none.", func(r *Reading) float64 { return float64(r.FencingToken) }),
	newMetric(gauge, "parts_held", "Shards that this controller leads.", func(r *Reading) float64 { return float64(r.Shards) }),
	newMetric(gauge, "revision", "Revision of the state service that the view has reached.", func(r *Reading) float64 { return float64(r.Revision) }),
	newMetric(gauge, "view_keys", "Keys in the last full read of the state.", func(r *Reading) float64 { return float64(r.LastLoad.Keys) }),
	newMetric(gauge, "view_bytes", "Bytes in the last full read of the state.", func(r *Reading) float64 { return float64(r.LastLoad.Bytes) }),
	newMetric(gauge, "view_requests", "Requests that the last full read of the state took.", func(r *Reading) float64 { return float64(r.LastLoad.Requests) }),
	newMetric(gauge, "view_load_seconds", "Time that the last full read of the state took.", func(r *Reading) float64 { return r.LastLoad.Duration.Seconds() }),
	newMetric(gauge, "snapshot_age_seconds", "Time since the last full read of the state.", func(r *Reading) float64 {
		if r.LastLoad.FinishedAt.IsZero() {
			return 0
		}
		return time.Since(r.LastLoad.FinishedAt).Seconds()
	}),
	newMetric(gauge, "start_seconds", "Time from the start of the process to the end of the first full read of the state.", func(r *Reading) float64 {
		return max(0, r.LastLoad.FinishedAt.Sub(r.Started).Seconds())
	}),
	newMetric(gauge, "machines_reporting", "Machines whose heartbeats arrive at this controller.", func(r *Reading) float64 { return float64(r.ReportingMachines) }),
	newMetric(gauge, "report_edges", "Peers that forward heartbeats to this leader.", func(r *Reading) float64 { return float64(r.ForwardingPeers) }),
	newMetric(counter, "reports_passed_total", "Heartbeats that were forwarded to the leader.", func(r *Reading) float64 { return float64(r.HeartbeatsForwarded) }),
	newMetric(counter, "reports_late_total", "Heartbeats to the leader that were older than what it knew.", func(r *Reading) float64 { return float64(r.LateHeartbeats) }),
	newMetric(counter, "reports_impossible_total", "Heartbeats to the leader that contradict what it knew; the log names them.", func(r *Reading) float64 { return float64(r.ImpossibleHeartbeats) }),
	newMetric(counter, "reports_unanswered_total", "Forwarded heartbeats that the leader did not answer in time.", func(r *Reading) float64 { return float64(r.HeartbeatsUnanswered) }),
	newMetric(counter, "machines_moved_total", "Machines that were redirected to a peer with more free connections.", func(r *Reading) float64 { return float64(r.MachinesRedirected) }),
	newMetric(counter, "requests_forwarded_total", "Submissions and cancellations that were forwarded to the controllers that write them.", func(r *Reading) float64 { return float64(r.RequestsForwarded) }),
	newMetric(counter, "store_malformed_total", "Transactions that the state service called malformed, each by a fault of this program.", func(r *Reading) float64 { return float64(r.MalformedTxns) }),
	newMetric(counter, "requests_forward_lost_total", "Forwarded requests whose outcome was not known in time, and that were handled here instead.", func(r *Reading) float64 { return float64(r.ForwardsUnanswered) }),
	newMetric(gauge, "call_window", "Deferrable calls that may be open at once; it falls while this process is late.", func(r *Reading) float64 { return float64(r.CallWindow) }),
	newMetric(gauge, "starts_stalled_seconds", "Time for which a leader here has started nothing although there was work and free capacity, 0 for less than 30 s; /status and the log name the cause.", func(r *Reading) float64 { return r.StalledFor.Seconds() }),
	newMetric(counter, "folds_total", "Compaction writes that were accepted.", func(r *Reading) float64 { return float64(r.Compaction.Writes) }),
	newMetric(counter, "folds_refused_total", "Compaction writes that were refused because their conditions no longer held.", func(r *Reading) float64 { return float64(r.Compaction.Refused) }),
	newMetric(counter, "jobs_settled_total", "Ended jobs moved from their keys into recent blocks.", func(r *Reading) float64 { return float64(r.Compaction.Staged) }),
	newMetric(counter, "jobs_merged_total", "Ended jobs merged into the archive.", func(r *Reading) float64 { return float64(r.Compaction.Merged) }),
	newMetric(counter, "gate_moved_total", "How often submissions in flight were fenced off.", func(r *Reading) float64 { return float64(r.Compaction.FenceAdvances) }),
	newMetric(gauge, "jobs_stuck", "Ended jobs that wait for a block of the archive that can't be read.", func(r *Reading) float64 { return float64(r.Compaction.Blocked) }),
	newMetric(counter, "answers_differ_total", "Final job states that conflicted with an earlier one, which was kept.", func(r *Reading) float64 { return float64(r.Compaction.Conflicting) }),
	newMetric(gauge, "history_blocks_cached", "Blocks of the archive in memory.", func(r *Reading) float64 { return float64(r.BlockCache.Cached) }),
	newMetric(counter, "history_hits_total", "Look-ups in the archive answered from memory.", func(r *Reading) float64 { return float64(r.BlockCache.Hits) }),
	newMetric(counter, "history_reads_total", "Look-ups in the archive that took a request.", func(r *Reading) float64 { return float64(r.BlockCache.Reads) }),
	newMetric(counter, "history_unreadable_total", "Look-ups in the archive that met a block that can't be read.", func(r *Reading) float64 { return float64(r.BlockCache.Unreadable) }),
}

// storeMetrics are the metrics of the calls to the state service, labelled with the purpose of the calls.
var storeMetrics = []struct {
	desc *prometheus.Desc
	read func(store.CallStats) uint64
}{
	{newPurposeDesc("store_requests_total", "Requests to the state service."), func(s store.CallStats) uint64 { return s.Requests }},
	{newPurposeDesc("store_changes_total", "Puts and deletes sent to the state service."), func(s store.CallStats) uint64 { return s.Changes }},
	{newPurposeDesc("store_refused_total", "Requests that the state service refused (429, 503)."), func(s store.CallStats) uint64 { return s.Refused }},
	{newPurposeDesc("store_unanswered_total", "Requests to the state service that were not answered."), func(s store.CallStats) uint64 { return s.Unanswered }},
	{newPurposeDesc("store_bytes_total", "Bytes of requests to the state service and their responses."), func(s store.CallStats) uint64 { return s.Bytes }},
}

// tierMetrics are the metrics of priority tiers, labelled with the name of the tier.
var tierMetrics = []struct {
	desc *prometheus.Desc
	read func(tier.Status) float64
}{
	{newTierDesc("tier_cards", "GPUs that a tier's tasks use."), func(s tier.Status) float64 { return s.Cards }},
	{newTierDesc("tier_share_cards", "GPUs that a tier is guaranteed, of those in the fleet."), func(s tier.Status) float64 { return s.Share }},
	{newTierDesc("tier_lent_cards", "GPUs of a tier's guarantee that other tiers use."), func(s tier.Status) float64 { return s.Lent }},
	{newTierDesc("tier_tasks_waiting", "Tasks of a tier that are not placed."), func(s tier.Status) float64 { return float64(s.Waiting) }},
	{newTierDesc("tier_claims", "Jobs of a tier for which lent GPUs are being reclaimed."), func(s tier.Status) float64 { return float64(s.Claims) }},
}

func newTierDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(namePrefix+name, help, []string{"tier"}, nil)
}

func newPurposeDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(namePrefix+name, help, []string{"purpose"}, nil)
}

// The metrics of zones, labelled with the name of the zone. zoneStates are the values of zoneState.
var (
	zoneState   = newZoneDesc("zone_state", "Recorded state of a zone: 0 up, 1 suspected, 2 unreachable, 3 recovering.")
	zoneChanges = newZoneDesc("zone_changes_total", "Changes of a zone's recorded state, by any leader.")
	zoneStates  = map[zone.State]float64{zone.Up: 0, zone.Suspected: 1, zone.Unreachable: 2, zone.Recovering: 3}
)

func newZoneDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(namePrefix+name, help, []string{"zone"}, nil)
}

// collector is a prometheus.Collector for the values of a Reading, which the function takes.
type collector func() Reading

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, m := range controllerMetrics {
		ch <- m.desc
	}
	for _, m := range storeMetrics {
		ch <- m.desc
	}
	ch <- zoneState
	ch <- zoneChanges
	for _, m := range tierMetrics {
		ch <- m.desc
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	reading := c()
	for _, m := range controllerMetrics {
		ch <- prometheus.MustNewConstMetric(m.desc, m.kind, m.read(&reading))
	}
	for name, z := range reading.Zones {
		ch <- prometheus.MustNewConstMetric(zoneState, gauge, zoneStates[z.State], name)
		ch <- prometheus.MustNewConstMetric(zoneChanges, counter, float64(z.Number), name)
	}
	for purpose, stats := range reading.StoreCalls {
		for _, m := range storeMetrics {
			ch <- prometheus.MustNewConstMetric(m.desc, counter, float64(m.read(stats)), purpose)
		}
	}
	for name, s := range reading.Tiers {
		for _, m := range tierMetrics {
			ch <- prometheus.MustNewConstMetric(m.desc, gauge, m.read(s), name)
		}
	}
}

// Handler returns the handler that responds to a scrape with the metrics of the Reading that read returns.
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
		for _, family := range families {
			if _, err := expfmt.MetricFamilyToText(&out, family); err != nil {
				return &httpwire.Response{Status: 500, ContentType: "text/plain", Body: []byte(err.Error())}
			}
		}
		return &httpwire.Response{Status: 200, ContentType: string(expfmt.NewFormat(expfmt.TypeTextPlain)), Body: out.Bytes()}
	}
}
