package migration

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against changes to the JSON of the "moves" section of a features file, which `spanctl cells move` writes.
func TestDocumentJSONIsUnchanged(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/document.json", " ", Document{Version: 8, Migrations: []Migration{
		{
			Tenant:     "vending",
			Site:       "depot-2",
			From:       "north",
			To:         "south",
			Start:      1764576000000,
			WarmUp:     20001,
			MinShift:   30002,
			MaxShift:   150003,
			Settle:     60004,
			HotObjects: []string{"00ab01", "00ab02"},
			PausedAt:   1764576030005,
			RollbackAt: 1764576040006,
			Unbounded:  true,
		},
	}})
}
