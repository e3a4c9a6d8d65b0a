package hierarchy

import (
	"errors"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestProblemErrorNamesInvalidField(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Problem)
		want   string
	}{
		{"missing values", func(p *Problem) { p.OriginFraction = nil }, "OriginFraction: 0 values, must be 2"},
		{"not a number", func(p *Problem) { p.Demand[1] = math.NaN() }, "Demand[1]: "},
		{"negative", func(p *Problem) { p.Capacity[0] = -1 }, "Capacity[0]: "},
		{"fraction over 1", func(p *Problem) { p.OriginFraction[0] = 1.5 }, "OriginFraction[0]: "},
		{"site without links", func(p *Problem) { p.LinkCapacity[1] = nil }, "LinkCapacity[1] and LinkRTT[1]: "},
		{"round trip over the cost of a rejection", func(p *Problem) { p.LinkRTT[0][0] = 2000 }, "LinkRTT[0][0]: "},
		{"infinite", func(p *Problem) { p.OriginCapacity = math.Inf(1) }, "OriginCapacity[0]: "},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := randomProblem(rand.New(rand.NewPCG(1, 1)), 3, 2)
			c.change(p)
			if _, err := p.Optimal(); !errors.Is(err, ErrProblem) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %s", err, c.want)
			}
		})
	}
}
