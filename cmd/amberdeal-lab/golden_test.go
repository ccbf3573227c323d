package main

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenFlags: each command has the arguments and flags that it had, with the same defaults.
func TestGoldenFlags(t *testing.T) { goldentest.Flags(t, "amberdeal-lab", new(cli)) }
