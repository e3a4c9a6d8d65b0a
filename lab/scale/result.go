package scale

import (
	"fmt"
	"strings"
)

// Phase is the measured cost of one phase of a test. Byte counts are those of the payloads of datagrams and frames,
// sent and received. Rates per second are means over the phase. The JSON names are those of stored results files.
type Phase struct {
	Scenario           Scenario `json:"Trouble"`
	Seconds            float64  `json:"Seconds"`
	MeanBytesPerSecond float64  `json:"MeanBytesPerSecond"`
	// WorstBytesPerSecond is the rate of the process with the most bytes.
	WorstBytesPerSecond float64 `json:"WorstBytesPerSecond"`
	// PeakBytes is the maximum of any process in one second.
	PeakBytes float64 `json:"PeakBytes"`
	// WorstDatagramsPerSecond is the maximum of any process.
	WorstDatagramsPerSecond float64 `json:"WorstDatagramsPerSecond"`
	// CPUPercent is CPU usage in percent of one core. It is the only figure that the seed does not determine. Its
	// meaning depends on the test:
	//   - decisions and purges: usage of the simulated router
	//   - membership and limits: usage of the process with the most bytes, or the mean of all running processes,
	//     whichever is greater
	//   - leases and verdicts: mean of all routers
	//   - discovery: mean of the affected routers
	CPUPercent float64 `json:"CPUPercent"`
	// MemoryKB is the size of a process's state in the mechanism under test. The process is the one with the most
	// bytes, in the verdicts test router 0. In the discovery test MemoryKB is 0.
	MemoryKB float64 `json:"MemoryKB"`
}

// Metric is an additional figure of a test.
type Metric struct {
	Name  string  `json:"Name"`
	Value float64 `json:"Value"`
}

// Result is the result of one run of a test with one number of routers.
type Result struct {
	Test    string `json:"Test"`
	Routers int    `json:"Routers"`
	Seed    uint64 `json:"Seed"`
	// SimulatedProcesses is the number of processes that are simulated in full. If it is less than Routers, each
	// process represents several routers.
	SimulatedProcesses int      `json:"Simulated"`
	Phases             []Phase  `json:"Phases"`
	Metrics            []Metric `json:"Figures"`
}

func (r *Result) addMetric(name string, value float64) {
	r.Metrics = append(r.Metrics, Metric{name, value})
}

// Worst returns the maximum of each figure of the worst process over all phases. The returned scenario is the scenario
// of the phase with the most bytes per second. If several phases have the most, it is the scenario of the last of them.
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

// MeanBytesPerSecond returns the mean over all processes in steady state, or 0 if the test has no such phase.
func (r *Result) MeanBytesPerSecond() float64 {
	for _, phase := range r.Phases {
		if phase.Scenario == SteadyState {
			return phase.MeanBytesPerSecond
		}
	}
	return 0
}

// WithinBudget returns whether the worst process was within RouterBudget in all phases.
func (r *Result) WithinBudget() bool {
	worst := r.Worst()
	return worst.WorstBytesPerSecond <= RouterBudget.BytesPerSecond &&
		worst.CPUPercent <= RouterBudget.CPUPercent &&
		worst.MemoryKB <= RouterBudget.MemoryKB
}

// Verdicts of a RESULT line, which scripts parse.
const (
	verdictPassed = "kept"
	verdictFailed = "short"
)

// Line returns the result as one RESULT line, which scripts parse.
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
