package emulator

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"

	"pgregory.net/rapid"

	"spantack/internal/testseed"
	"spantack/routing"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// faultyDay is a day on which much goes wrong.
func faultyDay(seed uint64) Config {
	cfg := smallConfig(seed)
	addCells(&cfg, 3)
	cfg.Flood = &Flood{Tenant: 0, Factor: 8, Kind: "unique", StartSeconds: 5, DurationSeconds: 4}
	cfg.Faults = []Fault{
		{Kind: "router", Site: 0, Index: 1, AtSeconds: 5, DurationSeconds: 3},
		{Kind: "cache", Site: 1, Index: 2, AtSeconds: 6, DurationSeconds: 2},
		{Kind: "parent", Index: 1, AtSeconds: 7, DurationSeconds: 2},
		{Kind: "deploy", Site: 1, AtSeconds: 6, DurationSeconds: 5, Fraction: 0.5},
		{Kind: "depot", Site: 0, AtSeconds: 9, DurationSeconds: 1},
	}
	return cfg
}

// One seed gives one result, to the byte, however many worlds run beside it.
func TestSameSeedSameResult(t *testing.T) {
	results := make([]string, 6)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			w, err := New(faultyDay(3))
			if err != nil {
				t.Error(err)
				return
			}
			r := w.Run()
			text, err := json.Marshal(r)
			if err != nil {
				t.Error(err)
			}
			results[i] = string(text) + fmt.Sprint(r.Seconds)
		})
		if i == 2 {
			wg.Wait()
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
		}
	}
	wg.Wait()
	for _, r := range results {
		if r != results[0] {
			t.Fatalf("not the same:\n%s\n%s", results[0], r)
		}
	}
}

// Days of trouble break no rule, and what was asked is accounted for.
func TestFaultsCauseNoViolation(t *testing.T) {
	for seed := range uint64(5) {
		r := runWorld(t, faultyDay(seed))
		if r.ViolationCount() != 0 {
			t.Errorf("seed %d: %v", seed, r.Violations)
		}
		if r.LostWithRouter == 0 {
			t.Errorf("seed %d: no request was at the router that died", seed)
		}
		all := r.OtherCells().Plus(r.NoisyCell())
		if ended := all.Served + all.Unserved; ended != all.Operations {
			t.Errorf("seed %d: %d wishes, %d ended", seed, all.Operations, ended)
		}
		if all.TimelyRatio() < 0.5 {
			t.Errorf("seed %d: %.3f timely", seed, all.TimelyRatio())
		}
	}
}

// The world's own checks find what they are there to find.
func TestViolationsAreCounted(t *testing.T) {
	w, err := New(smallConfig(1))
	if err != nil {
		t.Fatal(err)
	}
	id := w.addCache(0, 1)
	w.now = second
	for i := 0; i < 10_000 && w.acceptsWarmUpLoad(id, 370, 0); i++ {
	}
	if w.result.Violations["cold server pushed over"] != 1 || w.servers[id].running {
		t.Errorf("a cold cache with ten thousand parts: %v", w.result.Violations)
	}
	q := allocate(&w.requests, &w.freeRequests)
	w.requests[q] = clientRequest{generation: 1, attempt: -1, attemptNumber: -1, operation: allocate(&w.operations, &w.freeOperations)}
	w.servers[w.cachesBySite[0][0]].drainNoticeAt[0] = w.now - drainGracePeriod - 1
	w.sendAttempt(q, sendTo(w.servers[w.cachesBySite[0][0]].name))
	w.sendAttempt(q, sendTo(w.servers[w.cachesBySite[0][1]].name))
	w.answerRequest(q, sendTo(""))
	w.answerRequest(q, sendTo(""))
	for _, rule := range []string{"sent to a drained server", "two attempts of a request out", "answered with an attempt out", "two answers to a request"} {
		if w.result.Violations[rule] != 1 {
			t.Errorf("%s: counted %d times", rule, w.result.Violations[rule])
		}
	}
}

func TestValidateNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Config){
		"depots: 0 is not 1 to 256":     func(c *Config) { c.Sites = 0 },
		"rateS: NaN":                    func(c *Config) { c.RequestsPerSecond = math.NaN() },
		"flood.tenant: 99 is no tenant": func(c *Config) { c.Flood = &Flood{Tenant: 99} },
		"faults[0]: ":                   func(c *Config) { c.Faults = []Fault{{Site: 7}} },
	} {
		cfg := smallConfig(1)
		spoil(&cfg)
		if err := cfg.Validate(); err == nil || len(err.Error()) < len(want) || err.Error()[:len(want)] != want {
			t.Errorf("got %v, want %s", err, want)
		}
	}
}

// A link shares its capacity evenly, none above pace: against a world in which each millisecond is reckoned by itself.
func TestLinkAgainstSmallSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "transfers")
		rng := rand.New(rand.NewPCG(uint64(n), rapid.Uint64().Draw(t, "seed")))
		l := link{capacity: 4000 / 1e6, maxRate: 1000 / 1e6}
		type plain struct {
			at   int64
			left float64
			end  int64
		}
		var want []plain
		for range n {
			want = append(want, plain{at: int64(rng.IntN(400)) * millisecond, left: 20 + 400*rng.Float64()})
		}
		ends := make([]int64, n)
		started := make([]bool, n)
		const dt = 50 * microsecond
		for now := int64(0); now < 5*second; now += dt {
			out := 0
			for i := range want {
				if want[i].at <= now && want[i].end == 0 {
					out++
				}
				if want[i].at <= now && !started[i] {
					started[i] = true
					l.add(now, want[i].left, transfer{owner: int32(i)})
				}
			}
			speed := 0.0
			if out > 0 {
				speed = min(l.maxRate, l.capacity/float64(out))
			}
			for i := range want {
				if want[i].at <= now && want[i].end == 0 {
					if want[i].left -= speed * float64(dt); want[i].left <= 0 {
						want[i].end = now + dt
					}
				}
			}
			for len(l.transfers) > 0 && l.nextEnd() <= now+dt {
				at := max(l.nextEnd(), now)
				l.advance(at)
				tr := l.popTransfer()
				l.active--
				ends[tr.owner] = at
			}
		}
		for i := range want {
			if d := ends[i] - want[i].end; d > 20*millisecond || d < -20*millisecond {
				t.Fatalf("transfer %d ends at %d us, in small steps at %d", i, ends[i], want[i].end)
			}
		}
	})
}

// The queue gives events by time, and those of one time in the order in which they came.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q eventQueue
		last := event{time: -1}
		for _, at := range rapid.SliceOf(rapid.Int64Range(-1, 50)).Draw(t, "times") {
			if at >= 0 {
				q.push(event{time: at + max(last.time, 0)})
			} else if len(q.heap) > 0 {
				e := q.pop()
				if e.before(&last) {
					t.Fatalf("%+v after %+v", e, last)
				}
				last = e
			}
		}
	})
}

// The store never holds more than its room, and drops what was used longest ago.
func TestStore(t *testing.T) {
	c := newLRU(100)
	for i := range uint64(10) {
		c.put(i, 10, int64(i))
	}
	if _, held := c.get(0, 0); !held {
		t.Fatal("what fits is not held")
	}
	c.put(10, 10, 10)
	if _, held := c.get(1, 0); held {
		t.Error("what was used longest ago is held")
	}
	if _, held := c.get(0, 0); !held {
		t.Error("what was used is gone")
	}
	if _, held := c.get(5, 6); held {
		t.Error("a copy that is too old")
	}
	c.put(11, 1000, 0)
	if _, held := c.get(11, 0); held || c.usedKB > c.capacityKB {
		t.Errorf("%v KB in a room of %v", c.usedKB, c.capacityKB)
	}
}

func sendTo(server string) routing.Action {
	return routing.Action{Kind: routing.ActionSend, Server: server, Timeout: second}
}
