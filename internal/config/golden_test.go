package config

import (
	"encoding/json"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenPlatformFile checks that the fields of the platform's file and their meaning have not changed.
func TestGoldenPlatformFile(t *testing.T) {
	goldentest.CheckEncoding[platformFile](t, "platform.json", json.Marshal, json.Unmarshal)
	text, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	goldentest.CompareText(t, "parsed.txt", strings.Join(goldentest.Leaves(*c), "\n")+"\n")
}

// TestGoldenSettings checks that the keys of the operators' file, their defaults and their meaning have not
// changed. testdata/all.ini sets all keys.
func TestGoldenSettings(t *testing.T) {
	keys := slices.Sorted(maps.Keys(new(Tuning).setters()))
	goldentest.CompareText(t, "keys.txt", strings.Join(keys, "\n")+"\n")
	text, err := os.ReadFile("testdata/all.ini")
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range keys {
		section, name, _ := strings.Cut(key, ".")
		_, after, _ := strings.Cut(string(text), "["+section+"]\n")
		if body, _, _ := strings.Cut(after, "\n["); !strings.Contains("\n"+body, "\n"+name+" = ") {
			t.Errorf("all.ini does not set %s", key)
		}
	}
	tuning := DefaultTuning()
	goldentest.CompareText(t, "defaults.txt", strings.Join(goldentest.Leaves(tuning), "\n")+"\n")
	if err := tuning.parse(text); err != nil {
		t.Fatal(err)
	}
	goldentest.CompareText(t, "settings.txt", strings.Join(goldentest.Leaves(tuning), "\n")+"\n")
}
