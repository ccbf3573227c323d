package agent

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"amberdeal.example/amberdeal/internal/simulator"
	"amberdeal.example/amberdeal/wire"
)

// TestTraces plays the kept traces of a worker's protocol.
func TestTraces(t *testing.T) {
	simulator.Traces(t, func(t *testing.T) func(string) []string {
		zero := time.Unix(1e9, 0)
		now := zero
		c := NewCore(Identity{Machine: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a"}, 30*time.Second, 7, now)
		return func(step string) []string {
			w, kv := simulator.Words(step)
			num := func(key string) uint64 {
				n, _ := strconv.ParseUint(kv[key], 10, 64)
				return n
			}
			switch w[0] {
			case "at":
				d, _ := time.ParseDuration(w[1])
				now = zero.Add(d)
				return told(c.Expire(now))
			case "answer": // to a heartbeat that was sent so long ago
				ago, _ := time.ParseDuration(kv["sent"])
				incarnation := c.Incarnation()
				if kv["session"] != "" {
					incarnation = num("session")
				}
				return told(c.HandleAnswer(now, now.Add(-ago), incarnation, wire.HeartbeatResponse{FencingToken: num("term"), Commands: commands(w[1:])}))
			case "do":
				e, ok := c.HandleDirect(now, wire.CommandRequest{FencingToken: num("term"), Incarnation: num("session"), Commands: commands(w[1:])})
				return append([]string{fmt.Sprintf("executed %v", ok)}, told(e)...)
			case "running":
				return told(c.MarkRunning(key(w[1])))
			case "ended":
				return told(c.MarkEnded(key(w[1]), wire.Cause(w[2])))
			case "report":
				r := c.NextHeartbeat()
				out := []string{fmt.Sprintf("session %d, report %d, term %d", r.Incarnation, r.Seq, r.FencingToken)}
				for _, task := range r.Tasks {
					out = append(out, strings.TrimSpace(fmt.Sprintf("%s#%d %s %s", task.Task, task.Attempt, task.State, task.Cause)))
				}
				return out
			}
			t.Fatalf("no such step: %s", step)
			return nil
		}
	})
}

func key(text string) Key {
	name, attempt, _ := strings.Cut(text, "#")
	id, _ := wire.ParseTaskID(name)
	n, _ := strconv.ParseUint(attempt, 10, 64)
	return Key{id, n}
}

// commands reads "launch wk-1/0#2 clear wk-2/0#1" and the like.
func commands(words []string) (out []wire.Command) {
	for i := 0; i+1 < len(words); i += 2 {
		k := key(words[i+1])
		out = append(out, wire.Command{Verb: wire.Verb(words[i]), Task: k.Task.String(), Attempt: k.Attempt})
	}
	return out
}

func told(e Effects) (out []string) {
	for _, k := range e.Kill {
		out = append(out, fmt.Sprintf("kill %v#%d", k.Task, k.Attempt))
	}
	for _, k := range e.Start {
		out = append(out, fmt.Sprintf("start %v#%d", k.Task, k.Attempt))
	}
	if e.HeartbeatNow {
		out = append(out, "report soon")
	}
	return out
}

// TestConfig: every fault of an agent's settings is named at once.
func TestConfig(t *testing.T) {
	good := "[machine]\nname = n-1\ntype = g4\nzone = a\nlisten = 127.0.0.1:9000\ncpus = 4\ngpus = 0\nmemory_gb = 8\n[controllers]\nc-0 = 127.0.0.1:8080\n[actions]\ncas = 127.0.0.1:8980\ndir = /tmp/x\n"
	c, err := ParseConfig([]byte(good))
	if err != nil || c.Capacity.CPUs != 4 || c.Controllers["c-0"] != "127.0.0.1:8080" || c.Lease != 30*time.Second {
		t.Errorf("%+v, %v", c, err)
	}
	_, err = ParseConfig([]byte("[machine]\nname = a b\ncpus = many\ncolour = red\n[workers]\nlease = 1ms\n[what]\never = 1\n"))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, field := range []string{"machine.name", "machine.type", "machine.zone", "machine.listen", "machine.cpus", "machine.gpus", "machine.colour", "workers.lease", "what.ever", "controllers", "actions.cas", "actions.dir"} {
		if !strings.Contains(err.Error(), field+":") {
			t.Errorf("the error does not name %s:\n%v", field, err)
		}
	}
}
