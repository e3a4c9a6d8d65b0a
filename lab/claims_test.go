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
	firstSeed         = 60413
	seedCount         = 2
	shortfallMargin   = 0.02 // share of its listed figure by which a claim known to be short may fall further
	experimentTimeout = 4 * time.Minute
	exitShort         = 3 // exit code of spanlab where a claim falls short
)

// shortClaim is a claim that is known to fall short on a seed, with the figure it had when it was listed.
type shortClaim struct {
	Experiment string  `json:"experiment"`
	Seed       uint64  `json:"seed"`
	Claim      string  `json:"claim"`
	Value      float64 `json:"value"`
	Cause      string  `json:"cause"`
}

// checkClaims holds an experiment's outcomes against the claims listed as short, and returns what is wrong.
func checkClaims(outcomes []*Outcome, listed []shortClaim) (faults []string) {
	fault := func(o *Outcome, claim, format string, args ...any) {
		faults = append(faults, fmt.Sprintf("%s, seed %d, claim %q: ", o.Experiment, o.Seed, claim)+fmt.Sprintf(format, args...))
	}
	for _, o := range outcomes {
		known := map[string]shortClaim{}
		for _, short := range listed {
			if short.Experiment == o.Experiment && short.Seed == o.Seed {
				known[short.Claim] = short
			}
		}
		for _, verdict := range o.Claims {
			short, isListed := known[verdict.Name]
			delete(known, verdict.Name)
			switch {
			case verdict.Passed && isListed:
				fault(o, verdict.Name, "kept with %v, but listed as short", verdict.Value)
			case !verdict.Passed && !isListed:
				fault(o, verdict.Name, "short with %v, and not listed", verdict.Value)
			case !verdict.Passed && hasFallenFurther(&verdict, short.Value):
				fault(o, verdict.Name, "%v, listed as short with %v", verdict.Value, short.Value)
			}
		}
		for name := range known {
			fault(o, name, "listed as short, but there is no such claim")
		}
	}
	return faults
}

// hasFallenFurther tells whether a claim misses its bound by more than when it was listed.
func hasFallenFurther(verdict *Verdict, listed float64) bool {
	if verdict.Min != nil && verdict.Value < *verdict.Min {
		return verdict.Value < listed*(1-shortfallMargin)
	}
	return verdict.Value > listed*(1+shortfallMargin)
}

// readShortClaims reads the list, and checks that each entry names an experiment and a seed that are played, once.
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
			t.Errorf("short_claims.json: %s: a seed that is not played, no cause, or listed twice", key)
		}
		seen[key] = true
	}
	return listed
}

// buildSpanlab builds the command without the race detector: an emulated world runs on one goroutine, and the detector would make
// the experiments ten times as slow. The package's other tests play small experiments under it.
func buildSpanlab(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "spanlab")
	if out, err := exec.Command("go", "build", "-race=false", "-o", binary, "spantack/cmd/spanlab").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return binary
}

// runSeeds plays an experiment at size small on all seeds of the test.
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

// Every experiment keeps its claims at size small on both seeds, save for those listed as short, which fall no further. The list is
// kept true: a listed claim that is kept again fails the test as well.
func TestEveryExperimentPassesItsClaims(t *testing.T) {
	listed := readShortClaims(t)
	binary := buildSpanlab(t)
	ctx, cancel := context.WithTimeout(t.Context(), experimentTimeout)
	defer cancel()
	for _, name := range Names() {
		t.Run(name, func(t *testing.T) {
			outcomes := runSeeds(ctx, t, binary, name)
			if len(outcomes) != seedCount {
				t.Fatalf("%d outcomes of %d seeds", len(outcomes), seedCount)
			}
			for _, fault := range checkClaims(outcomes, listed) {
				t.Error(fault)
			}
		})
	}
}

func TestCheckClaims(t *testing.T) {
	bound := 0.9
	outcome := func(value float64, kept, most bool) []*Outcome {
		claim := Claim{Name: "worth", Min: &bound}
		if most {
			claim = Claim{Name: "worth", Max: &bound}
		}
		return []*Outcome{{Experiment: "flood", Seed: 7, Claims: []Verdict{{Claim: claim, Value: value, Passed: kept}}}}
	}
	listed := func(claim string, seed uint64, value float64) []shortClaim {
		return []shortClaim{{Experiment: "flood", Seed: seed, Claim: claim, Value: value, Cause: "known"}}
	}
	for _, tt := range []struct {
		name     string
		outcomes []*Outcome
		listed   []shortClaim
		want     string // "": no fault
	}{
		{"kept", outcome(0.95, true, false), nil, ""},
		{"short and listed", outcome(0.8, false, false), listed("worth", 7, 0.8), ""},
		{"short, within the margin", outcome(0.79, false, false), listed("worth", 7, 0.8), ""},
		{"over a most, within the margin", outcome(0.96, false, true), listed("worth", 7, 0.95), ""},
		{"short and not listed", outcome(0.8, false, false), nil, "not listed"},
		{"listed on another seed", outcome(0.8, false, false), listed("worth", 8, 0.8), "not listed"},
		{"kept again", outcome(0.95, true, false), listed("worth", 7, 0.8), "kept with 0.95"},
		{"fell further", outcome(0.78, false, false), listed("worth", 7, 0.8), "0.78, listed as short with 0.8"},
		{"rose further over a most", outcome(0.98, false, true), listed("worth", 7, 0.95), "0.98, listed as short with 0.95"},
		{"no such claim", outcome(0.95, true, false), listed("speed", 7, 0.8), "there is no such claim"},
	} {
		got := strings.Join(checkClaims(tt.outcomes, tt.listed), "; ")
		if tt.want == "" && got != "" || !strings.Contains(got, tt.want) {
			t.Errorf("%s: %q, want %q", tt.name, got, tt.want)
		}
	}
}
