// Package outcomefile stores the outcomes of measurements in JSON files, one for each cell of an
// experiment and for each step of a scale run, so that an interrupted run can be resumed.
package outcomefile

import (
	"encoding/json"
	"fmt"
	"os"
)

// partSuffix is the suffix of a file while it is being written.
const partSuffix = ".part"

// Save writes an outcome to a temporary file and renames it, so that an interrupted call never
// leaves an incomplete file at path.
func Save(path string, outcome any) error {
	text, err := json.Marshal(outcome)
	if err != nil {
		return fmt.Errorf("encoding the outcome: %w", err)
	}
	if err := os.WriteFile(path+partSuffix, text, 0o644); err != nil {
		return fmt.Errorf("saving the outcome: %w", err)
	}
	if err := os.Rename(path+partSuffix, path); err != nil {
		return fmt.Errorf("saving the outcome: %w", err)
	}
	return nil
}

// Load reads an outcome from a file that Save has written. kind describes the expected content in
// the error for a file that can't be decoded, for example "the outcome of a step".
func Load(path, kind string, outcome any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("reading an outcome: %w", err)
	}
	if err := json.Unmarshal(text, outcome); err != nil {
		return fmt.Errorf("%s: not %s: %w", path, kind, err)
	}
	return nil
}
