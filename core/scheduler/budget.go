package scheduler

import "math"

// SetBudgetFraction sets the fraction of each resource's rate that background jobs may use from now on. It is clamped
// to the range 0 to 1. Callers reduce it while foreground work is late.
func (s *Scheduler) SetBudgetFraction(now int64, fraction float64) {
	s.refill(now)
	s.budgetFraction = min(max(fraction, 0), 1)
}

// refill advances to now and adds the tokens that have accrued since the last call, up to the burst of each resource.
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

// tokensAvailableAt returns the earliest time at which every resource that a job uses has tokens above 0;
// math.MaxInt64 if the current rates never allow that.
func (s *Scheduler) tokensAvailableAt(j *job) int64 {
	earliest := s.now
	for i := range s.config.Resources {
		if j.Cost[i] == 0 || s.tokens[i] > 0 {
			continue
		}
		rate := s.budgetFraction * s.config.Resources[i].RatePerSecond / microsPerSecond
		if rate == 0 {
			return math.MaxInt64
		}
		earliest = max(earliest, s.now+int64(-s.tokens[i]/rate)+1)
	}
	return earliest
}

// charge subtracts the cost of a job's next attempt from the tokens.
func (s *Scheduler) charge(j *job) {
	copy(j.charged, j.Cost)
	for i, cost := range j.Cost {
		s.tokens[i] -= cost
	}
}

// chargeActualUse replaces the estimated cost of an attempt by its actual use. It skips resources whose value in used
// is missing, negative or not finite.
func (s *Scheduler) chargeActualUse(j *job, used []float64) {
	for i := range s.tokens {
		if i < len(used) && used[i] >= 0 && !math.IsInf(used[i], 1) {
			s.tokens[i] = min(s.tokens[i]+j.charged[i]-used[i], s.config.Resources[i].burst())
		}
	}
}
