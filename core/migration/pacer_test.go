package migration

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// simulatedCell responds late to 2% of requests up to a given share of a tenant's objects. Above that share, the rate
// of late responses rises.
type simulatedCell struct{ supportedShare float64 }

func (c simulatedCell) late(share float64, rng *rand.Rand) bool {
	return rng.Float64() < 0.02+min(4*max(share-c.supportedShare, 0), 0.9)
}

// runMigration runs a pacer through a whole migration in virtual time. It calls observe with the share after each
// request.
func runMigration(m *Migration, p *Pacer, requestsPerS float64, rng *rand.Rand,
	target func(now float64) simulatedCell, observe func(now, share float64)) {
	for now := m.Start - 1000; now < m.Start+m.WarmUp+m.longestShift()+m.Settle; now += 1000 / requestsPerS {
		p.SetWarmCapacity(1)
		share := p.Step(now, m)
		if toTarget := rng.Float64() < share; toTarget {
			p.ObserveAnswer(now, true, target(now).late(share, rng))
		} else {
			p.ObserveAnswer(now, false, rng.Float64() < 0.02)
		}
		p.ObserveAdmission(now, true)
		observe(now, share)
	}
}

// Guards against a share outside MinShare and MaxShare, a share that changes faster than its maximum rates, and a share
// that exceeds what the target supports by more than the documented overshoot.
func TestPacerStaysWithinBoundsAndOvershoot(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Migration{
			Start:    1e6,
			MinShift: rapid.Float64Range(ShortestShiftMs, 60_000).Draw(t, "minShift"),
			MaxShift: 400_000,
		}
		supported := rapid.Float64Range(0.15, 1.2).Draw(t, "supported")
		requestsPerS := rapid.Float64Range(30, 300).Draw(t, "requestsPerS")
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		var p Pacer
		last, lastAt, greatest := 0.0, 0.0, 0.0
		target := func(float64) simulatedCell { return simulatedCell{supported} }
		runMigration(&m, &p, requestsPerS, rng, target, func(now, share float64) {
			if share < m.MinShare(now)-m.MaxRiseRate()*2*stepInterval || share > m.MaxShare(now)+1e-9 {
				t.Fatalf("share %v at %v ms, allowed %v to %v", share, now, m.MinShare(now), m.MaxShare(now))
			}
			if now > m.Start && now < m.Start+m.longestShift() {
				maxRise := m.MaxRiseRate()*(now-lastAt) + m.MaxRiseRate()*4*stepInterval
				if d := share - last; d > maxRise || d < -MaxFallRate*4*stepInterval {
					t.Fatalf("share changed from %v to %v within %v ms", last, share, now-lastAt)
				}
			}
			last, lastAt = share, now
			if m.MinShare(now) < supported { // otherwise MinShare requires a share of supported or more
				greatest = max(greatest, share)
			}
		})
		// detectionTime is the time in ms until minObservations responses have arrived.
		detectionTime := 1000 * minObservations / (requestsPerS * max(supported, 0.1))
		overshoot := m.MaxRiseRate() * (stepInterval + detectionTime + 2*observationWindow)
		if greatest > min(supported+overshoot+0.1, 1.0001) {
			t.Fatalf("share rose to %v, with %v supported and an overshoot of %v", greatest, supported, overshoot)
		}
		if supported >= 1 && p.Share() < 1 {
			t.Fatalf("the target supports all objects, but the final share is %v", p.Share())
		}
	})
}

// Guards against a share that does not fall while responses of the target are late, or does not rise again once the
// target has recovered.
func TestPacerFallsAndRecoversWithTarget(t *testing.T) {
	const (
		degradedFrom  = 1e6 + 20_000
		degradedUntil = 1e6 + 45_000
	)
	m := Migration{Start: 1e6, MinShift: 40_000, MaxShift: 400_000}
	var p Pacer
	rng := rand.New(rand.NewPCG(4, 4))
	before, lowest := 0.0, 1.0
	target := func(now float64) simulatedCell {
		if now > degradedFrom && now < degradedUntil {
			return simulatedCell{-1} // 92% of responses are late at any share
		}
		return simulatedCell{2} // supports all objects: 2% of responses are late
	}
	runMigration(&m, &p, 200, rng, target, func(now, share float64) {
		switch {
		case now < degradedFrom:
			before = share
		case now < degradedUntil:
			lowest = min(lowest, share)
		}
	})
	if before < 0.3 || lowest > before/2 || p.Share() != 1 {
		t.Errorf("share %v before the fault, minimum %v during it, %v at the end", before, lowest, p.Share())
	}
}

// Guards against a share that rises while the target lacks capacity, or does not rise once capacity is back.
func TestPacerWaitsForCapacity(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 20_000, MaxShift: 1e6}
	var p Pacer
	p.Step(m.Start, &m)
	before := 0.0
	for i := range 4000 {
		now := m.Start + float64(i)*20
		hasCapacity := now < m.Start+10_000 || now > m.Start+50_000
		p.ObserveAdmission(now, hasCapacity)
		p.SetWarmCapacity(1)
		p.Step(now, &m)
		if now < m.Start+13_000 {
			before = p.Share()
		}
		if now > m.Start+13_000 && now < m.Start+50_000 && p.Share() > max(before, m.MinShare(now))+1e-9 {
			t.Fatalf("share is %v without capacity, up from %v", p.Share(), before)
		}
	}
	if p.Share() < 0.99 {
		t.Errorf("final share %v, want at least 0.99", p.Share())
	}
}

// Guards against a share that rises above MinShare while the servers of a cell are being replaced, or does not rise
// again afterwards.
func TestPacerWaitsForDeployment(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 20_000, MaxShift: 1e6}
	var p Pacer
	before := 0.0
	for now := m.Start; now < m.Start+70_000; now += 100 {
		deploying := now > m.Start+5000 && now < m.Start+35_000
		warmCapacity := 1.0
		if deploying {
			warmCapacity = 0.79
		}
		p.SetWarmCapacity(warmCapacity)
		share := p.Step(now, &m)
		if !deploying {
			before = share
		} else if share > max(before, m.MinShare(now))+m.MaxRiseRate()*2*stepInterval {
			t.Fatalf("share is %v during the deployment, up from %v", share, before)
		}
	}
	if p.Share() < 0.99 {
		t.Errorf("final share %v, want at least 0.99", p.Share())
	}
}

// Guards against an outdated share after a time without steps. The first step must move the share to between MinShare
// and MaxShare.
func TestPacerCatchesUpAfterIdleTime(t *testing.T) {
	m := Migration{Start: 1e6, MinShift: 20_000, MaxShift: 60_000}
	var p Pacer
	p.Step(m.Start, &m)
	if share := p.Step(m.Start+30_000, &m); math.Abs(share-0.5) > 0.05 {
		t.Errorf("share after 30 of 60 s: %v, want about 0.5", share)
	}
	if share := p.Step(m.Start+80_000, &m); share != 1 {
		t.Errorf("share after the end: %v, want 1", share)
	}
}

// Guards against jumps of the share when a router switches between versions of a document: each step is bounded.
func TestPacerNeverJumpsBetweenVersions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		versions := []Migration{}
		for range 3 {
			m := Migration{
				Start:    1e6 + rapid.Float64Range(-50_000, 50_000).Draw(t, "start"),
				MinShift: rapid.Float64Range(ShortestShiftMs, 100_000).Draw(t, "minShift"),
			}
			m.MaxShift = m.MinShift * rapid.Float64Range(1, 3).Draw(t, "maxShiftFactor")
			if rapid.Bool().Draw(t, "rolledBack") {
				m.RollbackAt = m.Start + rapid.Float64Range(0, 60_000).Draw(t, "rollbackAfter")
			}
			m.Unbounded = rapid.Bool().Draw(t, "unbounded")
			versions = append(versions, m)
		}
		var p Pacer
		last := p.Step(1e6, &versions[0])
		for now := 1e6; now < 1e6+200_000; now += 100 {
			m := &versions[rapid.IntRange(0, 2).Draw(t, "version")]
			share := p.Step(now, m)
			if math.Abs(share-last) > 4*stepInterval*max(m.MaxRiseRate(), MaxFallRate)+1e-9 {
				t.Fatalf("share changed from %v to %v in one step", last, share)
			}
			last = share
		}
	})
}

func BenchmarkPacerStep(b *testing.B) {
	m := sampleMigration()
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
