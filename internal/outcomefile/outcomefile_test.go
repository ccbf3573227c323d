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

// TestSaveAndLoad checks that a saved outcome is loaded unchanged, that it replaces an earlier one,
// and that no temporary file is left.
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
		t.Errorf("files in the directory: %v, %v; want one", entries, err)
	}
}

// TestLoadErrors checks that the error for a missing file is fs.ErrNotExist, and that the one for a
// malformed file has its path and the expected kind.
func TestLoadErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "point.json")
	if err := Load(path, "a point", new(point)); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("missing file: %v, want fs.ErrNotExist", err)
	}
	if err := os.WriteFile(path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	want := path + ": not a point: unexpected end of JSON input"
	if err := Load(path, "a point", new(point)); err == nil || err.Error() != want {
		t.Errorf("%v, want %s", err, want)
	}
}

// TestSaveErrors saves a value that can't be encoded as JSON, and saves into a missing directory.
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
