package scheduler

import (
	"fmt"
	"testing"
)

// Guards against jobs that together use more of a resource than its rate, its burst and the cost of one attempt allow,
// and against a budget that is not used up although jobs are queued.
func TestBudgetIsUsedButNotExceeded(t *testing.T) {
	const (
		ratePerS = 1000.0
		burst    = 500.0
		cost     = 30.0
	)
	config := sampleConfig()
	config.MaxQueued = 1000
	config.MaxRunning = 1000
	s := newScheduler(t, config)
	for i := range 900 {
		submit(t, s, sec, fmt.Sprint("j", i), Normal, 0, cost, 5)
	}
	used := 0.0
	now := sec
	for now < 11*sec {
		r := s.Step(now)
		for _, attempt := range r.Start {
			used += cost
			s.Finish(now, attempt.ID, attempt.Number, Done, []float64{cost, 5})
		}
		if limit := ratePerS*float64(now-sec)/1e6 + burst + cost; used > limit {
			t.Fatalf("%v used after %d us, at most %v allowed", used, now-sec, limit)
		}
		if r.NextStep <= now {
			t.Fatalf("NextStep is %d, want after %d", r.NextStep, now)
		}
		now = min(r.NextStep, now+100*ms)
	}
	if used < 9900 {
		t.Errorf("%v used in 10 s, 10,500 available", used)
	}
}

// Guards against attempts that start while foreground work is late and the budget fraction is 0, apart from the burst,
// and against a budget that stays unavailable after the fraction is raised again.
func TestBudgetFractionLimitsAttempts(t *testing.T) {
	s := newScheduler(t, sampleConfig())
	s.SetBudgetFraction(sec, 0)
	for i := range 60 {
		submit(t, s, sec, fmt.Sprint("j", i), Normal, 0, 100, 0)
	}
	started := 0
	run := func(from, to int64) {
		for now := from; now < to; now += 10 * ms {
			for _, attempt := range s.Step(now).Start {
				started++
				s.Finish(now, attempt.ID, attempt.Number, Done, []float64{100, 0})
			}
		}
	}
	run(sec, 4*sec)
	if started > 5 {
		t.Errorf("%d attempts started without a budget, the burst allows 5", started)
	}
	s.SetBudgetFraction(4*sec, 0.5)
	before := started
	run(4*sec, 8*sec)
	if got := started - before; got < 18 || got > 21 {
		t.Errorf("%d attempts started in 4 s with half the budget, want about 20", got)
	}
}
