package cells

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"spantack/core/rollout"
	"spantack/routing"
)

func pricesRelease() *rollout.Rollout {
	return &rollout.Rollout{Version: 1, Name: "prices", Prefix: "bb", Since: 10_000, Rings: []rollout.Ring{{Cells: []string{"one"}, OpensAt: 60_000, JudgeWithin: 300_000}}}
}

// runReleaseDay sends requests of both cells for so many seconds, a tenth of them for the release; in cell one, a part of those is late. It
// returns how many of the release were let in by cell, before the ring opened and after, and what the log said.
func runReleaseDay(t *testing.T, m *Admission, late float64, seconds int64) (in map[string]int, log string) {
	t.Helper()
	rng := rand.New(rand.NewPCG(3, 3))
	in = map[string]int{}
	n := 0
	for now := 10 * sec; now < (10+seconds)*sec; now += 4 * msec {
		n++
		ev := routing.Event{Kind: routing.EventRequest, RequestID: fmt.Sprint("r", n), Class: "page", Timeout: 3 * sec, SizeKB: 5, Object: fmt.Sprintf("aa%014x", n%100)}
		cell := "two"
		if n%2 == 0 {
			ev.PurgeGroup, cell = 3, "one"
		} else {
			ev.PurgeGroup = 50
		}
		release := n%20 < 2
		if release {
			ev.Object = fmt.Sprintf("bb%014x", n%100)
		}
		at := now
		for _, act := range m.Step(now, []routing.Event{ev}) {
			switch act.Kind {
			case routing.ActionLog:
				log += act.LogText + "\n"
			case routing.ActionSend:
				if release {
					in[fmt.Sprintf("%s after %v", cell, now >= 60*sec)]++
				}
				if rng.Float64() < 0.01 || release && rng.Float64() < late {
					at += sec
				}
				m.Step(at, []routing.Event{{Kind: routing.EventOutcome, RequestID: act.RequestID, Server: act.Server, Outcome: routing.OutcomeServed, CacheStatus: 1, ResponseTime: at - now, IsFinal: true}})
			case routing.ActionReject:
				if !release {
					t.Fatalf("a request that is none of the release's is refused: %v", m.Stats.Rejected)
				}
			}
		}
	}
	return in, log
}

// ReasonRequestRate for a release are refused at once in cells that have not got it, and let in where they have; nothing else is touched.
func TestReleaseFollowsItsRings(t *testing.T) {
	m := newTestAdmission(t, twoCells(), cacheNames(8)...)
	if err := m.SetRollout(10*sec, pricesRelease()); err != nil {
		t.Fatal(err)
	}
	in, log := runReleaseDay(t, m, 0, 110)
	if in["one after false"]+in["two after false"]+in["two after true"] > 0 || in["one after true"] < 500 {
		t.Errorf("let in: %v", in)
	}
	if m.Stats.Rejected[ReasonNotReleased] == 0 || !strings.Contains(log, "release prices, ring 0 ([one]): judging\n") || strings.Contains(log, "stopped") {
		t.Errorf("refused %v, log %q", m.Stats.Rejected, log)
	}
	stop := pricesRelease()
	stop.Version, stop.RollbackAt = 2, 121_000
	if err := m.SetRollout(121*sec, stop); err != nil {
		t.Fatal(err)
	}
	a := &testClient{t: t, admission: m, now: 122 * sec}
	a.request(routing.Event{PurgeGroup: 3, Object: "aa00"})
	if got := a.request(routing.Event{PurgeGroup: 3, Object: "bb00"}); got != "" || m.RolloutStatus().Rings[0].State != "stopped" {
		t.Errorf("after the document stopped it: %q, %+v", got, m.RolloutStatus())
	}
	if err := m.SetRollout(123*sec, nil); err != nil || m.RolloutStatus() != nil {
		t.Error("ended, and still there")
	}
	if got := a.request(routing.Event{PurgeGroup: 50, Object: "bb00"}); got == "" {
		t.Error("refused with no stage in force")
	}
}

// A release whose answers come late is stopped by what this router sees, with the measure in the log.
func TestHarmfulReleaseIsStopped(t *testing.T) {
	m := newTestAdmission(t, twoCells(), cacheNames(8)...)
	if err := m.SetRollout(10*sec, pricesRelease()); err != nil {
		t.Fatal(err)
	}
	_, log := runReleaseDay(t, m, 0.5, 110)
	if !strings.Contains(log, "stopped, by late answers") || m.RolloutStatus().Rings[0].State != "stopped" || m.RolloutStatus().Rings[0].HarmMeasure != "late answers" {
		t.Errorf("log %q, %+v", log, m.RolloutStatus())
	}
}

// Prices that are renewed under their names: each cell asks for copies as its ring lets it, by the document's clock, and other objects are
// left alone.
func TestRenewedObjectsRespectMaxAge(t *testing.T) {
	m := newTestAdmission(t, twoCells(), cacheNames(8)...)
	m.DocumentClockOffset = 200_000
	s := pricesRelease()
	s.Since, s.ReplacesObjects, s.OldCopyMaxAge = 50_000, true, 600_000
	if err := m.SetRollout(10*sec, s); err != nil {
		t.Fatal(err)
	}
	n := 0
	ask := func(now int64, group int64, object string) int64 {
		n++
		for _, a := range m.Step(now, []routing.Event{{Kind: routing.EventRequest, RequestID: fmt.Sprint("a", n), Class: "page", Timeout: 3 * sec, SizeKB: 5, PurgeGroup: group, Object: object}}) {
			if a.Kind == routing.ActionSend {
				return a.MaxAge
			}
		}
		t.Fatalf("at %d refused: %v", now, m.Stats.Rejected)
		return 0
	}
	usual := ask(55*sec, 3, "aa01")
	if got := ask(55*sec, 3, "bb01"); usual > 0 && got != 600*sec {
		t.Errorf("ring shut: %d", got)
	}
	if got, most := ask(70*sec, 3, "bb02"), 20*sec+m.DocumentClockOffset; got > most || got < most-10*msec {
		t.Errorf("ring open: copies as old as %d us, %d since the release", got, most)
	}
	if got := ask(70*sec, 50, "bb03"); usual > 0 && got != 600*sec {
		t.Errorf("no ring's: %d", got)
	}
	s2 := *s
	s2.Version, s2.RollbackAt = 2, 71_000
	if err := m.SetRollout(70*sec, &s2); err != nil {
		t.Fatal(err)
	}
	for _, group := range []int64{3, 50} {
		if got, most := ask(72*sec, group, "bb04"), 1*sec+m.DocumentClockOffset; got > most || got < most-10*msec {
			t.Errorf("taken back: copies as old as %d us, %d since then", got, most)
		}
	}
}

// With no request at all a ring opens in its time, and the log hears of it once.
func TestTickWithoutRequests(t *testing.T) {
	m := newTestAdmission(t, twoCells(), cacheNames(8)...)
	if err := m.SetRollout(10*sec, pricesRelease()); err != nil {
		t.Fatal(err)
	}
	if says := m.Tick(59 * sec); len(says) != 0 {
		t.Errorf("before: %v", says)
	}
	if says := m.Tick(60 * sec); len(says) != 1 || !strings.Contains(says[0].LogText, "judging") {
		t.Errorf("at its time: %v", says)
	}
	if says := m.Tick(61 * sec); len(says) != 0 {
		t.Errorf("after: %v", says)
	}
}

func TestCheckRolloutNamesTheField(t *testing.T) {
	a := mustCompile(t, twoCells())
	for want, spoil := range map[string]func(*rollout.Rollout){
		"":                                 func(*rollout.Rollout) {},
		"stage.name: ":                     func(s *rollout.Rollout) { s.Name = "" },
		"stage.rings[0].cells:":            func(s *rollout.Rollout) { s.Rings[0].Cells = []string{"x"} },
		"stage.rings[0].cells: every cell": func(s *rollout.Rollout) { s.Rings[0].Cells = []string{"one", "two"} },
	} {
		s := pricesRelease()
		spoil(s)
		if err := a.CheckRollout(s); (err == nil) != (want == "") || err != nil && !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
	}
	if err := a.CheckRollout(nil); err != nil {
		t.Error(err)
	}
}
