package moves

import (
	"testing"

	"spantack/internal/testfixture"
)

// The section moves of a features file, which spanctl cells move writes.
func TestStoredDocumentIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/document.json", " ", Document{Version: 8, Moves: []Move{
		{
			Tenant:    "vending",
			Depot:     "depot-2",
			From:      "north",
			To:        "south",
			Start:     1764576000000,
			Warm:      20001,
			Shift:     30002,
			Slow:      150003,
			Settle:    60004,
			Hot:       []string{"00ab01", "00ab02"},
			HeldAt:    1764576030005,
			BackAt:    1764576040006,
			Unbounded: true,
		},
	}})
}
