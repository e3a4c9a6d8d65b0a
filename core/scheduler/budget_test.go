package scheduler

import (
	"fmt"
	"testing"
)

// A budget gives its rate, whatever waits: over any span no more than that, its burst and one attempt.
func TestBudgetsBind(t *testing.T) {
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
			t.Fatalf("%v used after %d us, %v at most", used, now-sec, limit)
		}
		if r.NextStep <= now {
			t.Fatalf("next step is %d at %d", r.NextStep, now)
		}
		now = min(r.NextStep, now+100*ms)
	}
	if used < 9900 {
		t.Errorf("%v used in 10 s, 10,500 are there", used)
	}
}

// Foreground work that is late takes the budgets away, and gives them back.
func TestBudgetFractionHoldsBackgroundWorkBack(t *testing.T) {
	s := newScheduler(t, sampleConfig())
	s.SetBudgetFraction(sec, 0)
	for i := range 60 {
		submit(t, s, sec, fmt.Sprint("j", i), Normal, 0, 100, 0)
	}
	begun := 0
	run := func(from, to int64) {
		for now := from; now < to; now += 10 * ms {
			for _, attempt := range s.Step(now).Start {
				begun++
				s.Finish(now, attempt.ID, attempt.Number, Done, []float64{100, 0})
			}
		}
	}
	run(sec, 4*sec)
	if begun > 5 {
		t.Errorf("%d begun without a budget: what was saved up is 5", begun)
	}
	s.SetBudgetFraction(4*sec, 0.5)
	before := begun
	run(4*sec, 8*sec)
	if got := begun - before; got < 18 || got > 21 {
		t.Errorf("%d begun in 4 s of half the budget, 20 are due", got)
	}
}
