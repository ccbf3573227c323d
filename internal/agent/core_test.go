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

// TestTraces replays the recorded traces in testdata against Core and compares its responses.
func TestTraces(t *testing.T) {
	simulator.RunTraces(t, func(t *testing.T) func(string) []string {
		start := time.Unix(1e9, 0)
		now := start
		c := NewCore(Identity{Machine: "n-1", Addr: "10.1.0.1:9000", Type: "g4", Zone: "a"}, 30*time.Second, 7, now)
		return func(step string) []string {
			words, args := simulator.ParseStep(step)
			number := func(key string) uint64 {
				n, _ := strconv.ParseUint(args[key], 10, 64)
				return n
			}
			switch words[0] {
			case "at":
				d, _ := time.ParseDuration(words[1])
				now = start.Add(d)
				return describeEffects(c.Expire(now))
			case "answer": // the response to a heartbeat that was sent the given time ago
				ago, _ := time.ParseDuration(args["sent"])
				incarnation := c.Incarnation()
				if args["session"] != "" {
					incarnation = number("session")
				}
				return describeEffects(c.HandleHeartbeatResponse(now, now.Add(-ago), incarnation, wire.HeartbeatResponse{FencingToken: number("term"), Commands: parseCommands(words[1:])}))
			case "do":
				e, ok := c.HandleDirectCommands(now, wire.CommandRequest{FencingToken: number("term"), Incarnation: number("session"), Commands: parseCommands(words[1:])})
				return append([]string{fmt.Sprintf("executed %v", ok)}, describeEffects(e)...)
			case "running":
				return describeEffects(c.MarkRunning(key(words[1])))
			case "ended":
				return describeEffects(c.MarkEnded(key(words[1]), wire.Cause(words[2])))
			case "report":
				heartbeat := c.NextHeartbeat()
				out := []string{fmt.Sprintf("session %d, report %d, term %d", heartbeat.Incarnation, heartbeat.Seq, heartbeat.FencingToken)}
				for _, task := range heartbeat.Tasks {
					out = append(out, strings.TrimSpace(fmt.Sprintf("%s#%d %s %s", task.Task, task.Attempt, task.State, task.Cause)))
				}
				return out
			}
			t.Fatalf("no such step: %s", step)
			return nil
		}
	})
}

func key(text string) AttemptKey {
	name, attempt, _ := strings.Cut(text, "#")
	id, _ := wire.ParseTaskID(name)
	n, _ := strconv.ParseUint(attempt, 10, 64)
	return AttemptKey{id, n}
}

// parseCommands parses commands such as "launch wk-1/0#2 clear wk-2/0#1".
func parseCommands(words []string) (out []wire.Command) {
	for i := 0; i+1 < len(words); i += 2 {
		k := key(words[i+1])
		out = append(out, wire.Command{Verb: wire.Verb(words[i]), Task: k.Task.String(), Attempt: k.Attempt})
	}
	return out
}

func describeEffects(effects Effects) (out []string) {
	for _, k := range effects.Kill {
		out = append(out, fmt.Sprintf("kill %v#%d", k.Task, k.Attempt))
	}
	for _, k := range effects.Start {
		out = append(out, fmt.Sprintf("start %v#%d", k.Task, k.Attempt))
	}
	if effects.HeartbeatNow {
		out = append(out, "report soon")
	}
	return out
}

// TestConfig checks that valid settings are parsed, and that the error for invalid ones names every invalid key.
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
