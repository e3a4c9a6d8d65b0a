package shield

import (
	"testing"

	"spantack/internal/testfixture"
)

// The section shield of a features file.
func TestStoredDocumentIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/document.json", " ", Document{
		Law:      "gradient",
		Most:     41,
		Reserve:  0.125,
		Burst:    3,
		UsualMs:  91,
		LingerMs: 3001,
	})
}
