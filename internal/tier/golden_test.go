package tier

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenDigest checks that the digest of the configured tiers does not change between versions: every lease is
// conditional on it.
func TestGoldenDigest(t *testing.T) {
	goldentest.CompareText(t, "digest.txt", New([]Tier{goldentest.FilledValue[Tier](t)}).Digest()+"\n"+New(nil).Digest()+"\n")
}
