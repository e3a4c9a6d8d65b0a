package scale

import (
	"fmt"
	"math"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"gonum.org/v1/gonum/stat"
)

// ResultSet contains the results of tests, by test name. The results of a test are in the order of their sizes.
type ResultSet map[string][]*Result

// ReadResultSet reads the results of all tests from the subdirectories of dir, which are named after the tests.
func ReadResultSet(dir string) (ResultSet, error) {
	set := ResultSet{}
	for _, test := range Tests() {
		results, err := ReadResults(filepath.Join(dir, test.Name))
		if err != nil {
			return nil, err
		}
		set[test.Name] = results
	}
	return set, nil
}

// costByName contains the costs of a phase, by their names in paths (see ResultSet.Value). A figure is either a cost of
// the phases of a result or a metric.
var costByName = map[string]func(Phase) float64{
	"bytes":         func(p Phase) float64 { return p.WorstBytesPerSecond },
	"mean_bytes":    func(p Phase) float64 { return p.MeanBytesPerSecond },
	"peak_bytes":    func(p Phase) float64 { return p.PeakBytes },
	"datagrams":     func(p Phase) float64 { return p.WorstDatagramsPerSecond },
	"cpu":           func(p Phase) float64 { return p.CPUPercent },
	"memory":        func(p Phase) float64 { return p.MemoryKB },
	"bytes_factor":  func(p Phase) float64 { return p.WorstBytesPerSecond / RouterBudget.BytesPerSecond },
	"cpu_factor":    func(p Phase) float64 { return p.CPUPercent / RouterBudget.CPUPercent },
	"memory_factor": func(p Phase) float64 { return p.MemoryKB / RouterBudget.MemoryKB },
}

// statePerRouter is a name in paths. Its figure is the size in bytes of a process's state (Phase.MemoryKB) divided by
// the number of routers.
const statePerRouter = "state_per_router"

// figure returns a figure of a result. A cost is the maximum over the phases of a scenario, or over all phases if
// scenario is empty. The name of a metric is also valid, but only with an empty scenario.
func (r *Result) figure(scenario Scenario, name string) (float64, error) {
	if name == statePerRouter {
		kilobytes, err := r.figure(scenario, "memory")
		return kilobytes * 1024 / float64(r.Routers), err
	}
	costOf, isCost := costByName[name]
	if !isCost {
		return r.metric(scenario, name)
	}
	greatest := math.Inf(-1)
	for _, phase := range r.Phases {
		if scenario == "" || phase.Scenario == scenario {
			greatest = max(greatest, costOf(phase))
		}
	}
	if math.IsInf(greatest, -1) {
		return 0, fmt.Errorf("%s at %d routers has no phase %q", r.Test, r.Routers, scenario)
	}
	return greatest, nil
}

func (r *Result) metric(scenario Scenario, name string) (float64, error) {
	index := slices.IndexFunc(r.Metrics, func(m Metric) bool { return m.Name == name })
	if index < 0 || scenario != "" {
		return 0, fmt.Errorf("%s at %d routers has no figure %q", r.Test, r.Routers, name)
	}
	return r.Metrics[index].Value, nil
}

// PowerLaw is a fit of a cost at several sizes: cost = Factor * routers^Exponent.
type PowerLaw struct {
	Exponent, Factor float64
	// MaxRelativeError is the maximum difference between a measured cost and the fit, as a fraction of the fitted cost.
	MaxRelativeError float64
}

// fit fits a power law to a figure over all sizes, by linear regression of the logarithms. It returns an error if there
// are fewer than two sizes, or if the figure is missing, 0 or negative at any size.
func (s ResultSet) fit(test string, scenario Scenario, name string) (PowerLaw, error) {
	var sizes, values []float64
	for _, result := range s[test] {
		value, err := result.figure(scenario, name)
		if err != nil {
			return PowerLaw{}, err
		}
		if value <= 0 {
			return PowerLaw{}, fmt.Errorf("%s, %s: cannot fit %v at %d routers: must be positive",
				test, name, value, result.Routers)
		}
		sizes = append(sizes, math.Log(float64(result.Routers)))
		values = append(values, math.Log(value))
	}
	if len(sizes) < 2 {
		return PowerLaw{}, fmt.Errorf("%s: a fit needs two sizes, got %d", test, len(sizes))
	}
	offset, exponent := stat.LinearRegression(sizes, values, nil, false)
	law := PowerLaw{Exponent: exponent, Factor: math.Exp(offset)}
	for i := range sizes {
		relativeError := math.Abs(math.Exp(values[i]-offset-exponent*sizes[i]) - 1)
		law.MaxRelativeError = max(law.MaxRelativeError, relativeError)
	}
	return law, nil
}

// Values of SIZE in a path (see Value). They select a parameter of the power law fitted over all sizes, instead of the
// result at one size.
const (
	sizeSlope = "slope" // the exponent
	sizeError = "error" // the maximum relative error, in percent
)

// Value returns the figure at a path: TEST/SIZE/NAME or TEST/SIZE/PHASE/NAME. SIZE is a number of routers. PHASE is the
// name of a scenario. NAME is the name of a cost (see costByName), state_per_router, or the name of a metric. Without
// PHASE, the value of a cost is the maximum over all phases. If SIZE is "slope", Value returns the exponent of the
// power law fitted over all sizes. If SIZE is "error", it returns the maximum relative error of that fit in percent. If
// path consists of several paths separated by " + ", Value returns the sum of their figures.
func (s ResultSet) Value(path string) (sum float64, err error) {
	for term := range strings.SplitSeq(path, " + ") {
		value, err := s.lookup(term)
		if err != nil {
			return 0, err
		}
		sum += value
	}
	return sum, nil
}

// lookup returns the figure at a single path.
func (s ResultSet) lookup(path string) (float64, error) {
	parts := strings.Split(path, "/")
	if len(parts) == 3 {
		parts = slices.Insert(parts, 2, "")
	}
	if len(parts) != 4 {
		return 0, fmt.Errorf("figure %q: must be TEST/SIZE/NAME or TEST/SIZE/PHASE/NAME", path)
	}
	test, size, scenario, name := parts[0], parts[1], Scenario(parts[2]), parts[3]
	switch size {
	case sizeSlope:
		law, err := s.fit(test, scenario, name)
		return law.Exponent, err
	case sizeError:
		law, err := s.fit(test, scenario, name)
		return law.MaxRelativeError * 100, err
	}
	for _, result := range s[test] {
		if strconv.Itoa(result.Routers) == size {
			return result.figure(scenario, name)
		}
	}
	return 0, fmt.Errorf("figure %q: no result of this test and size", path)
}
