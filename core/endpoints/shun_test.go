package endpoints

import (
	"testing"

	"spantack/routing"
)

// What a verdict keeps off drains for the module, apart from what staff took out: neither undoes the other, and a verdict is never handed on.
func TestShun(t *testing.T) {
	r := New()
	r.Update(true, []routing.Endpoint{{Server: "a", Status: "healthy"}, {Server: "b", Status: "healthy"}, {Server: "c", Status: "cordoned"}})
	if rows := r.SetEjected([]string{"a", "c", "x"}); len(rows) != 1 || rows[0].Server != "a" || rows[0].Status != "cordoned" {
		t.Fatalf("%+v", rows)
	}
	if rows := r.SetEjected([]string{"x", "a", "c"}); rows != nil {
		t.Errorf("the same once more changes %+v", rows)
	}
	if rows, err := r.Exclude("a"); err != nil || len(rows) != 1 || rows[0].Status != "cordoned" {
		t.Errorf("%+v, %v", rows, err)
	}
	if rows := r.SetEjected(nil); len(rows) != 0 {
		t.Errorf("the end of a verdict puts back what staff took out: %+v", rows)
	}
	r.SetEjected([]string{"a"})
	if rows, err := r.Reinstate("a"); err != nil || len(rows) != 1 || rows[0].Status != "cordoned" {
		t.Errorf("staff put back what a verdict keeps off: %+v, %v", rows, err)
	}
	if outs := r.Exclusions(); len(outs) != 0 {
		t.Errorf("a verdict is handed on: %v", outs)
	}
	if rows := r.Update(false, []routing.Endpoint{{Server: "x", Status: "healthy"}}); rows[0].Status != "healthy" {
		t.Errorf("%+v", rows)
	}
	if rows := r.SetEjected(nil); len(rows) != 1 || rows[0].Status != "healthy" {
		t.Errorf("%+v", rows)
	}
}
