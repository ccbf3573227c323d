package wire

import (
	"math"
	"slices"
	"strings"
	"testing"
)

// TestDecodeJob checks that invalid values are rejected in each field of a submission, and that the error names
// the field that is missing.
func TestDecodeJob(t *testing.T) {
	validJob := func() map[string]any {
		return map[string]any{"uid": "wk-000412", "breed": "train", "keeper": "vision", "shape": "gang", "rank": "high", "cells": 16,
			"vcpus": 8.0, "accelerators": 1, "mem_gb": 64.0, "comb": "img-07", "image_gb": 6.2, "frames": []string{"g8"}, "apiary": nil,
			"one_zone": true, "spread": false, "borrowed": true, "expect_s": 240.0, "capping_s": 30.0, "seal_s": 4.0, "due_s": nil}
	}
	if j, err := DecodeJob(Encode(validJob())); err != nil || j.Tasks != 16 || j.GPUs != 1 || j.Zone != "" {
		t.Fatalf("a valid job: %+v, %v", j, err)
	}
	amounts := []any{nil, "1", -1.0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, uint64(math.MaxUint64), true, []float64{1}, map[string]any{}}
	flags := []any{nil, 0, 1, "true", 1.0, []bool{true}}
	texts := []any{nil, "", 7, true, []byte("img"), []string{"x"}, strings.Repeat("x", 201)}
	for field, values := range map[string][]any{
		"uid": append(texts, "job-1", "wk-", "wk-1x", "WK-1", " wk-1", "wk--1", "wk-1/0", "wk-"+strings.Repeat("1", 62)), "breed": texts, "keeper": texts, "comb": texts,
		"shape": append(texts, "heap", "Gang"), "rank": append(texts, "top", "HIGH"),
		"cells": {nil, 0, -1, MaxTasks + 1, uint64(math.MaxUint64), 1e300, 1.5, 16.0, "16", true, []int{16}, math.NaN()},
		"vcpus": amounts, "accelerators": amounts, "mem_gb": amounts, "image_gb": amounts, "expect_s": amounts, "capping_s": amounts, "seal_s": amounts,
		"due_s":  amounts[1:],
		"frames": {"g8", 8, []string{}, []any{"g8", 8}, map[string]any{"g8": true}, make([]string, 65)}, "apiary": {3, "", []string{"a"}, true},
		"one_zone": flags, "spread": flags, "borrowed": flags,
	} {
		for _, value := range values {
			m := validJob()
			m[field] = value
			if _, err := DecodeJob(Encode(m)); err == nil {
				t.Errorf("%s = %v was accepted", field, value)
			}
		}
	}
	for field := range validJob() {
		m := validJob()
		delete(m, field)
		_, err := DecodeJob(Encode(m))
		optional := field == "frames" || field == "apiary" || field == "due_s"
		m[strings.ToUpper(field)] = validJob()[field] // an unknown field, since names are case-sensitive
		if _, err := DecodeJob(Encode(m)); (err == nil) != optional {
			t.Errorf("with the name %s in upper case: %v", field, err)
		}
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

// TestFieldNamesAreCaseSensitive checks that a field whose name differs only in case is ignored as unknown.
func TestFieldNamesAreCaseSensitive(t *testing.T) {
	var s JobStatus
	if err := Decode(Encode(map[string]any{"uid": "wk-1", "Stage": "done"}), &s); err != nil || s.ID != "wk-1" || s.Stage != "" {
		t.Errorf("%+v, %v", s, err)
	}
}

// TestSubmittedID checks that the job ID of a submission is found even if the rest is invalid or incomplete.
func TestSubmittedID(t *testing.T) {
	id := Encode(map[string]any{"uid": "wk-1"})
	whole := Encode(map[string]any{"uid": "wk-1", "cells": -1, "breed": []any{nil, math.NaN()}, "a": map[string]any{"uid": "wk-2"}})
	large := map[string]any{"uid": "wk-1"}
	for i := range 300 {
		large[strings.Repeat("x", i+1)] = i
	}
	for name, c := range map[string]struct {
		body []byte
		id   string
	}{
		"ID only":                       {id, "wk-1"},
		"other fields invalid":          {whole, "wk-1"},
		"many fields":                   {Encode(large), "wk-1"},
		"trailing data":                 {append(slices.Clone(whole), 0xff, 0), "wk-1"},
		"truncated":                     {whole[:len(whole)-3], "wk-1"},
		"indefinite length without end": {append([]byte{0xbf}, whole[1:]...), "wk-1"},
		"duplicate ID":                  {append([]byte{0xa2}, append(slices.Clone(id[1:]), id[1:]...)...), "wk-1"},
		"after an invalid ID":           {append([]byte{0xa2, 0x63, 'u', 'i', 'd', 0x07}, id[1:]...), "wk-1"},
		"nested ID":                     {Encode(map[string]any{"a": map[string]any{"uid": "wk-1"}}), ""},
		"array":                         {Encode([]string{"uid", "wk-1"}), ""},
		"not CBOR":                      {[]byte("uid wk-1"), ""},
		"malformed ID":                  {Encode(map[string]any{"uid": "wk-x"}), ""},
		"null":                          {Encode(map[string]any{"uid": nil}), ""},
		"name in upper case":            {Encode(map[string]any{"UID": "wk-1"}), ""},
		"empty":                         {nil, ""},
		"head only":                     {[]byte{0xbb, 0}, ""},
	} {
		if got := SubmittedID(c.body); got != c.id {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// FuzzDecode checks that the decoders of external input never panic, and that what they accept is valid.
func FuzzDecode(f *testing.F) {
	f.Add(Encode(map[string]any{"hive": "n-1", "flight": 1, "cells": []any{map[string]any{"cell": "wk-1/0", "try": 2, "stage": "running"}}}))
	f.Add(Encode(map[string]any{"uid": "wk-1"}))
	f.Add([]byte{0xa1, 0x61, 0x61, 0x9f})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		if j, err := DecodeJob(b); err == nil && (j.Tasks < 1 || j.Tasks > MaxTasks || !ValidJobID(j.ID) || j.CPUs < 0) {
			t.Errorf("accepted %+v", j)
		}
		if r, err := DecodeHeartbeat(b); err == nil {
			for _, task := range r.Tasks {
				if task.ID.String() != task.Task {
					t.Errorf("task %q read as %v", task.Task, task.ID)
				}
			}
		}
		if j, err := DecodeJob(b); err == nil && SubmittedID(b) != j.ID {
			t.Errorf("%s is submitted as %q", j.ID, SubmittedID(b))
		}
		_, _ = DecodeTypes(b)
	})
}
