package scale

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"

	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

var (
	inlineFigure = regexp.MustCompile(`[-+.,0-9e]+<!--([^<>]+)-->`)
	tableBlock   = regexp.MustCompile(`(?s)(<!-- table ([a-z]+) -->\n).*?(<!-- end -->)`)
)

// UpdatePage returns the page with each figure as the results have it: a number followed by <!--PATH--> as Value names
// it, and what stands between <!-- table TEST --> and <!-- end -->. It returns the last error of a figure or table, and
// the others updated.
func (s ResultSet) UpdatePage(page []byte) ([]byte, error) {
	var lastError error
	page = tableBlock.ReplaceAllFunc(page, func(block []byte) []byte {
		parts := tableBlock.FindSubmatch(block)
		table, err := s.table(string(parts[2]))
		if err != nil {
			lastError = err
			return block
		}
		return bytes.Join([][]byte{parts[1], table, parts[3]}, nil)
	})
	page = inlineFigure.ReplaceAllFunc(page, func(text []byte) []byte {
		path := string(inlineFigure.FindSubmatch(text)[1])
		value, err := s.Value(path)
		if err != nil {
			lastError = err
			return text
		}
		return []byte(formatFigure(value) + "<!--" + path + "-->")
	})
	return page, lastError
}

// formatFigure returns a figure as it stands on the page: three digits, or all before the point, in groups of three.
func formatFigure(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 100:
		return message.NewPrinter(language.English).Sprintf("%.0f", value)
	case magnitude < 0.0005:
		return "0"
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// tableCosts are the costs that a table has for each phase, with their titles.
var tableCosts = []struct{ name, title string }{
	{"bytes", "bytes/s"},
	{"datagrams", "messages/s"},
	{"cpu", "% of a core"},
	{"memory", "state, KB"},
}

// table returns a test's worst process by phase and size, with the fit over all sizes.
func (s ResultSet) table(test string) ([]byte, error) {
	results := s[test]
	if len(results) == 0 {
		return nil, fmt.Errorf("table %q: no such results", test)
	}
	var text bytes.Buffer
	text.WriteString("| worst process |")
	for _, result := range results {
		fmt.Fprintf(&text, " %d |", result.Routers)
	}
	text.WriteString(" exponent | off the fit by |\n")
	text.WriteString("|---|" + strings.Repeat("---|", len(results)+2) + "\n")
	text.WriteString("| processes simulated |")
	for _, result := range results {
		fmt.Fprintf(&text, " %d |", result.SimulatedProcesses)
	}
	text.WriteString(" | |\n")
	for _, cost := range tableCosts {
		for _, phase := range results[0].Phases {
			title := cost.title + ", " + string(phase.Scenario)
			if err := s.appendRow(&text, test, phase.Scenario, cost.name, title); err != nil {
				return nil, err
			}
		}
	}
	for _, metric := range results[0].Metrics {
		title := strings.ReplaceAll(metric.Name, "_", " ")
		if err := s.appendRow(&text, test, "", metric.Name, title); err != nil {
			return nil, err
		}
	}
	return text.Bytes(), nil
}

// appendRow writes one figure at all sizes. One that not all sizes have, or that is 0 throughout, is left out, and one
// that is 0 somewhere has no fit.
func (s ResultSet) appendRow(text *bytes.Buffer, test string, scenario Scenario, name, title string) error {
	var values []string
	zeros := 0
	for _, result := range s[test] {
		value, err := result.cost(scenario, name)
		if err != nil {
			return nil
		}
		formatted := formatFigure(value)
		if formatted == "0" {
			zeros++
		}
		values = append(values, formatted)
	}
	if zeros == len(values) {
		return nil
	}
	fit := " | |"
	if zeros == 0 {
		law, err := s.fit(test, scenario, name)
		if err != nil {
			return err
		}
		fit = fmt.Sprintf(" %.2f | %.0f%% |", law.Exponent, law.MaxRelativeError*100)
	}
	fmt.Fprintf(text, "| %s | %s |%s\n", title, strings.Join(values, " | "), fit)
	return nil
}
