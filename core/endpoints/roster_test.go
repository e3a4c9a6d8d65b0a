package endpoints

import (
	"errors"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spantack/routing"
)

func row(id string, status routing.EndpointStatus) routing.Endpoint {
	return routing.Endpoint{Server: id, Kind: "box", Status: status}
}

func statuses(rows []routing.Endpoint) string {
	text := ""
	for _, r := range rows {
		text += r.Server + "=" + string(r.Status) + " "
	}
	return text
}

// What is out stays out through a drain, a restart and a whole new list; one call back undoes two calls out.
func TestOutWhateverTheListSays(t *testing.T) {
	r := New()
	r.Update(true, []routing.Endpoint{row("a", "healthy"), row("b", "healthy")})
	for i, want := range []string{"a=cordoned ", ""} {
		if rows, err := r.Exclude("a"); err != nil || statuses(rows) != want {
			t.Errorf("call %d: %v, %v", i, rows, err)
		}
	}
	restarted := row("a", "healthy")
	restarted.StartedAt = 7
	for _, c := range []struct {
		whole bool
		row   routing.Endpoint
		want  string
	}{{false, row("a", "cordoned"), "a=cordoned "}, {false, row("a", "deregistered"), "a=deregistered "}, {false, restarted, "a=cordoned "},
		{true, restarted, "a=cordoned "}} {
		if got := statuses(r.Update(c.whole, []routing.Endpoint{c.row})); got != c.want {
			t.Errorf("%+v: %s, want %s", c.row, got, c.want)
		}
	}
	rows, err := r.Reinstate("a")
	if err != nil || statuses(rows) != "a=healthy " || rows[0].StartedAt != 7 {
		t.Errorf("back: %+v, %v", rows, err)
	}
	if rows, err := r.Reinstate("a"); err != nil || rows != nil {
		t.Errorf("back twice: %v, %v", rows, err)
	}
}

func TestUnknown(t *testing.T) {
	r := New()
	r.Update(true, []routing.Endpoint{row("a", "healthy")})
	if _, err := r.Exclude("x"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("out: %v", err)
	}
	if _, err := r.Reinstate("x"); !errors.Is(err, ErrUnknownServer) {
		t.Errorf("back: %v", err)
	}
	r.Exclude("a")
	r.Update(true, nil)
	if listed, off := r.Count(func(routing.Endpoint) bool { return true }, nil); listed != 0 || off != 0 {
		t.Errorf("%d listed, %d off", listed, off)
	}
	if rows, err := r.Reinstate("a"); err != nil || rows != nil {
		t.Errorf("back when it has left the list: %v, %v", rows, err)
	}
}

// What the module has heard last of each server is always the list with what is out drawn from it, and a successor that adopts the
// outs hears the same.
func TestModuleHearsTheListLessTheOuts(t *testing.T) {
	ids := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		r, heard, outs := New(), map[string]string{}, map[string]bool{}
		list := map[string]string{}
		hear := func(rows []routing.Endpoint) {
			for _, row := range rows {
				heard[row.Server] = string(row.Status)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				status := rapid.SampledFrom([]routing.EndpointStatus{"healthy", "cordoned", "deregistered"}).Draw(t, "status")
				list[id] = string(status)
				hear(r.Update(false, []routing.Endpoint{row(id, status)}))
			case 1:
				clear(heard)
				clear(list)
				list[id] = "healthy"
				hear(r.Update(true, []routing.Endpoint{row(id, "healthy")}))
			case 2:
				known := outs[id] || list[id] == "healthy" || list[id] == "cordoned"
				rows, err := r.Exclude(id)
				if (err == nil) != known {
					t.Fatalf("out %s: %v, list %v", id, err, list)
				}
				outs[id] = known
				hear(rows)
			case 3:
				rows, _ := r.Reinstate(id)
				delete(outs, id)
				hear(rows)
			case 4:
				next := rapid.SliceOfDistinct(rapid.SampledFrom(ids), rapid.ID[string]).Draw(t, "outs")
				rows, err := r.ReplaceExclusions(next)
				if err != nil {
					t.Fatal(err)
				}
				clear(outs)
				for _, id := range next {
					outs[id] = true
				}
				hear(rows)
			}
			for id, status := range list {
				if status == "healthy" && outs[id] {
					status = "cordoned"
				}
				if heard[id] != status {
					t.Fatalf("of %s the module heard %q last, %q holds", id, heard[id], status)
				}
			}
		}
		maps.DeleteFunc(outs, func(_ string, is bool) bool { return !is })
		if got := r.Exclusions(); !slices.Equal(got, slices.Sorted(maps.Keys(outs))) {
			t.Fatalf("outs %v, want %v", got, outs)
		}
	})
}

func TestAdoptRefuses(t *testing.T) {
	r := New()
	r.Update(true, []routing.Endpoint{row("a", "healthy")})
	r.Exclude("a")
	for _, ids := range [][]string{{""}, {string(make([]byte, maxIDLength+1))}, make([]string, MaxExclusions+1)} {
		if _, err := r.ReplaceExclusions(ids); err == nil {
			t.Errorf("took %d ids", len(ids))
		}
	}
	if got := r.Exclusions(); !slices.Equal(got, []string{"a"}) {
		t.Errorf("outs %v after sets that were refused", got)
	}
}
