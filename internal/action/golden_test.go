package action

import (
	"encoding/json"
	"testing"

	"amberdeal.example/amberdeal/internal/cas"
	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenWork checks that the encoding of Work, job ids, log names and response keys match the golden files, so
// that controllers and machines of different versions understand each other.
func TestGoldenWork(t *testing.T) {
	goldentest.CheckEncoding[Work](t, "work.json", json.Marshal, json.Unmarshal)
	digest := cas.Sum(cas.DigestFunctions[0], []byte("an action"))
	out, err := LogNames(JobID(digest, 0))
	goldentest.CompareText(t, "names.txt", NewWork("main", digest).Text()+"\n"+JobID(digest, 0)+"\n"+JobID(digest, 1)+"\n"+out+"\n"+err+"\n"+responsesInstance+"\n"+responseKey("j-1").String()+"\n")
}
