package originlimit

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a change of the format of the section "shield" of a features file.
func TestStoredDocumentFormatIsUnchanged(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/document.json", " ", Document{
		Algorithm:        "gradient",
		MaxInFlight:      41,
		Reserve:          0.125,
		Burst:            3,
		BaselineMs:       91,
		AbandonedFetchMs: 3001,
	})
}
