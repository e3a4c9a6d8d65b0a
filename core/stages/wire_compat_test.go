package stages

import (
	"testing"

	"spantack/internal/testfixture"
)

// The section stage of a features file, which spanctl stage start writes.
func TestStoredStageIsReadAndWrittenAlike(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/stage.json", " ", Stage{
		Version:  9,
		Name:     "prices",
		Prefix:   "00cd",
		Families: []int{40, 41},
		Since:    1764576000007,
		Renews:   true,
		Keep:     90008,
		Rings: []Ring{
			{Cells: []string{"north"}, Open: 1764576060009, For: 600010},
			{Cells: []string{"south", "spare"}, Open: 1764577060011, For: 600012},
		},
		Back:   "serve",
		Unsure: "go",
		StopAt: 1764579000013,
		Alpha:  0.02,
		Beta:   0.06,
		Least:  2.5,
		Margin: 1.25,
	})
}
