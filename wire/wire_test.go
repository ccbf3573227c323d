package wire

import (
	"math"
	"strings"
	"testing"
)

// TestDecodeJob names, for each fault of a submission, the field at fault.
func TestDecodeJob(t *testing.T) {
	good := func() map[string]any {
		return map[string]any{"uid": "wk-000412", "breed": "train", "keeper": "vision", "shape": "gang", "rank": "high", "cells": 16,
			"vcpus": 8.0, "accelerators": 1, "mem_gb": 64.0, "comb": "img-07", "image_gb": 6.2, "frames": []string{"g8"}, "apiary": nil,
			"one_zone": true, "spread": false, "borrowed": true, "expect_s": 240.0, "capping_s": 30.0, "seal_s": 4.0, "due_s": nil}
	}
	if j, err := DecodeJob(Encode(good())); err != nil || j.Tasks != 16 || j.GPUs != 1 || j.Zone != "" {
		t.Fatalf("a good job: %+v, %v", j, err)
	}
	for field, value := range map[string]any{
		"uid": "job-1", "breed": 7, "keeper": "", "shape": "heap", "rank": "top", "cells": MaxTasks + 1, "vcpus": -1.0,
		"accelerators": math.NaN(), "mem_gb": math.Inf(1), "comb": nil, "frames": "g8", "apiary": 3, "one_zone": nil, "expect_s": "1", "due_s": -1.0,
	} {
		m := good()
		m[field] = value
		if _, err := DecodeJob(Encode(m)); err == nil {
			t.Errorf("%s = %v was accepted", field, value)
		}
	}
	for field := range good() {
		m := good()
		delete(m, field)
		_, err := DecodeJob(Encode(m))
		optional := field == "frames" || field == "apiary" || field == "due_s"
		if (err == nil) != optional {
			t.Errorf("without %s: %v", field, err)
		}
		if err != nil && !strings.Contains(err.Error(), field) {
			t.Errorf("without %s the error does not name it: %v", field, err)
		}
	}
	for _, body := range [][]byte{nil, {0x80}, {0xa1}, []byte("hello"), {0xbf, 0x61}} {
		if _, err := DecodeJob(body); err == nil {
			t.Errorf("%x was accepted", body)
		}
	}
}

// FuzzDecode feeds every decoder of outside input.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(map[string]any{"hive": "n-1", "flight": 1, "cells": []any{map[string]any{"cell": "wk-1/0", "try": 2, "stage": "running"}}}))
	f.Add(Encode(map[string]any{"uid": "wk-1"}))
	f.Add([]byte{0xa1, 0x61, 0x61, 0x9f})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if j, err := DecodeJob(b); err == nil && (j.Tasks < 1 || j.Tasks > MaxTasks || !ValidJobID(j.ID) || j.CPUs < 0) {
			t.Errorf("accepted %+v", j)
		}
		if r, err := DecodeReport(b); err == nil {
			for _, task := range r.Tasks {
				if task.ID.String() != task.Task {
					t.Errorf("task %q read as %v", task.Task, task.ID)
				}
			}
		}
		_, _ = DecodeTypes(b)
	})
}
