package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// plant is a cell that answers in time while it gets up to a share of a tenant's objects, and late past that.
type plant struct{ bears float64 }

func (p plant) late(share float64, rng *rand.Rand) bool {
	return rng.Float64() < 0.02+min(4*max(share-p.bears, 0), 0.9)
}

// drive takes a pace through a move in virtual time, with perSecond requests a second; each is called with the share at every look.
func drive(m *Migration, p *Pacer, perS float64, rng *rand.Rand, cell func(now float64) plant, each func(now, share float64)) {
	for now := m.Start - 1000; now < m.Start+m.WarmUp+m.longestShift()+m.Settle; now += 1000 / perS {
		p.SetWarmCapacity(1)
		share := p.Step(now, m)
		if over := rng.Float64() < share; over {
			p.ObserveAnswer(now, true, cell(now).late(share, rng))
		} else {
			p.ObserveAnswer(now, false, rng.Float64() < 0.02)
		}
		p.ObserveAdmission(now, true)
		each(now, share)
	}
}

// Whatever the cell bears, the share stays between the document's bounds, moves no faster than it may, and settles at what is borne
// without passing it by more than the stated overshoot.
func TestPaceSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Migration{Start: 1e6, MinShift: rapid.Float64Range(ShortestShiftMs, 60_000).Draw(t, "shift"), MaxShift: 400_000}
		bears := rapid.Float64Range(0.15, 1.2).Draw(t, "bears")
		perS := rapid.Float64Range(30, 300).Draw(t, "perS")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var p Pacer
		last, lastAt, most, after := 0.0, 0.0, 0.0, 0.0
		drive(&m, &p, perS, rng, func(float64) plant { return plant{bears} }, func(now, share float64) {
			if share < m.MinShare(now)-m.MaxRiseRate()*2*stepInterval || share > m.MaxShare(now)+1e-9 {
				t.Fatalf("%v at %v, allowed %v to %v", share, now, m.MinShare(now), m.MaxShare(now))
			}
			if d := share - last; now > m.Start && now < m.Start+m.longestShift() && (d > m.MaxRiseRate()*(now-lastAt)+m.MaxRiseRate()*4*stepInterval || d < -MaxFallRate*4*stepInterval) {
				t.Fatalf("from %v to %v within %v ms", last, share, now-lastAt)
			}
			last, lastAt = share, now
			if m.MinShare(now) < bears { // past that the document itself asks for more than is borne
				most = max(most, share)
			}
			if now > m.Start+4*m.MinShift && m.MinShare(now) < bears/2 {
				after = max(after, share)
			}
		})
		over := m.MaxRiseRate() * (stepInterval + 1000*minObservations/(perS*max(bears, 0.1)) + 2*observationWindow)
		if most > min(bears+over+0.1, 1.0001) {
			t.Fatalf("went to %v where %v is borne and %v is the overshoot", most, bears, over)
		}
		if bears >= 1 && p.Share() < 1 {
			t.Fatalf("all is borne, and it ends at %v", p.Share())
		}
	})
}

// A cell that does harm for a while turns the share back, and it goes on once that is over.
func TestPaceGoesBackAndOn(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 40_000, MaxShift: 400_000}
	var p Pacer
	rng := rand.New(rand.NewPCG(4, 4))
	atTrouble, least := 0.0, 1.0
	drive(&m, &p, 200, rng, func(now float64) plant {
		if now > 1e6+20_000 && now < 1e6+45_000 {
			return plant{-1}
		}
		return plant{2}
	}, func(now, share float64) {
		switch {
		case now < 1e6+20_000:
			atTrouble = share
		case now < 1e6+45_000:
			least = min(least, share)
		}
	})
	if atTrouble < 0.3 || least > atTrouble/2 || p.Share() != 1 {
		t.Errorf("at %v when trouble came, down to %v, %v at the end", atTrouble, least, p.Share())
	}
}

// Without room the share stays; with room again it goes on.
func TestPaceWaitsForRoom(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 20_000, MaxShift: 1e6}
	var p Pacer
	p.Step(m.Start, &m)
	held := 0.0
	for i := range 4000 {
		now := m.Start + float64(i)*20
		room := now < m.Start+10_000 || now > m.Start+50_000
		p.ObserveAdmission(now, room)
		p.SetWarmCapacity(1)
		p.Step(now, &m)
		if now < m.Start+13_000 {
			held = p.Share()
		}
		if now > m.Start+13_000 && now < m.Start+50_000 && p.Share() > max(held, m.MinShare(now))+1e-9 {
			t.Fatalf("%v after %v though there is no room", p.Share(), held)
		}
	}
	if p.Share() < 0.99 {
		t.Errorf("ends at %v", p.Share())
	}
}

// While either cell is being replaced the share stays, but for what the document asks; afterwards it goes on by itself.
func TestPaceWaitsOutADeploy(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 20_000, MaxShift: 1e6}
	var p Pacer
	held := 0.0
	for now := m.Start; now < m.Start+70_000; now += 100 {
		deploy := now > m.Start+5000 && now < m.Start+35_000
		p.SetWarmCapacity(map[bool]float64{true: 0.79, false: 1}[deploy])
		share := p.Step(now, &m)
		if !deploy {
			held = share
		} else if share > max(held, m.MinShare(now))+m.MaxRiseRate()*2*stepInterval {
			t.Fatalf("%v after %v in the deploy", share, held)
		}
	}
	if p.Share() < 0.99 {
		t.Errorf("ends at %v", p.Share())
	}
}

// A router that had nothing to do for long is where one is that starts then.
func TestPaceAfterLongQuiet(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 20_000, MaxShift: 60_000}
	var p Pacer
	p.Step(m.Start, &m)
	if share := p.Step(m.Start+30_000, &m); math.Abs(share-0.5) > 0.05 {
		t.Errorf("after 30 of 60 s: %v", share)
	}
	if share := p.Step(m.Start+80_000, &m); share != 1 {
		t.Errorf("after the end: %v", share)
	}
}

// Two versions of a document that race: a router goes from the one to the other by bounded steps, wherever it stands.
func TestPaceNeverJumpsBetweenVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []Migration{}
		for range 3 {
			m := Migration{Start: 1e6 + rapid.Float64Range(-50_000, 50_000).Draw(t, "start"), MinShift: rapid.Float64Range(ShortestShiftMs, 100_000).Draw(t, "shift")}
			m.MaxShift = m.MinShift * rapid.Float64Range(1, 3).Draw(t, "slow")
			if rapid.Bool().Draw(t, "back") {
				m.RollbackAt = m.Start + rapid.Float64Range(0, 60_000).Draw(t, "backAt")
			}
			m.Unbounded = rapid.Bool().Draw(t, "unbounded")
			versions = append(versions, m)
		}
		var p Pacer
		last := p.Step(1e6, &versions[0])
		for now := 1e6; now < 1e6+200_000; now += 100 {
			m := &versions[int(rapid.IntRange(0, 2).Draw(t, "version"))]
			share := p.Step(now, m)
			if math.Abs(share-last) > 4*stepInterval*max(m.MaxRiseRate(), MaxFallRate)+1e-9 {
				t.Fatalf("from %v to %v", last, share)
			}
			last = share
		}
	})
}

func BenchmarkPaceStep(b *testing.B) {
	m := move()
	var p Pacer
	now := m.Start
	b.ReportAllocs()
	for b.Loop() {
		now += 0.1
		p.ObserveAnswer(now, true, false)
		p.ObserveAdmission(now, true)
		p.Step(now, &m)
	}
}
