// Package outcomefile keeps the outcomes of measurements in files of JSON, one file for each cell of
// an experiment and for each step of a scale run, so that an interrupted run can be resumed.
package outcomefile

import (
	"encoding/json"
	"fmt"
	"os"
)

// partSuffix is added to the name of a file while it is written.
const partSuffix = ".part"

// Save writes an outcome to a file, so that the file is there whole or not at all.
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

// Load reads an outcome from a file that Save has written. The error for a file of another
// content says that it is not of the kind that is given, such as "the outcome of a step".
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
