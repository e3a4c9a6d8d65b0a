package endpoints

import (
	"testing"

	"spantack/routing"
)

// Guards against an ejection that ends an operator's exclusion, and against an exclusion that ends an ejection. Also
// guards against ejections that are passed on to the process that replaces this one. An ejected server is draining.
func TestEjectionsAndExclusionsAreIndependent(t *testing.T) {
	l := New()
	l.Update(true, []routing.Endpoint{
		{Server: "a", Status: routing.EndpointHealthy},
		{Server: "b", Status: routing.EndpointHealthy},
		{Server: "c", Status: routing.EndpointDraining},
	})
	if got := statuses(l.SetEjected([]string{"a", "c", "x"})); got != "a=cordoned " {
		t.Fatalf("after the ejection: %s", got)
	}
	if changed := l.SetEjected([]string{"x", "a", "c"}); changed != nil {
		t.Errorf("repeated ejections changed %+v, want no change", changed)
	}
	if changed, err := l.Exclude("a"); err != nil || statuses(changed) != "a=cordoned " {
		t.Errorf("exclusion of an ejected server: %+v, %v", changed, err)
	}
	if changed := l.SetEjected(nil); len(changed) != 0 {
		t.Errorf("the end of an ejection reinstates an excluded server: %+v", changed)
	}
	l.SetEjected([]string{"a"})
	if changed, err := l.Reinstate("a"); err != nil || statuses(changed) != "a=cordoned " {
		t.Errorf("reinstatement of an ejected server: %+v, %v", changed, err)
	}
	if exclusions := l.Exclusions(); len(exclusions) != 0 {
		t.Errorf("exclusions contain an ejected server: %v", exclusions)
	}
	announced := []routing.Endpoint{{Server: "x", Status: routing.EndpointHealthy}}
	if got := statuses(l.Update(false, announced)); got != "x=healthy " {
		t.Errorf("announced after the end of its ejection: %s", got)
	}
	if got := statuses(l.SetEjected(nil)); got != "a=healthy " {
		t.Errorf("after the end of the last ejection: %s", got)
	}
}
