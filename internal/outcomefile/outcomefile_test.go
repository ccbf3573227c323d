package outcomefile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

type point struct {
	X int `json:"x"`
}

// TestSaveAndLoad: what was saved is loaded again, and replaces what was there; no other file is left.
func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "point.json")
	for _, saved := range []point{{1}, {2}} {
		if err := Save(path, saved); err != nil {
			t.Fatal(err)
		}
		var loaded point
		if err := Load(path, "a point", &loaded); err != nil || loaded != saved {
			t.Errorf("saved %v, loaded %v, %v", saved, loaded, err)
		}
	}
	if entries, err := os.ReadDir(dir); err != nil || len(entries) != 1 {
		t.Errorf("%v are left, %v", entries, err)
	}
}

// TestLoadErrors: a missing file is fs.ErrNotExist; a malformed one is named with its kind.
func TestLoadErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "point.json")
	if err := Load(path, "a point", new(point)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("a missing file: %v", err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := path + ": not a point: unexpected end of JSON input"
	if err := Load(path, "a point", new(point)); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

// TestSaveErrors: a value that has no JSON, and a directory that is missing.
func TestSaveErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "none", "point.json")
	want := "encoding the outcome: json: unsupported type: chan int"
	if err := Save(path, make(chan int)); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
	want = "saving the outcome: open " + path + ".part: no such file or directory"
	if err := Save(path, point{}); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}
