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
	// shortfallMargin is the fraction of its listed value by which a listed claim may get worse.
	shortfallMargin = 0.02
	// experimentTimeout bounds the total time of all experiments.
	experimentTimeout = 4 * time.Minute
	// exitShort is the exit code of spanlab when a claim falls short.
	exitShort = 3
)

// shortClaim is a claim that is known to fall short with a seed, and its value when it was listed.
type shortClaim struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Claim      string  `json:"claim"`
	Value      float64 `json:"value"`
	Cause      string  `json:"cause"`
}

// checkClaims compares the outcomes of an experiment with the claims listed as short, and returns the faults found.
func checkClaims(outcomes []*Outcome, listed []shortClaim) (faults []string) {
	for _, outcome := range outcomes {
		known := map[string]shortClaim{}
		for _, short := range listed {
			if short.Experiment == outcome.Experiment && short.Seed == outcome.Seed {
				known[short.Claim] = short
			}
		}
		addFault := func(claim, what string) {
			where := fmt.Sprintf("%s, seed %d, claim %q: ", outcome.Experiment, outcome.Seed, claim)
			faults = append(faults, where+what)
		}
		for _, verdict := range outcome.Claims {
			short, isListed := known[verdict.Name]
			delete(known, verdict.Name)
			if fault := checkClaim(&verdict, short, isListed); fault != "" {
				addFault(verdict.Name, fault)
			}
		}
		for name := range known {
			addFault(name, "listed as short, but the claim does not exist")
		}
	}
	return faults
}

// checkClaim compares a claim with its entry in the list, and returns the fault found; empty: none.
func checkClaim(verdict *Verdict, short shortClaim, isListed bool) string {
	switch {
	case verdict.Passed && isListed:
		return fmt.Sprintf("holds with %v, but is listed as short", verdict.Value)
	case !verdict.Passed && !isListed:
		return fmt.Sprintf("short with %v, but not listed", verdict.Value)
	case !verdict.Passed && isWorseThanListed(verdict, short.Value):
		return fmt.Sprintf("%v is worse than the listed %v", verdict.Value, short.Value)
	}
	return ""
}

// isWorseThanListed reports whether a claim misses its bound by more than when it was listed, beyond shortfallMargin.
func isWorseThanListed(verdict *Verdict, listed float64) bool {
	if verdict.Min != nil && verdict.Value < *verdict.Min {
		return verdict.Value < listed*(1-shortfallMargin)
	}
	return verdict.Value > listed*(1+shortfallMargin)
}

// readShortClaims reads the list of short claims. It checks that each entry has a known experiment, a seed that is run
// and a cause, and that none is listed twice.
func readShortClaims(t *testing.T) (listed []shortClaim) {
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
	for _, short := range listed {
		key := fmt.Sprintf("%s, seed %d, claim %q", short.Experiment, short.Seed, short.Claim)
		if _, err := Load(short.Experiment); err != nil {
			t.Errorf("short_claims.json: %s: %v", key, err)
		}
		if short.Seed < firstSeed || short.Seed >= firstSeed+seedCount || short.Cause == "" || seen[key] {
			t.Errorf("short_claims.json: %s: the seed is not run, the cause is missing, or the claim is listed twice", key)
		}
		seen[key] = true
	}
	return listed
}

// buildSpanlab builds spanlab without the race detector and returns its path. Each emulated world runs on one
// goroutine, and the detector would slow the experiments down tenfold. Other tests of the package run small
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
	if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == exitShort) {
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

// Every experiment passes its claims at size small with both seeds. Claims listed in short_claims.json may fall short,
// but not by more than listed. A listed claim that passes again fails the test, so that the list stays up to date.
func TestEveryExperimentPassesItsClaims(t *testing.T) {
	listed := readShortClaims(t)
	binary := buildSpanlab(t)
	ctx, cancel := context.WithTimeout(t.Context(), experimentTimeout)
	defer cancel()
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			outcomes := runSeeds(ctx, t, binary, name)
			if len(outcomes) != seedCount {
				t.Fatalf("%d outcomes, want %d, one for each seed", len(outcomes), seedCount)
			}
			for _, fault := range checkClaims(outcomes, listed) {
				t.Error(fault)
			}
		})
	}
}

func TestCheckClaims(t *testing.T) {
	bound := 0.9
	atLeast := Claim{Name: "worth", Min: &bound}
	atMost := Claim{Name: "worth", Max: &bound}
	outcome := func(claim Claim, value float64, passed bool) []*Outcome {
		verdict := Verdict{Claim: claim, Value: value, Passed: passed}
		return []*Outcome{{Experiment: "flood", Seed: 7, Claims: []Verdict{verdict}}}
	}
	listed := func(claim string, seed uint64, value float64) []shortClaim {
		return []shortClaim{{Experiment: "flood", Seed: seed, Claim: claim, Value: value, Cause: "known"}}
	}
	for _, test := range []struct {
		name     string
		outcomes []*Outcome
		listed   []shortClaim
		want     string // empty: no fault
	}{
		{"passed", outcome(atLeast, 0.95, true), nil, ""},
		{"short and listed", outcome(atLeast, 0.8, false), listed("worth", 7, 0.8), ""},
		{"short, within the margin", outcome(atLeast, 0.79, false), listed("worth", 7, 0.8), ""},
		{"over a maximum, within the margin", outcome(atMost, 0.96, false), listed("worth", 7, 0.95), ""},
		{"short and not listed", outcome(atLeast, 0.8, false), nil, "not listed"},
		{"listed on another seed", outcome(atLeast, 0.8, false), listed("worth", 8, 0.8), "not listed"},
		{"passed again", outcome(atLeast, 0.95, true), listed("worth", 7, 0.8), "holds with 0.95"},
		{"short beyond the margin", outcome(atLeast, 0.78, false), listed("worth", 7, 0.8),
			"0.78 is worse than the listed 0.8"},
		{"over a maximum, beyond the margin", outcome(atMost, 0.98, false), listed("worth", 7, 0.95),
			"0.98 is worse than the listed 0.95"},
		{"unknown claim listed", outcome(atLeast, 0.95, true), listed("speed", 7, 0.8), "the claim does not exist"},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := strings.Join(checkClaims(test.outcomes, test.listed), "; ")
			if test.want == "" && got != "" || !strings.Contains(got, test.want) {
				t.Errorf("faults %q, want %q", got, test.want)
			}
		})
	}
}
