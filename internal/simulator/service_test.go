package simulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing/synctest"
	"time"

	"amberdeal.example/amberdeal/internal/transport"
	"amberdeal.example/amberdeal/wire"
)

// externalServices is a state service and a cloud that the steps of a trace call.
type externalServices struct {
	store  *StateService
	cloud  *Cloud
	caller *transport.Client
	stop   context.CancelFunc
}

// externalServices starts the services on the first call, and returns them.
func (h *runtimeHarness) externalServices() *externalServices {
	if h.services != nil {
		return h.services
	}
	s := &externalServices{store: NewStateService(1, 0), caller: &transport.Client{MaxBody: 1 << 20, Dial: h.net.Host("10.0.0.1").Dial}}
	s.store.Limits = StateLimits{RPS: 20, WriteRPS: 4, ValueBytes: 100, TxnOps: 3, RetainedChanges: 4}
	s.cloud = &Cloud{Types: []wire.MachineType{{Name: "g4", Price: 4, SpotPrice: 1, BootS: 5, Zones: []string{"a"}}}, RPS: 5, ListLag: 2 * time.Second,
		CapacityByOffer: map[Offer]int{{"g4", "a", false}: 2, {"g4", "a", true}: 1}, Rand: rand.New(rand.NewPCG(1, 1)),
		Start: func(id, addr, typ, zone string, spot bool) Machine { return idleMachine{} }}
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go h.net.Host("10.2.0.1").Listen(ctx, "10.2.0.1:2379", 0, s.store.Serve())
	go h.net.Host("10.2.0.2").Listen(ctx, "10.2.0.2:8443", 0, s.cloud.Serve())
	synctest.Wait()
	h.services = s
	return s
}

// idleMachine is a Machine on which nothing runs.
type idleMachine struct{}

func (idleMachine) Kill() {}

// call sends a request and returns the status and body of the answer. Status 0 means that there was none.
func (s *externalServices) call(addr, method, path string, v any) (int, wire.Raw) {
	var body []byte
	if v != nil {
		body = wire.Encode(v)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
	defer cancel()
	resp, err := s.caller.Call(ctx, addr, method, path, body)
	if err != nil {
		return 0, nil
	}
	return resp.Status, resp.Body
}

// parsePairs parses a list of pairs such as "a:0,b:3".
func parsePairs(text string) (out [][2]string) {
	for _, item := range strings.Split(text, ",") {
		if k, v, ok := strings.Cut(item, ":"); ok {
			out = append(out, [2]string{k, v})
		}
	}
	return out
}

// serviceStep executes a step that calls the state service or the cloud, or injects a fault there.
func (h *runtimeHarness) serviceStep(words []string, params map[string]string) []string {
	s := h.externalServices()
	n, _ := strconv.Atoi(params["n"])
	switch words[1] {
	case "txn", "get", "list", "grant", "touch", "end", "watch":
		return h.callState(s, words, params, n)
	case "rent", "machines", "release":
		return h.callCloud(s, words, params, n)
	case "down", "up":
		s.store.SetOutage(words[1] == "down")
	case "dies":
		s.cloud.Crash(words[2])
	case "taken":
		s.cloud.Preempt(words[2], 0)
	case "trouble":
		s.cloud.SetFaults(func(f *CloudFaults) { f.Unavailable = words[2] == "on" })
	case "spent":
		cost, machines := s.cloud.Cost()
		return []string{fmt.Sprintf("%.3f for %d machines", cost, machines)}
	default:
		h.t.Fatalf("no such call: %v", words)
	}
	return nil
}

// answerLine formats an answer as a line of output.
func answerLine(status int, body wire.Raw) []string {
	if status == 0 {
		return []string{"no answer"}
	}
	var v any
	if len(body) > 0 {
		_ = wire.Decode(body, &v)
	}
	return []string{strings.TrimSpace(fmt.Sprintf("%d %s", status, formatAnswer(v)))}
}

// callState calls the state service and returns the answer as output.
func (h *runtimeHarness) callState(s *externalServices, words []string, params map[string]string, n int) []string {
	call := func(method, path string, v any) []string { return answerLine(s.call("10.2.0.1:2379", method, path, v)) }
	switch words[1] {
	case "txn":
		var t wire.Txn
		for _, p := range parsePairs(params["if"]) {
			version, _ := strconv.ParseUint(p[1], 10, 64)
			t.If = append(t.If, wire.Condition{Key: p[0], Version: version})
		}
		lease, _ := strconv.ParseUint(params["lease"], 10, 64)
		for _, p := range parsePairs(params["put"]) {
			t.Then = append(t.Then, wire.Operation{Put: p[0], Value: strings.Repeat(p[1], max(1, n)), Lease: lease})
		}
		for _, p := range parsePairs(params["drop"]) {
			t.Then = append(t.Then, wire.Operation{Delete: p[0]})
		}
		return call("POST", wire.PathTxn, t)
	case "get":
		return call("GET", wire.KeyPath(words[2]), nil)
	case "list":
		return call("GET", wire.KeysPath(words[2], params["from"], n), nil)
	case "grant":
		return call("POST", wire.PathLeases, wire.LeaseGrantRequest{TTLms: int64(n)})
	case "touch":
		return call("POST", wire.RenewPath(uint64(n)), nil)
	case "end":
		return call("DELETE", wire.LeasePath(uint64(n)), nil)
	}
	from, _ := strconv.ParseUint(params["from"], 10, 64) // watch
	d, _ := time.ParseDuration(params["wait"])
	return append(call("GET", wire.WatchPath(words[2], from, d), nil), "at "+time.Since(h.startedAt).String())
}

// callCloud calls the cloud and returns the answer as output.
func (h *runtimeHarness) callCloud(s *externalServices, words []string, params map[string]string, n int) []string {
	call := func(method, path string, v any) []string { return answerLine(s.call("10.2.0.2:8443", method, path, v)) }
	switch words[1] {
	case "rent":
		return call("POST", wire.PathRentals, wire.ScaleOutRequest{RequestID: words[2], Type: "g4", Zone: "a", Spot: params["spot"] != "", Count: n})
	case "machines":
		return call("GET", wire.PathRentals+"?limit="+strconv.Itoa(max(n, 1))+"&from="+params["from"], nil)
	}
	return call("POST", wire.PathRelease, wire.MachineIDs{Machines: words[2:]})
}

// formatAnswer formats a decoded answer with its fields in a fixed order.
func formatAnswer(v any) string {
	switch v := v.(type) {
	case map[any]any:
		var parts []string
		for _, key := range []string{"error", "path", "ask", "hives", "uid", "frame", "borrowed", "stage", "held_s", "items", "data", "mark", "tenure", "failed", "log", "put", "drop", "more", "era"} {
			if x, ok := v[key]; ok {
				parts = append(parts, key+"="+formatAnswer(x))
			}
		}
		return "{" + strings.Join(parts, " ") + "}"
	case []any:
		var parts []string
		for _, x := range v {
			parts = append(parts, formatAnswer(x))
		}
		return "[" + strings.Join(parts, " ") + "]"
	case float64:
		return fmt.Sprintf("%.1f", v)
	case nil:
		return ""
	}
	return fmt.Sprint(v)
}
