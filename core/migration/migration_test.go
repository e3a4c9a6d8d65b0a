package migration

import (
	"testing"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const start = 1_764_576_000_000.0

// sampleMigration returns a migration with a warm-up of 20 s, a fixed ramp of 60 s and a settle time of 30 s.
func sampleMigration() Migration {
	return Migration{
		Tenant: "t", Site: "d", From: "a", To: "b",
		Start: start, WarmUp: 20_000, MinShift: 60_000, Settle: 30_000,
		HotObjects: []string{"h0", "h1", "h2"},
	}
}
