package scheduler

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

const (
	ms  = int64(1000)
	sec = 1000 * ms
)

func config() Config {
	return Config{Resources: []Resource{{"link", 1000, 500 * ms}, {"origin", 200, 500 * ms}}, MaxQueued: 100, MaxRunning: 8, AttemptTimeout: 2 * sec,
		InitialBackoff: 100 * ms, MaxBackoff: 5 * sec, AgingInterval: 10 * sec}
}

func scheduler(t *testing.T, cfg Config) *Scheduler {
	t.Helper()
	s, err := New(cfg, sec, 1)
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

func ids(r Ready) string {
	var list []string
	for _, x := range r.Start {
		list = append(list, x.ID)
	}
	return strings.Join(list, " ")
}

func TestOrderIsRankThenDeadline(t *testing.T) {
	s := scheduler(t, config())
	submit(t, s, sec, "idle", Idle, 0, 1, 0)
	submit(t, s, sec, "late", Normal, 9*sec, 1, 0)
	submit(t, s, sec, "none", Normal, 0, 1, 0)
	submit(t, s, sec, "soon", Normal, 5*sec, 1, 0)
	submit(t, s, sec, "urgent", Urgent, 0, 1, 0)
	if got := ids(s.Step(sec)); got != "urgent soon late none idle" {
		t.Error(got)
	}
}

// A budget gives its rate, whatever waits: over any time no more than that and the span and one attempt.
func TestBudgetsBind(t *testing.T) {
	cfg := config()
	cfg.MaxQueued, cfg.MaxRunning = 1000, 1000
	s := scheduler(t, cfg)
	for i := range 900 {
		submit(t, s, sec, fmt.Sprint("j", i), Normal, 0, 30, 5)
	}
	taken := 0.0
	now := sec
	for now < 11*sec {
		r := s.Step(now)
		for _, x := range r.Start {
			taken += 30
			s.Finish(now, x.ID, x.Number, Done, []float64{30, 5})
		}
		if most := 1000*float64(now-sec)/1e6 + 500 + 30; taken > most {
			t.Fatalf("%v taken after %d us, %v at most", taken, now-sec, most)
		}
		if r.NextStep <= now {
			t.Fatalf("Next is %d at %d", r.NextStep, now)
		}
		now = min(r.NextStep, now+100*ms)
	}
	if taken < 9900 {
		t.Errorf("%v taken in 10 s, 10,500 are there", taken)
	}
}

// Foreground work that is late takes the budgets away, and gives them back.
func TestPressHoldsBackgroundWorkBack(t *testing.T) {
	s := scheduler(t, config())
	s.SetBudgetFraction(sec, 0)
	for i := range 60 {
		submit(t, s, sec, fmt.Sprint("j", i), Normal, 0, 100, 0)
	}
	begun := 0
	run := func(from, to int64) {
		for now := from; now < to; now += 10 * ms {
			for _, x := range s.Step(now).Start {
				begun++
				s.Finish(now, x.ID, x.Number, Done, []float64{100, 0})
			}
		}
	}
	run(sec, 4*sec)
	if begun > 5 {
		t.Errorf("%d begun under full press: what was saved up is 5", begun)
	}
	s.SetBudgetFraction(4*sec, 0.5)
	before := begun
	run(4*sec, 8*sec)
	if got := begun - before; got < 18 || got > 21 {
		t.Errorf("%d begun in 4 s of half the budget, 20 are due", got)
	}
}

// What waits long rises: idle work comes up though steady work never ends.
func TestNothingStarves(t *testing.T) {
	cfg := config()
	cfg.MaxRunning = 1
	s := scheduler(t, cfg)
	submit(t, s, sec, "idle", Idle, 0, 0, 0)
	now := sec
	for i := 0; now < 60*sec; i++ {
		submit(t, s, now, fmt.Sprint("p", i), High, 0, 0, 0) // one comes while one is done: there is always another
		for _, x := range s.Step(now).Start {
			if x.ID == "idle" {
				if now > sec+4*cfg.AgingInterval {
					t.Errorf("begun after %d us", now-sec)
				}
				return
			}
			s.Finish(now, x.ID, x.Number, Done, nil)
		}
		now += 100 * ms
	}
	t.Error("never begun")
}

// Failed attempts come back later and later, lost ones when their lease is over, and no more often than they may.
func TestRetriesAndLeases(t *testing.T) {
	s := scheduler(t, config())
	if _, err := s.Submit(sec, Job{ID: "j", Priority: Normal, Cost: []float64{1, 1}, MaxAttempts: 4}); err != nil {
		t.Fatal(err)
	}
	var at []int64
	for now := sec; now < 60*sec; now += ms {
		r := s.Step(now)
		for _, x := range r.Start {
			at = append(at, now)
			if x.Number != 3 { // the third is lost without a word
				if over := s.Finish(now, x.ID, x.Number, Failed, nil); len(over) > 0 && (over[0].Reason != "tries" || x.Number != 4) {
					t.Errorf("%+v at attempt %d", over, x.Number)
				}
			}
		}
	}
	if len(at) != 4 {
		t.Fatalf("%d attempts", len(at))
	}
	for i, bounds := range [][2]int64{{50 * ms, 102 * ms}, {100 * ms, 202 * ms}, {2*sec + 200*ms, 2*sec + 402*ms}} {
		if gap := at[i+1] - at[i]; gap < bounds[0] || gap > bounds[1] {
			t.Errorf("gap %d: %d us", i, gap)
		}
	}
	if wait, rest, running := s.Counts(); wait+rest+running != 0 || s.wheel.Len() != 0 {
		t.Errorf("%d %d %d jobs and %d timers left", wait, rest, running, s.wheel.Len())
	}
}

func TestDeadlinesAndRoom(t *testing.T) {
	cfg := config()
	cfg.MaxQueued, cfg.MaxRunning = 3, 1
	s := scheduler(t, cfg)
	submit(t, s, sec, "running", Normal, 0, 1, 0)
	s.Step(sec)
	submit(t, s, sec, "due", Normal, 2*sec, 1, 0)
	submit(t, s, sec, "idle", Idle, 0, 1, 0)
	submit(t, s, sec, "steady", Normal, 0, 1, 0)
	if _, err := s.Submit(sec, Job{ID: "another", Priority: Idle, Cost: []float64{1, 0}}); !errors.Is(err, ErrQueueFull) {
		t.Errorf("got %v", err)
	}
	if over, err := s.Submit(sec, Job{ID: "prompt", Priority: High, Cost: []float64{1, 0}}); err != nil || len(over) != 1 || over[0] != (Abandoned{"idle", "room"}) {
		t.Errorf("got %v, %v", over, err)
	}
	if _, err := s.Submit(sec, Job{ID: "prompt", Priority: High, Cost: []float64{1, 0}}); !errors.Is(err, ErrDuplicateJob) {
		t.Errorf("got %v", err)
	}
	if _, err := s.Submit(sec, Job{ID: "x", Priority: High, Cost: []float64{1}}); !errors.Is(err, ErrInvalidJob) {
		t.Errorf("got %v", err)
	}
	if r := s.Step(2*sec + 10*ms); len(r.Abandoned) != 1 || r.Abandoned[0] != (Abandoned{"due", "deadline"}) {
		t.Errorf("got %+v", r)
	}
	if s.Finish(3*sec, "running", 7, Done, nil); s.jobs["running"] == nil {
		t.Error("the end of another attempt is taken for this one's")
	}
}

// Random days: every job is begun, ended, given up or still there; no two attempts of one are out; timers do not pile up.
func TestRandomDays(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 9))
		s := scheduler(t, config())
		now, n := sec, 0
		running := map[string]int{}
		over := map[string]bool{}
		book := func(list []Abandoned) {
			for _, o := range list {
				if over[o.ID] {
					t.Fatalf("seed %d: %s is over twice", seed, o.ID)
				}
				over[o.ID] = true
				delete(running, o.ID)
			}
		}
		for range 3000 {
			now += int64(rng.IntN(30_000))
			switch rng.IntN(4) {
			case 0:
				n++
				j := Job{ID: fmt.Sprint(n), Priority: Priority(rng.IntN(int(priorityCount))), Cost: []float64{rng.Float64() * 50, rng.Float64() * 10}, MaxAttempts: rng.IntN(4)}
				if rng.IntN(3) == 0 {
					j.Deadline = now + int64(rng.IntN(3_000_000))
				}
				list, err := s.Submit(now, j)
				if err != nil && !errors.Is(err, ErrQueueFull) {
					t.Fatal(err)
				}
				book(list)
			case 1:
				id := fmt.Sprint(rng.IntN(n + 1))
				if s.Cancel(now, id) {
					over[id] = true
					delete(running, id)
				}
			default:
				for _, id := range slices.Sorted(maps.Keys(running)) {
					attempt := running[id]
					if rng.IntN(3) == 0 {
						how := Outcome(rng.IntN(3))
						list := s.Finish(now, id, attempt, how, []float64{rng.Float64() * 60, 3})
						delete(running, id)
						book(list)
					}
				}
			}
			r := s.Step(now)
			book(r.Abandoned)
			for _, x := range r.Start {
				if over[x.ID] {
					t.Fatalf("seed %d: %s begins after it was over", seed, x.ID)
				}
				running[x.ID] = x.Number
			}
			wait, rest, out := s.Counts()
			if wait < 0 || rest < 0 || out > 8 || wait > 100 || s.wheel.Len() > len(s.jobs) {
				t.Fatalf("seed %d: %d wait, %d rest, %d out, %d timers for %d jobs", seed, wait, rest, out, s.wheel.Len(), len(s.jobs))
			}
		}
	}
}

func BenchmarkScheduler(b *testing.B) {
	cfg := config()
	cfg.MaxQueued, cfg.MaxRunning, cfg.Resources[0].RatePerS, cfg.Resources[1].RatePerS = 1<<20, 1<<20, 1e12, 1e12
	s, err := New(cfg, 0, 1)
	if err != nil {
		b.Fatal(err)
	}
	s.SetBudgetFraction(0, 0)
	s.tokens[0] = -1 // nothing begins yet
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
		for _, x := range s.Step(now).Start {
			s.Finish(now, x.ID, x.Number, Done, cost)
		}
	}
}
