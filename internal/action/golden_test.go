package action

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenWork: what a job's description says of an action is written as it was, and the
// job is called as it was.
func TestGoldenWork(t *testing.T) {
	goldentest.Check[Work](t, "work.json", json.Marshal, json.Unmarshal)
	digest := cas.Sum(cas.Functions[0], []byte("an action"))
	out, err := LogNames(JobID(digest, 0))
	goldentest.Text(t, "names.txt", NewWork("main", digest).Text()+"\n"+JobID(digest, 0)+"\n"+JobID(digest, 1)+"\n"+out+"\n"+err+"\n"+answersInstance+"\n"+answerKey("j-1").String()+"\n")
}
