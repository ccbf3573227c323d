package tier

import (
	"testing"

	"amberdeal.example/amberdeal/internal/goldentest"
)

// TestGoldenDigest: the digest of how tiers are set, on which claims are conditional, is what it was.
func TestGoldenDigest(t *testing.T) {
	goldentest.Text(t, "digest.txt", New([]Tier{goldentest.Filled[Tier](t)}).Digest()+"\n"+New(nil).Digest()+"\n")
}
