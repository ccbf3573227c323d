package emulator

import (
	"os"
	"strings"
	"testing"
)

// invalidWorldFile is a world file with errors of every kind; invalidWorldFileErrors are parts of the messages that
// report them.
const invalidWorldFile = `[world]
controllers = 25
zones = a, a
colour = red
[type g4]
cpus = none
zones = nowhere
[team red]
gpus = 9
gpus_max = 3
[fault x]
at = 5
kind = cut
from = moon
[fault y]
kind = state_down
count = 3
[fault z]
kind = machine_hang
[fault deaf]
kind = machine_deaf
zone = moon
who = c-0
[fault late]
kind = state_late
[fault echo]
kind = report_late
share = 2
[fault apart]
kind = controller_cut
who = c-77
from_peers = perhaps
[fault odd]
kind = machine_sings
share = 3
[fault next]
kind = report_late
share = 0.5
for_next = soon
at_once = yes
colour = red
[fault hang]
kind = machine_hang
for = long
[fault now]
kind = cancel_now
hang = 2s
[planet mars]
`

var invalidWorldFileErrors = []string{"line 2: [world] controllers: \"25\": must be a count from 1 to 24", "line 3: [world] zones", "line 4: [world] colour: \"red\": must be left out; known are cancel,",
	"line 6: [type g4] cpus", "line 7: [type g4] zones", "line 9: [team red] gpus", "line 12: [fault x] at", "from: \"moon\"", "to: missing: cut needs it", "line 17: [fault y]: count: means nothing to state_down", "[fault z]: for: missing",
	"[fault deaf]: who: means nothing to machine_deaf, which takes for, count, share, zone", "[fault deaf]: zone: \"moon\": must be one of", "[fault late]: share: missing: state_late needs it",
	"[fault echo] share: \"2\": must be", "[fault apart]: who: \"c-77\": must be one of", "[fault apart] from_peers: \"perhaps\": must be yes or no", "[fault apart]: from_state: missing: controller_cut needs from_state = yes, from_peers = yes, or both", "[fault odd] kind: \"machine_sings\": must be one of boot_never,", "[fault odd] share: \"3\"", "[fault next] for_next: \"soon\": must be yes or no",
	"[fault next]: at_once: means nothing to report_late, which takes for, share, for_next", "[fault next] colour: \"red\": must be left out; known are at, at_once,", "[fault hang] for: \"long\"", "[fault now]: count: missing: cancel_now needs it", "[planet mars]"}

// TestParse parses the world file in deploy and checks that all errors of an invalid file are reported together, each
// with its line number and only once.
func TestParse(t *testing.T) {
	text, err := os.ReadFile("../../deploy/world.ini")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil || len(c.Timeline) != 4 || c.Teams[1].GPUsMax != 32 || c.Types[0].Name != "g4" {
		t.Fatalf("%+v, %v", c, err)
	}
	_, err = Parse([]byte(invalidWorldFile))
	if err == nil {
		t.Fatal("the invalid world file was accepted")
	}
	for _, want := range invalidWorldFileErrors {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in\n%v", want, err)
		}
	}
	for what, times := range map[string]int{"[fault odd]": 2, "[fault next]": 3, "[fault hang]": 1, "machine_sings": 1} { // each error is reported once
		if n := strings.Count(err.Error(), what); n != times {
			t.Errorf("%s is named %d times in\n%v", what, n, err)
		}
	}
}

// TestFaultNamesInOrder checks that unknown names in a fault are reported in the same order each time. Their order
// varied when "from" and "to" were checked while iterating over a map.
func TestFaultNamesInOrder(t *testing.T) {
	c := &Config{Zones: []string{"a"}}
	for range 50 {
		var wrong fieldErrors
		(&Fault{From: "moon", To: "mars"}).checkNames(c, &wrong)
		if len(wrong) != 2 || !strings.Contains(wrong[0].Error(), "moon") || !strings.Contains(wrong[1].Error(), "mars") {
			t.Fatalf("errors %v, want from before to", wrong)
		}
	}
}
