package scale

import (
	"testing"

	"spantack/internal/testfixture"
)

// Guards against a changed format of results.json, which spanlab scale run writes.
func TestStoredResultsKeepFormat(t *testing.T) {
	testfixture.ReadAndWrite(t, "testdata/results.json", " ", []*Result{
		{
			Test:               "s1",
			Routers:            2,
			Seed:               3,
			SimulatedProcesses: 4,
			Phases: []Phase{
				{
					Scenario:                "s5",
					Seconds:                 6.5,
					MeanBytesPerSecond:      7.5,
					WorstBytesPerSecond:     8.5,
					PeakBytes:               9.5,
					WorstDatagramsPerSecond: 10.5,
					CPUPercent:              11.5,
					MemoryKB:                12.5,
				},
				{
					Scenario:                "s13",
					Seconds:                 14.5,
					MeanBytesPerSecond:      15.5,
					WorstBytesPerSecond:     16.5,
					PeakBytes:               17.5,
					WorstDatagramsPerSecond: 18.5,
					CPUPercent:              19.5,
					MemoryKB:                20.5,
				},
			},
			Metrics: []Metric{
				{Name: "s21", Value: 22.5},
				{Name: "s23", Value: 24.5},
			},
		},
		{
			Test:               "s25",
			Routers:            26,
			Seed:               27,
			SimulatedProcesses: 28,
			Phases: []Phase{
				{
					Scenario:                "s29",
					Seconds:                 30.5,
					MeanBytesPerSecond:      31.5,
					WorstBytesPerSecond:     32.5,
					PeakBytes:               33.5,
					WorstDatagramsPerSecond: 34.5,
					CPUPercent:              35.5,
					MemoryKB:                36.5,
				},
				{
					Scenario:                "s37",
					Seconds:                 38.5,
					MeanBytesPerSecond:      39.5,
					WorstBytesPerSecond:     40.5,
					PeakBytes:               41.5,
					WorstDatagramsPerSecond: 42.5,
					CPUPercent:              43.5,
					MemoryKB:                44.5,
				},
			},
			Metrics: []Metric{
				{Name: "s45", Value: 46.5},
				{Name: "s47", Value: 48.5},
			},
		},
	})
}
