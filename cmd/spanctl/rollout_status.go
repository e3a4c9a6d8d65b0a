package main

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strings"

	"spantack/core/cells"
	"spantack/core/rollout"
)

type rolloutStatusCmd struct {
	documentFlags
	Logs []string `name:"logs" arg:"" help:"Logs of routers, of which the last record 'stage' is used."`
}

// ringSummary sums up the status of a ring at all routers.
type ringSummary struct {
	routersByState map[string]int
	evidence       []float64 // log likelihood ratio for a degradation, by metric
}

// Run prints the states and the evidence of each ring. Routers see different requests, so their log likelihood ratios
// are added. If several metrics or rings show a degradation, the last line of the output names only the last ring and
// metric.
func (c *rolloutStatusCmd) Run(out io.Writer) error {
	_, active, err := c.loadRollout()
	if err != nil {
		return err
	}
	rings, err := c.summarize(active)
	if err != nil {
		return err
	}
	metrics := rollout.MetricNames()
	threshold := math.Log(float64(len(metrics)) / active.TestParameters().Alpha)
	degradation := ""
	for i, ring := range rings {
		fmt.Fprintf(out, "ring %d, %s:", i, strings.Join(active.Rings[i].Cells, ","))
		for _, state := range slices.Sorted(maps.Keys(ring.routersByState)) {
			fmt.Fprintf(out, " %s at %d routers", state, ring.routersByState[state])
		}
		for m, evidence := range ring.evidence {
			fmt.Fprintf(out, "; %s %.1f of %.1f", metrics[m], evidence, threshold)
			if evidence >= threshold {
				degradation = fmt.Sprintf("harm in ring %d, by %s", i, metrics[m])
			}
		}
		fmt.Fprintln(out)
	}
	if degradation != "" {
		fmt.Fprintf(out, "%s: run spanctl rollout stop %s\n", degradation, c.File)
	}
	return nil
}

// summarize sums up the status of each ring in the logs.
func (c *rolloutStatusCmd) summarize(active *rollout.Rollout) ([]ringSummary, error) {
	metrics := len(rollout.MetricNames())
	rings := make([]ringSummary, len(active.Rings))
	for i := range rings {
		rings[i] = ringSummary{routersByState: map[string]int{}, evidence: make([]float64, metrics)}
	}
	for _, file := range c.Logs {
		var record struct {
			Rollout cells.RolloutStatus `json:"stage"`
		}
		if err := readLogRecord(file, "stage", &record); err != nil {
			return nil, err
		}
		status := &record.Rollout
		if status.Name != active.Name || len(status.Rings) != len(active.Rings) {
			return nil, fmt.Errorf("%s: the status of release %q does not match the rollout in the features file",
				file, status.Name)
		}
		for i, ring := range status.Rings {
			rings[i].routersByState[ring.State]++
			for m, evidence := range ring.Evidence {
				if m < metrics {
					rings[i].evidence[m] += evidence
				}
			}
		}
	}
	return rings, nil
}
