package endpoints

import (
	"testing"

	"spantack/routing"
)

// An ejected server drains, apart from what operators excluded: neither undoes the other, and an ejection is never
// handed on.
func TestEjectionsAndExclusionsAreApart(t *testing.T) {
	l := New()
	l.Update(true, []routing.Endpoint{
		{Server: "a", Status: routing.EndpointHealthy},
		{Server: "b", Status: routing.EndpointHealthy},
		{Server: "c", Status: routing.EndpointDraining},
	})
	if got := statuses(l.SetEjected([]string{"a", "c", "x"})); got != "a=cordoned " {
		t.Fatalf("ejected: %s", got)
	}
	if changed := l.SetEjected([]string{"x", "a", "c"}); changed != nil {
		t.Errorf("the same once more changes %+v", changed)
	}
	if changed, err := l.Exclude("a"); err != nil || statuses(changed) != "a=cordoned " {
		t.Errorf("excluded as well: %+v, %v", changed, err)
	}
	if changed := l.SetEjected(nil); len(changed) != 0 {
		t.Errorf("the end of an ejection reinstates what operators excluded: %+v", changed)
	}
	l.SetEjected([]string{"a"})
	if changed, err := l.Reinstate("a"); err != nil || statuses(changed) != "a=cordoned " {
		t.Errorf("operators reinstated what is ejected: %+v, %v", changed, err)
	}
	if exclusions := l.Exclusions(); len(exclusions) != 0 {
		t.Errorf("an ejection is handed on: %v", exclusions)
	}
	announced := []routing.Endpoint{{Server: "x", Status: routing.EndpointHealthy}}
	if got := statuses(l.Update(false, announced)); got != "x=healthy " {
		t.Errorf("announced when it is ejected no more: %s", got)
	}
	if got := statuses(l.SetEjected(nil)); got != "a=healthy " {
		t.Errorf("the end of the last ejection: %s", got)
	}
}
