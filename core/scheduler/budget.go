package scheduler

import "math"

// SetBudgetFraction sets the part of their rates that resources give to background jobs from now on, 0 to 1: less while
// foreground work is late.
func (s *Scheduler) SetBudgetFraction(now int64, fraction float64) {
	s.refill(now)
	s.budgetFraction = min(max(fraction, 0), 1)
}

// refill advances to now and adds to the resources' tokens what has become due since.
func (s *Scheduler) refill(now int64) {
	if now <= s.now {
		return
	}
	elapsed := float64(now - s.now)
	for i := range s.config.Resources {
		r := &s.config.Resources[i]
		s.tokens[i] = min(s.tokens[i]+s.budgetFraction*r.RatePerSecond/microsPerSecond*elapsed, r.burst())
	}
	s.now = now
}

// affordableAt is when every resource that a job uses has something left; math.MaxInt64 if that is never at present
// rates.
func (s *Scheduler) affordableAt(j *job) int64 {
	when := s.now
	for i := range s.config.Resources {
		if j.Cost[i] == 0 || s.tokens[i] > 0 {
			continue
		}
		rate := s.budgetFraction * s.config.Resources[i].RatePerSecond / microsPerSecond
		if rate == 0 {
			return math.MaxInt64
		}
		when = max(when, s.now+int64(-s.tokens[i]/rate)+1)
	}
	return when
}

// charge takes the cost of a job's next attempt from the tokens.
func (s *Scheduler) charge(j *job) {
	copy(j.charged, j.Cost)
	for i, cost := range j.Cost {
		s.tokens[i] -= cost
	}
}

// settle replaces what an attempt was charged by what it used, for the resources of which that is known.
func (s *Scheduler) settle(j *job, used []float64) {
	for i := range s.tokens {
		if i < len(used) && used[i] >= 0 && !math.IsInf(used[i], 1) {
			s.tokens[i] = min(s.tokens[i]+j.charged[i]-used[i], s.config.Resources[i].burst())
		}
	}
}
