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
	Begun                     time.Time
	Loaded                    store.Loaded
	Revision                  uint64
	Term                      uint64 // 0 where it holds nothing
	Parts                     int    // of the fleet that it holds
	Live, Over, Homes, Recent int
	OldestOver                time.Time
	Broken                    int
	Calls                     map[string]store.Spent
	Cache                     archive.ReadCounts
	Folds                     archive.FoldCounts
	Heard                     int // machines whose reports are taken here
	Edges                     int // siblings that pass reports on to this holder
	Passed, Unpassed, Moved   uint64
	Late, Impossible          uint64                 // reports to the holders here that changed nothing
	Forwarded, ForwardLost    uint64                 // requests of users that were forwarded, and those whose outcome was not told
	Window                    int                    // of calls that can wait
	Stalled                   time.Duration          // for which nothing was started here although there was work and room
	Zones                     map[string]zone.Record // that were ever in question, by the holder
	Tiers                     map[string]tier.Status // of the parts that it holds
}

// measure is one figure of a reading.
type measure struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func(*Reading) float64
}

func figure(kind prometheus.ValueType, name, help string, read func(*Reading) float64) measure {
	return measure{prometheus.NewDesc("amberdeal_"+name, help, nil, nil), kind, read}
}

const (
	gauge   = prometheus.GaugeValue
	counter = prometheus.CounterValue
)

var figures = []measure{
	figure(gauge, "jobs_live", "Jobs that are neither done nor cancelled.", func(r *Reading) float64 { return float64(r.Live) }),
	figure(gauge, "jobs_over_unfolded", "Jobs that are over and still have a key.", func(r *Reading) float64 { return float64(r.Over) }),
	figure(gauge, "job_keys", "Keys that hold jobs: batches, and jobs in the form of version 1.", func(r *Reading) float64 { return float64(r.Homes) }),
	figure(gauge, "jobs_recent", "Jobs in recent blocks, on their way into the history.", func(r *Reading) float64 { return float64(r.Recent) }),
	figure(gauge, "fold_lag_seconds", "Age of the oldest end that waits to be folded, 0 for none.", func(r *Reading) float64 {
		if r.OldestOver.IsZero() {
			return 0
		}
		return time.Since(r.OldestOver).Seconds()
	}),
	figure(gauge, "records_not_understood", "Records that could not be read, see the log.", func(r *Reading) float64 { return float64(r.Broken) }),
	figure(gauge, "term", "Highest term of the parts that this controller holds, 0 for none.", func(r *Reading) float64 { return float64(r.Term) }),
	figure(gauge, "parts_held", "Parts of the fleet that this controller holds.", func(r *Reading) float64 { return float64(r.Parts) }),
	figure(gauge, "revision", "Revision of the state service up to which the view has come.", func(r *Reading) float64 { return float64(r.Revision) }),
	figure(gauge, "view_keys", "Keys that the last list of the state had.", func(r *Reading) float64 { return float64(r.Loaded.Keys) }),
	figure(gauge, "view_bytes", "Bytes that the last list of the state had.", func(r *Reading) float64 { return float64(r.Loaded.Bytes) }),
	figure(gauge, "view_requests", "Requests that the last list of the state took.", func(r *Reading) float64 { return float64(r.Loaded.Requests) }),
	figure(gauge, "view_load_seconds", "Time that the last list of the state took.", func(r *Reading) float64 { return r.Loaded.Took.Seconds() }),
	figure(gauge, "snapshot_age_seconds", "Time since the state was last read as a whole.", func(r *Reading) float64 {
		if r.Loaded.At.IsZero() {
			return 0
		}
		return time.Since(r.Loaded.At).Seconds()
	}),
	figure(gauge, "start_seconds", "Time from the start until the state had been read.", func(r *Reading) float64 {
		return max(0, r.Loaded.At.Sub(r.Begun).Seconds())
	}),
	figure(gauge, "machines_reporting", "Machines whose reports are taken by this controller.", func(r *Reading) float64 { return float64(r.Heard) }),
	figure(gauge, "report_edges", "Siblings that pass reports on to this holder.", func(r *Reading) float64 { return float64(r.Edges) }),
	figure(counter, "reports_passed_total", "Reports that were passed on to the holder.", func(r *Reading) float64 { return float64(r.Passed) }),
	figure(counter, "reports_late_total", "Reports to the holder that were older than what it knew.", func(r *Reading) float64 { return float64(r.Late) }),
	figure(counter, "reports_impossible_total", "Reports to the holder that can't be, see the log.", func(r *Reading) float64 { return float64(r.Impossible) }),
	figure(counter, "reports_unanswered_total", "Of them, those that the holder did not answer in time.", func(r *Reading) float64 { return float64(r.Unpassed) }),
	figure(counter, "machines_moved_total", "Times that a machine was sent to a sibling with more room.", func(r *Reading) float64 { return float64(r.Moved) }),
	figure(counter, "requests_forwarded_total", "Submissions and cancellations that were forwarded to the controllers that write them.", func(r *Reading) float64 { return float64(r.Forwarded) }),
	figure(counter, "requests_forward_lost_total", "Of them, those whose outcome was not told in time, and that were done here.", func(r *Reading) float64 { return float64(r.ForwardLost) }),
	figure(gauge, "call_window", "Calls that can wait which may be open at once; it falls while this process is late.", func(r *Reading) float64 { return float64(r.Window) }),
	figure(gauge, "starts_stalled_seconds", "Time for which a holder here has started nothing although there was work and room, 0 for less than 30 s; /status and the log tell the cause.", func(r *Reading) float64 { return r.Stalled.Seconds() }),
	figure(counter, "folds_total", "Writes of folding that were taken.", func(r *Reading) float64 { return float64(r.Folds.Writes) }),
	figure(counter, "folds_refused_total", "Writes of folding that were planned on what had changed.", func(r *Reading) float64 { return float64(r.Folds.Refused) }),
	figure(counter, "jobs_settled_total", "Jobs moved from their keys into recent blocks.", func(r *Reading) float64 { return float64(r.Folds.Settled) }),
	figure(counter, "jobs_merged_total", "Jobs moved into the history.", func(r *Reading) float64 { return float64(r.Folds.Merged) }),
	figure(counter, "gate_moved_total", "How often submissions on their way were sent back.", func(r *Reading) float64 { return float64(r.Folds.Moved) }),
	figure(gauge, "jobs_stuck", "Jobs that wait for a block of the history that can't be read.", func(r *Reading) float64 { return float64(r.Folds.Stuck) }),
	figure(counter, "answers_differ_total", "Final answers that would have changed; the first stayed.", func(r *Reading) float64 { return float64(r.Folds.Differ) }),
	figure(gauge, "history_blocks_cached", "Blocks of the history in memory.", func(r *Reading) float64 { return float64(r.Cache.Cached) }),
	figure(counter, "history_hits_total", "Look-ups in the history that memory answered.", func(r *Reading) float64 { return float64(r.Cache.Hits) }),
	figure(counter, "history_reads_total", "Look-ups in the history that took a request.", func(r *Reading) float64 { return float64(r.Cache.Reads) }),
	figure(counter, "history_unreadable_total", "Look-ups in the history that met a block that can't be read.", func(r *Reading) float64 { return float64(r.Cache.Unreadable) }),
}

// calls are counted by purpose.
var calls = []struct {
	desc *prometheus.Desc
	read func(store.Spent) uint64
}{
	{purpose("store_requests_total", "Requests to the state service."), func(s store.Spent) uint64 { return s.Requests }},
	{purpose("store_changes_total", "Puts and deletes sent to the state service."), func(s store.Spent) uint64 { return s.Changes }},
	{purpose("store_refused_total", "Requests that the state service refused (429, 503)."), func(s store.Spent) uint64 { return s.Refused }},
	{purpose("store_unanswered_total", "Requests to the state service without an answer."), func(s store.Spent) uint64 { return s.Unanswered }},
	{purpose("store_bytes_total", "Bytes of requests and answers."), func(s store.Spent) uint64 { return s.Bytes }},
}

// tiers are told by name.
var tiers = []struct {
	desc *prometheus.Desc
	read func(tier.Status) float64
}{
	{byTier("tier_cards", "Cards that a tier's tasks use."), func(s tier.Status) float64 { return s.Cards }},
	{byTier("tier_share_cards", "Cards that a tier is guaranteed, of those that there are."), func(s tier.Status) float64 { return s.Share }},
	{byTier("tier_lent_cards", "Of them, those that others use."), func(s tier.Status) float64 { return s.Lent }},
	{byTier("tier_tasks_waiting", "Tasks of a tier that are nowhere."), func(s tier.Status) float64 { return float64(s.Waiting) }},
	{byTier("tier_claims", "Jobs of a tier for which cards are being claimed back."), func(s tier.Status) float64 { return float64(s.Claims) }},
}

func byTier(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("amberdeal_"+name, help, []string{"tier"}, nil)
}

func purpose(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("amberdeal_"+name, help, []string{"purpose"}, nil)
}

// Zones are told by the holders, each with its state and the number of its changes.
var (
	zoneState  = prometheus.NewDesc("amberdeal_zone_state", "State of a zone by the store: 0 up, 1 in doubt, 2 dark, 3 back.", []string{"zone"}, nil)
	zoneNumber = prometheus.NewDesc("amberdeal_zone_changes_total", "Changes of a zone's state, by any holder.", []string{"zone"}, nil)
	zoneStates = map[zone.State]float64{zone.Up: 0, zone.Doubt: 1, zone.Dark: 2, zone.Back: 3}
)

// collector gives a reading's figures to the library.
type collector func() Reading

// Describe implements prometheus.Collector.
func (c collector) Describe(ch chan<- *prometheus.Desc) {
	for _, f := range figures {
		ch <- f.desc
	}
	for _, f := range calls {
		ch <- f.desc
	}
	ch <- zoneState
	ch <- zoneNumber
	for _, f := range tiers {
		ch <- f.desc
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(ch chan<- prometheus.Metric) {
	r := c()
	for _, f := range figures {
		ch <- prometheus.MustNewConstMetric(f.desc, f.kind, f.read(&r))
	}
	for name, z := range r.Zones {
		ch <- prometheus.MustNewConstMetric(zoneState, gauge, zoneStates[z.State], name)
		ch <- prometheus.MustNewConstMetric(zoneNumber, counter, float64(z.Number), name)
	}
	for by, spent := range r.Calls {
		for _, f := range calls {
			ch <- prometheus.MustNewConstMetric(f.desc, counter, float64(f.read(spent)), by)
		}
	}
	for name, s := range r.Tiers {
		for _, f := range tiers {
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
			return &httpwire.Response{Status: 500, Type: "text/plain", Body: []byte(err.Error())}
		}
		var out bytes.Buffer
		for _, f := range families {
			if _, err := expfmt.MetricFamilyToText(&out, f); err != nil {
				return &httpwire.Response{Status: 500, Type: "text/plain", Body: []byte(err.Error())}
			}
		}
		return &httpwire.Response{Status: 200, Type: string(expfmt.NewFormat(expfmt.TypeTextPlain)), Body: out.Bytes()}
	}
}
