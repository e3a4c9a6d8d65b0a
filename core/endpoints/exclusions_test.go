package endpoints

import (
	"errors"
	"slices"
	"testing"

	"spantack/routing"
)

// Guards against an exclusion that ends when the server drains, is removed, restarts or is in a new complete list. Also
// guards against a server that needs two reinstatements after it was excluded twice.
func TestExclusionSurvivesAnnouncements(t *testing.T) {
	l := New()
	l.Update(true, []routing.Endpoint{endpoint("a", routing.EndpointHealthy), endpoint("b", routing.EndpointHealthy)})
	for i, want := range []string{"a=cordoned ", ""} {
		if changed, err := l.Exclude("a"); err != nil || statuses(changed) != want {
			t.Errorf("exclusion %d: %v, %v", i, changed, err)
		}
	}
	restarted := endpoint("a", routing.EndpointHealthy)
	restarted.StartedAt = 7
	for _, test := range []struct {
		name       string
		isSnapshot bool
		announced  routing.Endpoint
		want       string
	}{
		{"drain", false, endpoint("a", routing.EndpointDraining), "a=cordoned "},
		{"removal", false, endpoint("a", routing.EndpointRemoved), "a=deregistered "},
		{"restart", false, restarted, "a=cordoned "},
		{"complete list", true, restarted, "a=cordoned "},
	} {
		if got := statuses(l.Update(test.isSnapshot, []routing.Endpoint{test.announced})); got != test.want {
			t.Errorf("%s: %s, want %s", test.name, got, test.want)
		}
	}
	changed, err := l.Reinstate("a")
	if err != nil || statuses(changed) != "a=healthy " || changed[0].StartedAt != 7 {
		t.Errorf("after the reinstatement: %+v, %v", changed, err)
	}
	if changed, err := l.Reinstate("a"); err != nil || changed != nil {
		t.Errorf("after a second reinstatement: %v, %v", changed, err)
	}
}

func TestUnlistedServerIsNeitherExcludedNorCounted(t *testing.T) {
	l := New()
	l.Update(true, []routing.Endpoint{endpoint("a", routing.EndpointHealthy)})
	if _, err := l.Exclude("x"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("exclude: %v", err)
	}
	if _, err := l.Reinstate("x"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("reinstate: %v", err)
	}
	l.Exclude("a")
	l.Update(true, nil)
	all := func(routing.Endpoint) bool { return true }
	if listed, unavailable := l.Count(all, nil); listed != 0 || unavailable != 0 {
		t.Errorf("%d listed, %d unavailable", listed, unavailable)
	}
	if changed, err := l.Reinstate("a"); err != nil || changed != nil {
		t.Errorf("reinstatement of a server that is no longer listed: %v, %v", changed, err)
	}
}

func TestReplaceExclusionsRejectsInvalidSets(t *testing.T) {
	l := New()
	l.Update(true, []routing.Endpoint{endpoint("a", routing.EndpointHealthy)})
	l.Exclude("a")
	for _, test := range []struct {
		name string
		ids  []string
		want error
	}{
		{"empty ID", []string{""}, ErrInvalidID},
		{"long ID", []string{string(make([]byte, maxIDLength+1))}, ErrInvalidID},
		{"too many", make([]string, MaxExclusions+1), ErrTooManyExclusions},
	} {
		if _, err := l.ReplaceExclusions(test.ids); !errors.Is(err, test.want) {
			t.Errorf("%s: got %v, want %v", test.name, err, test.want)
		}
	}
	if got := l.Exclusions(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("exclusions are %v after rejected sets, want [a]", got)
	}
}
