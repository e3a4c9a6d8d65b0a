package scheduler

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

const (
	ms  = int64(1000)
	sec = 1000 * ms
)

// counts returns the number of queued jobs, of jobs that back off, and of running attempts.
func (s *Scheduler) counts() (queued, backingOff, running int) {
	return s.queued, len(s.jobs) - s.queued - s.running, s.running
}

func sampleConfig() Config {
	return Config{
		Resources:      []Resource{{"link", 1000, 500 * ms}, {"origin", 200, 500 * ms}},
		MaxQueued:      100,
		MaxRunning:     8,
		AttemptTimeout: 2 * sec,
		InitialBackoff: 100 * ms,
		MaxBackoff:     5 * sec,
		AgingInterval:  10 * sec,
	}
}

func newScheduler(t *testing.T, config Config) *Scheduler {
	t.Helper()
	s, err := New(config, sec, 1)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func submit(t *testing.T, s *Scheduler, now int64, id string, p Priority, deadline int64, cost ...float64) {
	t.Helper()
	if _, err := s.Submit(now, Job{ID: id, Priority: p, Deadline: deadline, Cost: cost}); err != nil {
		t.Fatal(err)
	}
}

func startedIDs(r StepResult) string {
	var ids []string
	for _, attempt := range r.Start {
		ids = append(ids, attempt.ID)
	}
	return strings.Join(ids, " ")
}

func TestOrderIsRankThenDeadline(t *testing.T) {
	s := newScheduler(t, sampleConfig())
	submit(t, s, sec, "idle", Idle, 0, 1, 0)
	submit(t, s, sec, "late", Normal, 9*sec, 1, 0)
	submit(t, s, sec, "none", Normal, 0, 1, 0)
	submit(t, s, sec, "soon", Normal, 5*sec, 1, 0)
	submit(t, s, sec, "urgent", Urgent, 0, 1, 0)
	if got := startedIDs(s.Step(sec)); got != "urgent soon late none idle" {
		t.Error(got)
	}
}

// Guards against starvation: a job with the lowest priority must start within four AgingIntervals, although jobs with a
// high priority keep coming.
func TestLowPriorityJobDoesNotStarve(t *testing.T) {
	config := sampleConfig()
	config.MaxRunning = 1
	s := newScheduler(t, config)
	submit(t, s, sec, "idle", Idle, 0, 0, 0)
	now := sec
	for i := 0; now < 60*sec; i++ {
		// There is always a queued job with a high priority.
		submit(t, s, now, fmt.Sprint("p", i), High, 0, 0, 0)
		for _, attempt := range s.Step(now).Start {
			if attempt.ID == "idle" {
				if now > sec+4*config.AgingInterval {
					t.Errorf("idle job started after %d us", now-sec)
				}
				return
			}
			s.Finish(now, attempt.ID, attempt.Number, Done, nil)
		}
		now += 100 * ms
	}
	t.Error("idle job never started")
}

// Guards against backoffs that are not exponential, lost attempts that are not retried after the timeout, and more
// attempts than MaxAttempts.
func TestRetriesBackOffAndStopAtMaxAttempts(t *testing.T) {
	s := newScheduler(t, sampleConfig())
	if _, err := s.Submit(sec, Job{ID: "j", Priority: Normal, Cost: []float64{1, 1}, MaxAttempts: 4}); err != nil {
		t.Fatal(err)
	}
	var started []int64
	for now := sec; now < 60*sec; now += ms {
		for _, attempt := range s.Step(now).Start {
			started = append(started, now)
			if attempt.Number == 3 {
				continue // lost, without a call of Finish
			}
			abandoned := s.Finish(now, attempt.ID, attempt.Number, Failed, nil)
			if len(abandoned) > 0 && (abandoned[0].Reason != AttemptsExhausted || attempt.Number != 4) {
				t.Errorf("abandoned %+v after attempt %d", abandoned, attempt.Number)
			}
		}
	}
	if len(started) != 4 {
		t.Fatalf("%d attempts, want 4", len(started))
	}
	for i, bounds := range [][2]int64{
		{50 * ms, 102 * ms},
		{100 * ms, 202 * ms},
		{2*sec + 200*ms, 2*sec + 402*ms},
	} {
		if gap := started[i+1] - started[i]; gap < bounds[0] || gap > bounds[1] {
			t.Errorf("gap %d between attempts is %d us", i, gap)
		}
	}
	if queued, backingOff, running := s.counts(); queued+backingOff+running != 0 || s.wheel.count != 0 {
		t.Errorf("%d queued, %d backing off, %d running jobs and %d timers left", queued, backingOff, running, s.wheel.count)
	}
}

func TestJobsPastDeadlineAndEvictedJobsAreAbandoned(t *testing.T) {
	config := sampleConfig()
	config.MaxQueued = 3
	config.MaxRunning = 1
	s := newScheduler(t, config)
	submit(t, s, sec, "running", Normal, 0, 1, 0)
	s.Step(sec)
	submit(t, s, sec, "due", Normal, 2*sec, 1, 0)
	submit(t, s, sec, "idle", Idle, 0, 1, 0)
	submit(t, s, sec, "normal", Normal, 0, 1, 0)
	high := Job{ID: "high", Priority: High, Cost: []float64{1, 0}}
	if _, err := s.Submit(sec, Job{ID: "another", Priority: Idle, Cost: []float64{1, 0}}); !errors.Is(err, ErrQueueFull) {
		t.Errorf("idle job submitted to a full queue: got %v, want ErrQueueFull", err)
	}
	if abandoned, err := s.Submit(sec, high); err != nil || !slices.Equal(abandoned, []Abandoned{{"idle", Evicted}}) {
		t.Errorf("high job submitted to a full queue: got %v, %v, want the idle job evicted", abandoned, err)
	}
	if _, err := s.Submit(sec, high); !errors.Is(err, ErrDuplicateJob) {
		t.Errorf("job submitted twice: got %v, want ErrDuplicateJob", err)
	}
	if _, err := s.Submit(sec, Job{ID: "x", Priority: High, Cost: []float64{1}}); !errors.Is(err, ErrInvalidJob) {
		t.Errorf("job with one cost for two resources: got %v, want ErrInvalidJob", err)
	}
	if r := s.Step(2*sec + 10*ms); !slices.Equal(r.Abandoned, []Abandoned{{"due", DeadlinePassed}}) {
		t.Errorf("step after the deadline: got %+v, want job due abandoned", r)
	}
	if s.Finish(3*sec, "running", 7, Done, nil); s.jobs["running"] == nil {
		t.Error("Finish of another attempt ended the running one")
	}
}

// randomHistory makes random calls of a scheduler and records the resulting states of its jobs.
type randomHistory struct {
	t         *testing.T
	seed      uint64
	rng       *rand.Rand
	scheduler *Scheduler
	now       int64
	submitted int
	running   map[string]int  // number of the attempt, by job
	ended     map[string]bool // jobs that were cancelled or abandoned
}

func (h *randomHistory) recordAbandoned(abandoned []Abandoned) {
	for _, a := range abandoned {
		if h.ended[a.ID] {
			h.t.Fatalf("seed %d: job %s ended twice", h.seed, a.ID)
		}
		h.ended[a.ID] = true
		delete(h.running, a.ID)
	}
}

func (h *randomHistory) submit() {
	h.submitted++
	j := Job{
		ID:          fmt.Sprint(h.submitted),
		Priority:    Priority(h.rng.IntN(int(priorityCount))),
		Cost:        []float64{h.rng.Float64() * 50, h.rng.Float64() * 10},
		MaxAttempts: h.rng.IntN(4),
	}
	if h.rng.IntN(3) == 0 {
		j.Deadline = h.now + int64(h.rng.IntN(3_000_000))
	}
	abandoned, err := h.scheduler.Submit(h.now, j)
	if err != nil && !errors.Is(err, ErrQueueFull) {
		h.t.Fatal(err)
	}
	h.recordAbandoned(abandoned)
}

func (h *randomHistory) cancel() {
	id := fmt.Sprint(h.rng.IntN(h.submitted + 1))
	if h.scheduler.Cancel(h.now, id) {
		h.ended[id] = true
		delete(h.running, id)
	}
}

func (h *randomHistory) finish() {
	for _, id := range slices.Sorted(maps.Keys(h.running)) {
		attempt := h.running[id]
		if h.rng.IntN(3) != 0 {
			continue
		}
		outcome := Outcome(h.rng.IntN(3))
		abandoned := h.scheduler.Finish(h.now, id, attempt, outcome, []float64{h.rng.Float64() * 60, 3})
		delete(h.running, id)
		h.recordAbandoned(abandoned)
	}
}

func (h *randomHistory) step() {
	result := h.scheduler.Step(h.now)
	h.recordAbandoned(result.Abandoned)
	for _, attempt := range result.Start {
		if h.ended[attempt.ID] {
			h.t.Fatalf("seed %d: job %s starts after it ended", h.seed, attempt.ID)
		}
		h.running[attempt.ID] = attempt.Number
	}
	queued, backingOff, running := h.scheduler.counts()
	timers, jobs := h.scheduler.wheel.count, len(h.scheduler.jobs)
	if queued < 0 || backingOff < 0 || running > 8 || queued > 100 || timers > jobs {
		h.t.Fatalf("seed %d: %d queued, %d backing off, %d running, %d timers for %d jobs",
			h.seed, queued, backingOff, running, timers, jobs)
	}
}

// Guards against jobs that end twice or start after they ended, against counts outside their bounds, and against timers
// that are never freed, under random calls.
func TestRandomCallsKeepInvariants(t *testing.T) {
	for seed := range uint64(40) {
		h := randomHistory{
			t:         t,
			seed:      seed,
			rng:       rand.New(rand.NewPCG(seed, 9)),
			scheduler: newScheduler(t, sampleConfig()),
			now:       sec,
			running:   map[string]int{},
			ended:     map[string]bool{},
		}
		for range 3000 {
			h.now += int64(h.rng.IntN(30_000))
			switch h.rng.IntN(4) {
			case 0:
				h.submit()
			case 1:
				h.cancel()
			default:
				h.finish()
			}
			h.step()
		}
	}
}

func BenchmarkScheduler(b *testing.B) {
	config := sampleConfig()
	config.MaxQueued = 1 << 20
	config.MaxRunning = 1 << 20
	config.Resources[0].RatePerSecond = 1e12
	config.Resources[1].RatePerSecond = 1e12
	s, err := New(config, 0, 1)
	if err != nil {
		b.Fatal(err)
	}
	s.SetBudgetFraction(0, 0)
	s.tokens[0] = -1 // no attempt starts yet
	cost := []float64{1, 1}
	for i := range 100_000 {
		if _, err := s.Submit(0, Job{ID: fmt.Sprint("w", i), Priority: Idle, Cost: cost}); err != nil {
			b.Fatal(err)
		}
	}
	s.SetBudgetFraction(0, 1)
	names := make([]string, 1024)
	for i := range names {
		names[i] = fmt.Sprint("n", i)
	}
	b.ReportAllocs()
	now := int64(1)
	for i := 0; b.Loop(); i++ {
		now++
		id := names[i%len(names)]
		if _, err := s.Submit(now, Job{ID: id, Priority: Urgent, Cost: cost}); err != nil {
			b.Fatal(err)
		}
		for _, attempt := range s.Step(now).Start {
			s.Finish(now, attempt.ID, attempt.Number, Done, cost)
		}
	}
}
