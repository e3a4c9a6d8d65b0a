package lab

import (
	"fmt"
	"io"
)

// Compare prints a table of two results: the means over their seeds, and the difference of the means with its 95%
// confidence interval. Each result must have at least one outcome. Results of different experiments or sizes are an
// error.
func Compare(out io.Writer, a, b []*Outcome) error {
	if a[0].Experiment != b[0].Experiment || a[0].Size != b[0].Size {
		return fmt.Errorf("results of %s %s and %s %s can't be compared: experiment or size differs",
			a[0].Experiment, a[0].Size, b[0].Experiment, b[0].Size)
	}
	fmt.Fprintf(out, "%-14s %-10s %-12s %18s %18s %22s\n", "arm", "day", "figure", "A", "B", "B - A")
	for _, run := range a[0].Runs {
		for _, figure := range defaultTableFigures {
			name := run.Arm + "/" + run.Day + "/" + figure
			valuesA := figureOfSeeds(a, name)
			valuesB := figureOfSeeds(b, name)
			if len(valuesA) == 0 || len(valuesB) == 0 {
				continue
			}
			fmt.Fprintf(out, "%-14s %-10s %-12s %18s %18s %22s\n", run.Arm, run.Day, figure,
				meanInterval(valuesA), meanInterval(valuesB), differenceOfMeans(valuesA, valuesB))
		}
	}
	return nil
}
