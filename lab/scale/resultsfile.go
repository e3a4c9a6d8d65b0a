package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
)

// ResultsFile is the name of the JSON file that WriteResults creates for the results.
const ResultsFile = "results.json"

// WriteResults writes the results of one test at one or more sizes to a directory, with charts of the costs against
// the number of routers. It creates the directory if necessary.
func WriteResults(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	text, err := json.MarshalIndent(results, "", " ")
	if err != nil {
		return fmt.Errorf("encode results: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, ResultsFile), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	for _, c := range charts {
		if err := c.draw(dir, results); err != nil {
			return fmt.Errorf("chart %s: %w", c.file, err)
		}
	}
	return nil
}

// ReadResults reads the results that WriteResults wrote to a directory.
func ReadResults(dir string) ([]*Result, error) {
	text, err := os.ReadFile(filepath.Join(dir, ResultsFile))
	if err != nil {
		return nil, err
	}
	var results []*Result
	if err := json.Unmarshal(text, &results); err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	return results, nil
}
