package main

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenFlags checks that the arguments and flags of each command, and their defaults, have not changed.
func TestGoldenFlags(t *testing.T) { goldentest.CheckFlags(t, "amberdeal-lab", new(cli)) }
