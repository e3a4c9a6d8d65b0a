package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

var parameters = TestParameters{Alpha: 0.05, Beta: 0.05, MinDegradation: 2, Margin: 1.1}

// simulatedRelease is a release in a ring that has a tenth of all events. Without the release, 1% of the control's
// events are bad, and 2% of the ring's.
type simulatedRelease struct {
	degradation     float64 // factor on the failures of the ring after it opened
	burst           int     // number of bad events that occur together
	eventsPerSample float64
	maxSamples      int // after the ring opened
}

// run tests the release until a verdict or until maxSamples. It returns the verdict and the number of the last sample.
func (r simulatedRelease) run(seed uint64) (verdict Verdict, sample int) {
	src := rand.NewPCG(seed, 0x57a9e)
	test, err := NewSequentialTest(parameters)
	if err != nil {
		panic(err)
	}
	draw := func(total, badFraction float64) Counts {
		bursts := distuv.Poisson{Lambda: total * badFraction / float64(r.burst), Src: src}.Rand()
		return Counts{Total: total, Bad: min(bursts*float64(r.burst), total)}
	}
	next := func(degradation float64) (s Sample) {
		for m := range metricCount {
			s.Ring[m] = draw(r.eventsPerSample/10, 0.02)
			s.Control[m] = draw(r.eventsPerSample*9/10, 0.01)
		}
		s.Ring[Failures] = draw(r.eventsPerSample/10, 0.02*degradation)
		return s
	}
	for range 60 {
		test.AddBaseline(next(1))
	}
	for sample = range r.maxSamples {
		test.Add(next(r.degradation))
		if verdict, _ = test.Verdict(); verdict != Undecided {
			return verdict, sample
		}
	}
	return Undecided, r.maxSamples
}

// Guards against more false alarms than Alpha allows, plus three standard deviations of their number. There are 400
// releases without degradation, with 300 tests each. Bad events are either independent or occur in bursts of five.
// Without the estimate of the dispersion, far more than Alpha of the releases with bursts would be stopped: almost half
// of them.
func TestFalseAlarmRateIsWithinAlpha(t *testing.T) {
	for _, burst := range []int{1, 5} {
		stopped := 0
		release := simulatedRelease{degradation: 1, burst: burst, eventsPerSample: 2000, maxSamples: 300}
		for seed := range uint64(400) {
			if verdict, _ := release.run(seed); verdict == Degraded {
				stopped++
			}
		}
		expected := distuv.Binomial{N: 400, P: parameters.Alpha}
		if float64(stopped) > expected.N*expected.P+3*expected.StdDev() {
			t.Errorf("bursts of %d: %d of 400 healthy releases stopped, %.0f expected", burst, stopped, expected.N*expected.P)
		}
	}
}

// Guards against a degradation that is missed, or found later on average than after 3 times ExpectedEvents plus two
// samples, and against a large degradation that is found later than a small one.
func TestDegradationIsFoundInTime(t *testing.T) {
	previous := math.Inf(1)
	for _, degradation := range []float64{2, 4, 8} {
		found, sum := 0, 0.0
		release := simulatedRelease{degradation: degradation, burst: 1, eventsPerSample: 2000, maxSamples: 300}
		for seed := range uint64(100) {
			if verdict, sample := release.run(1000 + seed); verdict == Degraded {
				found++
				sum += float64(sample + 1)
			}
		}
		mean := sum / float64(found)
		badPerSample := 2000 * (0.1*0.02*degradation + 0.9*0.01)
		expected := parameters.ExpectedEvents(degradation, 0.1, 1) / badPerSample
		if found < 95 || mean > 3*expected+2 || mean >= previous {
			t.Errorf("degradation %v: found in %d of 100, after %.1f samples on average, %.1f expected",
				degradation, found, mean, expected)
		}
		previous = mean
	}
}

// Guards against wrong verdicts. Of 100 healthy releases, at least 80 must be judged healthy. Of 100 releases with 1.5
// times MinDegradation, at most 10 may be judged healthy; Beta allows 5. With too few events, no degradation may be
// found. Without samples and on invalid counts there must be no verdict.
func TestVerdictIsHealthyOnlyWithoutDegradation(t *testing.T) {
	verdicts := map[Verdict]int{}
	missed := 0
	healthy := simulatedRelease{degradation: 1, burst: 1, eventsPerSample: 4000, maxSamples: 400}
	degraded := simulatedRelease{
		degradation:     parameters.MinDegradation * 1.5,
		burst:           1,
		eventsPerSample: 4000,
		maxSamples:      400,
	}
	fewEvents := simulatedRelease{degradation: 1, burst: 1, eventsPerSample: 2, maxSamples: 100}
	for seed := range uint64(100) {
		verdict, _ := healthy.run(2000 + seed)
		verdicts[verdict]++
		if verdict, _ := degraded.run(3000 + seed); verdict == Healthy {
			missed++
		}
		if verdict, _ := fewEvents.run(4000 + seed); verdict == Degraded {
			t.Error("degradation found with two events in each sample")
		}
	}
	if verdicts[Healthy] < 80 || missed > 10 {
		t.Errorf("verdicts without degradation: %v; %d of 100 degraded releases judged healthy", verdicts, missed)
	}
	test, _ := NewSequentialTest(parameters)
	if verdict, _ := test.Verdict(); verdict != Undecided {
		t.Errorf("verdict %s without samples", verdict)
	}
	test.Add(Sample{})
	test.Add(Sample{Ring: [metricCount]Counts{{Total: 0, Bad: 5}, {Total: 1, Bad: 5}, {}}})
	if verdict, _ := test.Verdict(); verdict != Undecided || math.IsNaN(test.Evidence(LateAnswers)) {
		t.Errorf("verdict %s on invalid counts", verdict)
	}
}

func BenchmarkAddAndVerdict(b *testing.B) {
	test, _ := NewSequentialTest(parameters)
	sample := Sample{
		Ring:    [metricCount]Counts{{100, 1}, {100, 2}, {100, 0}},
		Control: [metricCount]Counts{{900, 10}, {900, 9}, {900, 1}},
	}
	b.ReportAllocs()
	for b.Loop() {
		test.Add(sample)
		test.Verdict()
	}
}
