package rollout

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against changes to the JSON of the "stage" section of a features file, which `spanctl stage start` writes.
func TestDocumentJSONIsUnchanged(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/stage.json", " ", Rollout{
		Version:         9,
		Name:            "prices",
		Prefix:          "00cd",
		FamilyRange:     []int{40, 41},
		Since:           1764576000007,
		ReplacesObjects: true,
		OldCopyMaxAge:   90008,
		Rings: []Ring{
			{Cells: []string{"north"}, OpensAt: 1764576060009, JudgeWithin: 600010},
			{Cells: []string{"south", "spare"}, OpensAt: 1764577060011, JudgeWithin: 600012},
		},
		OnStop:         "serve",
		OnUndecided:    "go",
		RollbackAt:     1764579000013,
		Alpha:          0.02,
		Beta:           0.06,
		MinDegradation: 2.5,
		Margin:         1.25,
	})
}
