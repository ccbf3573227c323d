package tier

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenDigest: the digest of the configured tiers, which is a condition of every lease, is what it was.
func TestGoldenDigest(t *testing.T) {
	goldentest.Text(t, "digest.txt", New([]Tier{goldentest.Filled[Tier](t)}).Digest()+"\n"+New(nil).Digest()+"\n")
}
