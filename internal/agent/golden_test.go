package agent

import (
	"os"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenSettings: an agent's settings file has the keys that it had, and they mean what
// they meant.
func TestGoldenSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/agent.ini")
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Text(t, "settings.txt", strings.Join(goldentest.Leaves(*c), "\n")+"\n")
	for section, keys := range allowedKeys {
		goldentest.Text(t, "keys-"+section+".txt", strings.Join(keys, "\n")+"\n")
	}
}
