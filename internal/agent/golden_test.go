package agent

import (
	"os"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenSettings checks that the keys of an agent's settings file and the parsed values match the golden
// files, so that existing settings files keep their meaning.
func TestGoldenSettings(t *testing.T) {
	text, err := os.ReadFile("../../deploy/agent.ini")
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CompareText(t, "settings.txt", strings.Join(goldentest.Leaves(*c), "\n")+"\n")
	for section, keys := range allowedKeys {
		goldentest.CompareText(t, "keys-"+section+".txt", strings.Join(keys, "\n")+"\n")
	}
}
