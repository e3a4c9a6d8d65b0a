package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// firstSeed and seedCount define the seeds that experiments are run with.
	firstSeed = 60413
	seedCount = 2
	// shortfallMargin is how much worse than its listed value a claim may be, as a fraction of that value.
	shortfallMargin = 0.02
	// experimentTimeout bounds the total time of all experiments.
	experimentTimeout = 4 * time.Minute
	// exitClaimFailed is the exit code of spanlab when a claim fails.
	exitClaimFailed = 3
)

// failingClaim is a claim that is known to fail with a seed, and its value when it was listed.
type failingClaim struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Claim      string  `json:"claim"`
	Value      float64 `json:"value"`
	Cause      string  `json:"cause"`
}

// checkClaims compares the outcomes of an experiment with the claims listed as failing, and returns the problems found.
func checkClaims(outcomes []*Outcome, listed []failingClaim) (problems []string) {
	for _, outcome := range outcomes {
		known := map[string]failingClaim{}
		for _, failing := range listed {
			if failing.Experiment == outcome.Experiment && failing.Seed == outcome.Seed {
				known[failing.Claim] = failing
			}
		}
		addProblem := func(claim, what string) {
			where := fmt.Sprintf("%s, seed %d, claim %q: ", outcome.Experiment, outcome.Seed, claim)
			problems = append(problems, where+what)
		}
		for _, result := range outcome.Claims {
			failing, isListed := known[result.Name]
			delete(known, result.Name)
			if problem := checkClaim(&result, failing, isListed); problem != "" {
				addProblem(result.Name, problem)
			}
		}
		for name := range known {
			addProblem(name, "listed as failing, but the claim does not exist")
		}
	}
	return problems
}

// checkClaim compares a claim with its entry in the list, and returns the problem found; empty: none.
func checkClaim(result *ClaimResult, failing failingClaim, isListed bool) string {
	switch {
	case result.Passed && isListed:
		return fmt.Sprintf("holds with %v, but is listed as failing", result.Value)
	case !result.Passed && !isListed:
		return fmt.Sprintf("fails with %v, but is not listed", result.Value)
	case !result.Passed && isWorseThanListed(result, failing.Value):
		return fmt.Sprintf("%v is worse than the listed %v", result.Value, failing.Value)
	}
	return ""
}

// isWorseThanListed reports whether a claim's value is worse than listed by more than shortfallMargin.
func isWorseThanListed(result *ClaimResult, listed float64) bool {
	if result.Min != nil && result.Value < *result.Min {
		return result.Value < listed*(1-shortfallMargin)
	}
	return result.Value > listed*(1+shortfallMargin)
}

// readFailingClaims reads the list of failing claims. It checks that each entry has a known experiment, a seed that the
// test runs and a cause, and that no claim is listed twice for the same experiment and seed.
func readFailingClaims(t *testing.T) (listed []failingClaim) {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "short_claims.json"))
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&listed); err != nil {
		t.Fatal(err)
	}
	seen := map[string]bool{}
	for _, failing := range listed {
		key := fmt.Sprintf("%s, seed %d, claim %q", failing.Experiment, failing.Seed, failing.Claim)
		if _, err := Load(failing.Experiment); err != nil {
			t.Errorf("short_claims.json: %s: %v", key, err)
		}
		if failing.Seed < firstSeed || failing.Seed >= firstSeed+seedCount || failing.Cause == "" || seen[key] {
			t.Errorf("short_claims.json: %s: want a seed that is run, a cause, and only one entry for the claim", key)
		}
		seen[key] = true
	}
	return listed
}

// buildSpanlab builds spanlab without the race detector and returns its path. Each emulated world runs on one
// goroutine, and the detector would make the experiments ten times slower. Other tests of the package run small
// experiments with the detector.
func buildSpanlab(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "spanlab")
	build := exec.Command("go", "build", "-race=false", "-o", binary, "spantack/cmd/spanlab")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return binary
}

// runSeeds runs an experiment at size small with all seeds of the test.
func runSeeds(ctx context.Context, t *testing.T, binary, name string) (outcomes []*Outcome) {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.CommandContext(ctx, binary, "run", name, "--size", "small", "--out", dir,
		"--seed", strconv.Itoa(firstSeed), "--seeds", strconv.Itoa(seedCount))
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == exitClaimFailed) {
		t.Fatalf("spanlab run %s: %v\n%s", name, err, out)
	}
	text, err := os.ReadFile(filepath.Join(dir, "result.json"))
	if err != nil {
		t.Fatal(err)
	}
	if err := json.Unmarshal(text, &outcomes); err != nil {
		t.Fatal(err)
	}
	return outcomes
}

// Every experiment passes its claims at size small with both seeds. Claims listed in short_claims.json may fail, but
// not be worse than listed by more than shortfallMargin. A listed claim that passes again fails the test. This keeps
// the list up to date.
func TestEveryExperimentPassesItsClaims(t *testing.T) {
	listed := readFailingClaims(t)
	binary := buildSpanlab(t)
	ctx, cancel := context.WithTimeout(t.Context(), experimentTimeout)
	defer cancel()
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			outcomes := runSeeds(ctx, t, binary, name)
			if len(outcomes) != seedCount {
				t.Fatalf("%d outcomes, want %d, one for each seed", len(outcomes), seedCount)
			}
			for _, problem := range checkClaims(outcomes, listed) {
				t.Error(problem)
			}
		})
	}
}

func TestCheckClaims(t *testing.T) {
	bound := 0.9
	atLeast := Claim{Name: "worth", Min: &bound}
	atMost := Claim{Name: "worth", Max: &bound}
	outcome := func(claim Claim, value float64, passed bool) []*Outcome {
		result := ClaimResult{Claim: claim, Value: value, Passed: passed}
		return []*Outcome{{Experiment: "flood", Seed: 7, Claims: []ClaimResult{result}}}
	}
	listed := func(claim string, seed uint64, value float64) []failingClaim {
		return []failingClaim{{Experiment: "flood", Seed: seed, Claim: claim, Value: value, Cause: "known"}}
	}
	for _, test := range []struct {
		name     string
		outcomes []*Outcome
		listed   []failingClaim
		want     string // empty: no problem
	}{
		{"passed", outcome(atLeast, 0.95, true), nil, ""},
		{"failing and listed", outcome(atLeast, 0.8, false), listed("worth", 7, 0.8), ""},
		{"failing, within the margin", outcome(atLeast, 0.79, false), listed("worth", 7, 0.8), ""},
		{"over a maximum, within the margin", outcome(atMost, 0.96, false), listed("worth", 7, 0.95), ""},
		{"failing and not listed", outcome(atLeast, 0.8, false), nil, "not listed"},
		{"listed on another seed", outcome(atLeast, 0.8, false), listed("worth", 8, 0.8), "not listed"},
		{"passed again", outcome(atLeast, 0.95, true), listed("worth", 7, 0.8), "holds with 0.95"},
		{"failing beyond the margin", outcome(atLeast, 0.78, false), listed("worth", 7, 0.8),
			"0.78 is worse than the listed 0.8"},
		{"over a maximum, beyond the margin", outcome(atMost, 0.98, false), listed("worth", 7, 0.95),
			"0.98 is worse than the listed 0.95"},
		{"unknown claim listed", outcome(atLeast, 0.95, true), listed("speed", 7, 0.8), "the claim does not exist"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := strings.Join(checkClaims(test.outcomes, test.listed), "; ")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("problems %q, want %q", got, test.want)
			}
		})
	}
}
