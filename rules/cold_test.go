package rules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
)

// Thirty routers begin as one cache starts cold, and objects take six times as long to send as the settings of their class suggest. Each request
// tells its size, so all routers together keep the cache's budget, and what chance adds, in every span from the first one on. While only answers
// taught the mean size, 2% of it each, a span held 26 requests where 17 may be.
func TestColdBudgetFollowsTheSizesOfRequests(t *testing.T) {
	const (
		routers, weight = 30, 4.0
		meanKb          = 1200.0
		every           = 90 * ms // between two requests to one router
	)
	set := settings()
	set.Siblings, set.Extra.SeatsByZone, set.WeightSource = routers, []int{0, routers}, "nominal"
	set.Guarantees.ColdFrom, set.Guarantees.Cold, set.Guarantees.Fall, set.Guarantees.TipMultiple = 0.3, 11*sec, 3*sec, 3
	for name, spread := range map[string]float64{"all alike": 0, "from 60 KB to 2,340 KB": 0.95} {
		start := 1000 * sec
		var sent []int64 // to the cold cache, by all routers
		for seed := range routers {
			r, err := New(set, int64(7919*(seed+1)))
			if err != nil {
				t.Fatal(err)
			}
			list := rows(4, 1)
			for i := range list {
				list[i].Weight = weight
			}
			cold := &list[1]
			cold.CameUp = start
			r.Step(start, []Event{{Kind: Members, Mode: "restored", Rows: list}})
			rng := rand.New(rand.NewPCG(uint64(seed), 3))
			for now := start + int64(seed)*every/routers; now < start+8*sec; now += every {
				call, size := fmt.Sprint(now), meanKb*(1+spread*(2*rng.Float64()-1))
				for _, a := range r.Step(now, []Event{{Kind: Request, Call: call, Class: "small", Object: call, SizeKb: size, ExpiresIn: 3 * sec}}) {
					if a.Kind != Get {
						continue
					}
					if a.Node == cold.Node {
						sent = append(sent, now)
					}
					r.Step(now, []Event{{Kind: Outcome, Call: call, Node: a.Node, Code: Done, Note: 1, Rtt: ms, Final: true}})
				}
			}
		}
		if len(sent) == 0 {
			t.Errorf("%s: the cold cache gets nothing", name)
		}
		slices.Sort(sent)
		for first := range sent {
			last := first
			for last < len(sent) && sent[last]-sent[first] <= set.Guarantees.Fall {
				last++
			}
			share := set.Guarantees.ColdFrom + (1-set.Guarantees.ColdFrom)*float64(sent[first]-start)/float64(set.Guarantees.Cold)
			budget := set.Guarantees.TipMultiple * share * weight * float64(set.Guarantees.Fall) / (meanKb / set.Extra.PaceKbPerS * 1e6)
			if got, most := last-first, int(budget+2*math.Sqrt(budget)+2); got > most {
				t.Errorf("%s: %d requests in the span from %d ms after the start, %d may be", name, got, (sent[first]-start)/ms, most)
				break
			}
		}
		t.Logf("%s: %d requests", name, len(sent))
	}
}
