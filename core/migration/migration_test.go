package migration

import (
	"testing"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const start = 1_764_576_000_000.0

// sampleMigration warms up for 20 s, shifts within 60 s and settles for 30 s.
func sampleMigration() Migration {
	return Migration{
		Tenant: "t", Site: "d", From: "a", To: "b",
		Start: start, WarmUp: 20_000, MinShift: 60_000, Settle: 30_000,
		HotObjects: []string{"h0", "h1", "h2"},
	}
}
