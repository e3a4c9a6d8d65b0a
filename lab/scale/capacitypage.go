package scale

import (
	"bytes"
	"fmt"
	"math"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/text/language"
	"golang.org/x/text/message"
	"gonum.org/v1/gonum/stat"
)

// ResultSet holds the results of all tests, each by size.
type ResultSet map[string][]*Result

// ReadResultSet reads the results of all tests from the folders of a directory.
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

// costByName are the figures of a phase that can be named.
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

// cost is a figure of a result: of one phase, or with none named the greatest.
func (r *Result) cost(trouble, name string) (float64, error) {
	if name == "state_per_router" { // bytes that a process holds for each router
		kilobytes, err := r.cost(trouble, "memory")
		return kilobytes * 1024 / float64(r.Routers), err
	}
	cost, known := costByName[name]
	if !known {
		for _, f := range r.Metrics {
			if f.Name == name && trouble == "" {
				return f.Value, nil
			}
		}
		return 0, fmt.Errorf("%s at %d routers has no figure %q", r.Test, r.Routers, name)
	}
	most := math.Inf(-1)
	for _, p := range r.Phases {
		if trouble == "" || string(p.Scenario) == trouble {
			most = max(most, cost(p))
		}
	}
	if math.IsInf(most, -1) {
		return 0, fmt.Errorf("%s at %d routers has no phase %q", r.Test, r.Routers, trouble)
	}
	return most, nil
}

// PowerLaw is a power law through a cost at several sizes: cost = Factor * routers^Exponent.
type PowerLaw struct {
	Exponent, Factor float64
	MaxRelativeError float64 // greatest part by which a measured cost is off it
}

// fit lays a line through the logarithms by least squares.
func (s ResultSet) fit(test, trouble, name string) (PowerLaw, error) {
	var sizes, values []float64
	for _, r := range s[test] {
		value, err := r.cost(trouble, name)
		if err != nil {
			return PowerLaw{}, err
		}
		if value <= 0 {
			return PowerLaw{}, fmt.Errorf("%s, %s: %v at %d routers has no logarithm", test, name, value, r.Routers)
		}
		sizes, values = append(sizes, math.Log(float64(r.Routers))), append(values, math.Log(value))
	}
	if len(sizes) < 2 {
		return PowerLaw{}, fmt.Errorf("%s: %d sizes", test, len(sizes))
	}
	offset, exponent := stat.LinearRegression(sizes, values, nil, false)
	f := PowerLaw{Exponent: exponent, Factor: math.Exp(offset)}
	for i := range sizes {
		f.MaxRelativeError = max(f.MaxRelativeError, math.Abs(math.Exp(values[i]-offset-exponent*sizes[i])-1))
	}
	return f, nil
}

// Value is the one that a path names: TEST/SIZE/NAME or TEST/SIZE/PHASE/NAME, with "slope" or "error" for SIZE the exponent of its fit over all
// sizes, or the greatest error of that in percent. Several with " + " between them are added up.
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

func (s ResultSet) lookup(path string) (float64, error) {
	parts := strings.Split(path, "/")
	if len(parts) == 3 {
		parts = []string{parts[0], parts[1], "", parts[2]}
	}
	if len(parts) != 4 {
		return 0, fmt.Errorf("figure %q: TEST/SIZE/NAME or TEST/SIZE/PHASE/NAME wanted", path)
	}
	test, size, trouble, name := parts[0], parts[1], parts[2], parts[3]
	if size == "slope" || size == "error" {
		f, err := s.fit(test, trouble, name)
		if size == "error" {
			return f.MaxRelativeError * 100, err
		}
		return f.Exponent, err
	}
	for _, r := range s[test] {
		if strconv.Itoa(r.Routers) == size {
			return r.cost(trouble, name)
		}
	}
	return 0, fmt.Errorf("figure %q: not measured", path)
}

// formatFigure is how a figure stands on the page: three digits, or all before the point, in groups of three.
func formatFigure(value float64) string {
	if math.Abs(value) >= 100 {
		return message.NewPrinter(language.English).Sprintf("%.0f", value)
	}
	if math.Abs(value) < 0.0005 {
		return "0"
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

var (
	inlineFigure = regexp.MustCompile(`[-+.,0-9e]+<!--([^<>]+)-->`)
	tableBlock   = regexp.MustCompile(`(?s)(<!-- table ([a-z]+) -->\n).*?(<!-- end -->)`)
)

// UpdatePage returns the page with each figure as the results have it: a number followed by <!--PATH--> as Metric names it, and what stands
// between <!-- table TEST --> and <!-- end -->.
func (s ResultSet) UpdatePage(page []byte) ([]byte, error) {
	var fault error
	page = tableBlock.ReplaceAllFunc(page, func(block []byte) []byte {
		parts := tableBlock.FindSubmatch(block)
		table, err := s.table(string(parts[2]))
		if err != nil {
			fault = err
			return block
		}
		return bytes.Join([][]byte{parts[1], table, parts[3]}, nil)
	})
	page = inlineFigure.ReplaceAllFunc(page, func(text []byte) []byte {
		path := string(inlineFigure.FindSubmatch(text)[1])
		value, err := s.Value(path)
		if err != nil {
			fault = err
			return text
		}
		return []byte(formatFigure(value) + "<!--" + path + "-->")
	})
	return page, fault
}

// table shows a test's worst process by phase and size, with the fit over all sizes.
func (s ResultSet) table(test string) ([]byte, error) {
	results := s[test]
	if len(results) == 0 {
		return nil, fmt.Errorf("table %q: no such results", test)
	}
	var b bytes.Buffer
	b.WriteString("| worst process |")
	for _, r := range results {
		fmt.Fprintf(&b, " %d |", r.Routers)
	}
	b.WriteString(" exponent | off the fit by |\n|---|" + strings.Repeat("---|", len(results)+2) + "\n| processes simulated |")
	for _, r := range results {
		fmt.Fprintf(&b, " %d |", r.SimulatedProcesses)
	}
	b.WriteString(" | |\n")
	for _, row := range []struct{ name, title string }{{"bytes", "bytes/s"}, {"datagrams", "messages/s"}, {"cpu", "% of a core"}, {"memory", "state, KB"}} {
		for _, phase := range results[0].Phases {
			if err := s.row(&b, test, string(phase.Scenario), row.name, row.title); err != nil {
				return nil, err
			}
		}
	}
	for _, f := range results[0].Metrics {
		if err := s.row(&b, test, "", f.Name, strings.ReplaceAll(f.Name, "_", " ")); err != nil {
			return nil, err
		}
	}
	return b.Bytes(), nil
}

// row is one figure at all sizes; one that is 0 throughout is left out, and one that is 0 somewhere has no fit.
func (s ResultSet) row(b *bytes.Buffer, test, trouble, name, title string) error {
	var values []string
	zeros := 0
	for _, r := range s[test] {
		value, err := r.cost(trouble, name)
		if err != nil {
			return nil // a figure that not all sizes have
		}
		text := formatFigure(value)
		if text == "0" {
			zeros++
		}
		values = append(values, text)
	}
	if zeros == len(values) {
		return nil
	}
	if trouble != "" {
		title += ", " + trouble
	}
	fit := " | |"
	if zeros == 0 {
		f, err := s.fit(test, trouble, name)
		if err != nil {
			return err
		}
		fit = fmt.Sprintf(" %.2f | %.0f%% |", f.Exponent, f.MaxRelativeError*100)
	}
	fmt.Fprintf(b, "| %s | %s |%s\n", title, strings.Join(values, " | "), fit)
	return nil
}
