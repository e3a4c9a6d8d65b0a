package scale

import (
	"fmt"
	"strings"
)

// Phase is what one phase of a test measured. Bytes are payloads of datagrams and frames, in and out; those of a
// process are means over the phase, and the worst process is the one with the most. The names of the JSON are those of
// the files of results that are kept.
type Phase struct {
	Scenario            Scenario `json:"Trouble"`
	Seconds             float64  `json:"Seconds"`
	MeanBytesPerSecond  float64  `json:"MeanBytesPerSecond"`
	WorstBytesPerSecond float64  `json:"WorstBytesPerSecond"`
	// PeakBytes is the greatest number of any process in one second.
	PeakBytes               float64 `json:"PeakBytes"`
	WorstDatagramsPerSecond float64 `json:"WorstDatagramsPerSecond"`
	// CPUPercent is of one core, for the process with the most bytes. It is the one figure that a seed does not fix.
	CPUPercent float64 `json:"CPUPercent"`
	// MemoryKB is the state of that process, in the part under test.
	MemoryKB float64 `json:"MemoryKB"`
}

// Metric is a further result of a test.
type Metric struct {
	Name  string  `json:"Name"`
	Value float64 `json:"Value"`
}

// Result is what one run of a test measured at one size.
type Result struct {
	Test    string `json:"Test"`
	Routers int    `json:"Routers"`
	Seed    uint64 `json:"Seed"`
	// SimulatedProcesses are simulated in full; where there are fewer than routers, each plays several.
	SimulatedProcesses int      `json:"Simulated"`
	Phases             []Phase  `json:"Phases"`
	Metrics            []Metric `json:"Figures"`
}

func (r *Result) addMetric(name string, value float64) {
	r.Metrics = append(r.Metrics, Metric{name, value})
}

// Worst returns the greatest of each figure over all phases, with the last scenario of those that cost the most bytes.
func (r *Result) Worst() (worst Phase) {
	for _, phase := range r.Phases {
		if phase.WorstBytesPerSecond >= worst.WorstBytesPerSecond {
			worst.Scenario = phase.Scenario
			worst.WorstBytesPerSecond = phase.WorstBytesPerSecond
		}
		worst.PeakBytes = max(worst.PeakBytes, phase.PeakBytes)
		worst.WorstDatagramsPerSecond = max(worst.WorstDatagramsPerSecond, phase.WorstDatagramsPerSecond)
		worst.CPUPercent = max(worst.CPUPercent, phase.CPUPercent)
		worst.MemoryKB = max(worst.MemoryKB, phase.MemoryKB)
	}
	return worst
}

// MeanBytesPerSecond returns the mean over processes in steady state, or 0 where the test has no such phase.
func (r *Result) MeanBytesPerSecond() float64 {
	for _, phase := range r.Phases {
		if phase.Scenario == SteadyState {
			return phase.MeanBytesPerSecond
		}
	}
	return 0
}

// WithinBudget returns whether the worst process stayed within RouterBudget in every phase.
func (r *Result) WithinBudget() bool {
	worst := r.Worst()
	return worst.WorstBytesPerSecond <= RouterBudget.BytesPerSecond &&
		worst.CPUPercent <= RouterBudget.CPUPercent &&
		worst.MemoryKB <= RouterBudget.MemoryKB
}

// Verdicts of a RESULT line. Scripts read them.
const (
	verdictPassed = "kept"
	verdictFailed = "short"
)

// Line returns the run in one line, which scripts read.
func (r *Result) Line() string {
	verdict := verdictFailed
	if r.WithinBudget() {
		verdict = verdictPassed
	}
	worst := r.Worst()
	var line strings.Builder
	fmt.Fprintf(&line, "RESULT scale %s routers=%d seed=%d verdict=%s", r.Test, r.Routers, r.Seed, verdict)
	fmt.Fprintf(&line, " mean_bytes_per_s=%.0f worst_bytes_per_s=%.0f worst_datagrams_per_s=%.1f",
		r.MeanBytesPerSecond(), worst.WorstBytesPerSecond, worst.WorstDatagramsPerSecond)
	fmt.Fprintf(&line, " cpu_percent=%.3f memory_kb=%.0f simulated=%d peak_bytes=%.0f worst_phase=%s",
		worst.CPUPercent, worst.MemoryKB, r.SimulatedProcesses, worst.PeakBytes,
		strings.ReplaceAll(string(worst.Scenario), " ", "_"))
	for _, metric := range r.Metrics {
		fmt.Fprintf(&line, " %s=%.4g", metric.Name, metric.Value)
	}
	return line.String()
}
