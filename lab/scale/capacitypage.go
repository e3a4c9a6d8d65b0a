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

// UpdatePage returns the page with its figures and tables updated from the results. A figure is a number followed by
// <!--PATH-->, with a path for Value. A table is the text between <!-- table TEST --> and <!-- end -->. Figures and
// tables that cannot be computed stay unchanged, and the last error is returned together with the updated page.
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

// formatFigure formats a figure for the page. Figures of 100 and more are rounded to integers with thousands
// separators, those below 0.0005 become 0, and all others have three significant digits.
func formatFigure(value float64) string {
	switch magnitude := math.Abs(value); {
	case magnitude >= 100:
		return message.NewPrinter(language.English).Sprintf("%.0f", value)
	case magnitude < 0.0005:
		return "0"
	}
	return strconv.FormatFloat(value, 'g', 3, 64)
}

// tableCosts are the costs in a table, with their titles. A table has a row for each cost and phase.
var tableCosts = []struct{ name, title string }{
	{"bytes", "bytes/s"},
	{"datagrams", "messages/s"},
	{"cpu", "% of a core"},
	{"memory", "state, KB"},
}

// table returns the table of a test: the costs of the worst process by phase and the metrics, with a column for each
// size and the power-law fit over all sizes.
func (s ResultSet) table(test string) ([]byte, error) {
	results := s[test]
	if len(results) == 0 {
		return nil, fmt.Errorf("table %q: no results of a test with this name", test)
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

// appendRow appends the row of one figure at all sizes. It appends nothing if the figure is missing at some size or
// formatted as 0 at all sizes. If it is formatted as 0 at some size only, the row has no fit.
func (s ResultSet) appendRow(text *bytes.Buffer, test string, scenario Scenario, name, title string) error {
	var values []string
	zeros := 0
	for _, result := range s[test] {
		value, err := result.figure(scenario, name)
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
