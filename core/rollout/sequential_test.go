package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

var parameters = TestParameters{Alpha: 0.05, Beta: 0.05, MinHarm: 2, Margin: 1.1}

// simulatedRelease is a release in a ring that has a tenth of all events. Bad events come at 1%, twice that in the
// ring by itself.
type simulatedRelease struct {
	harm            float64 // factor on the ring's failures once it is open
	burst           int     // how many bad events come at once
	eventsPerSample float64
	maxSamples      int // after the ring has opened
}

// judge tests the release until a verdict or its last sample, and returns at which sample that was.
func (r simulatedRelease) judge(seed uint64) (verdict Verdict, sample int) {
	src := rand.NewPCG(seed, 0x57a9e)
	test, err := NewSequentialTest(parameters)
	if err != nil {
		panic(err)
	}
	draw := func(total, badPart float64) Counts {
		bursts := distuv.Poisson{Lambda: total * badPart / float64(r.burst), Src: src}.Rand()
		return Counts{Total: total, Bad: min(bursts*float64(r.burst), total)}
	}
	next := func(harm float64) (s Sample) {
		for m := range metricCount {
			s.Ring[m] = draw(r.eventsPerSample/10, 0.02)
			s.Control[m] = draw(r.eventsPerSample*9/10, 0.01)
		}
		s.Ring[Failures] = draw(r.eventsPerSample/10, 0.02*harm)
		return s
	}
	for range 60 {
		test.AddBaseline(next(1))
	}
	for sample = range r.maxSamples {
		test.Add(next(r.harm))
		if verdict, _ = test.Verdict(); verdict != Undecided {
			return verdict, sample
		}
	}
	return Undecided, r.maxSamples
}

// Of 400 releases without harm, tested 300 times each, no more are stopped than the stated rate allows, with bad
// events one by one and in bursts of five. Without the estimate of dispersion 189 of 400 were stopped in the second
// case.
func TestFalseAlarmsAreAsStated(t *testing.T) {
	for _, burst := range []int{1, 5} {
		stopped := 0
		release := simulatedRelease{harm: 1, burst: burst, eventsPerSample: 2000, maxSamples: 300}
		for seed := range uint64(400) {
			if verdict, _ := release.judge(seed); verdict == Harmful {
				stopped++
			}
		}
		stated := distuv.Binomial{N: 400, P: parameters.Alpha}
		if float64(stopped) > stated.N*stated.P+3*stated.StdDev() {
			t.Errorf("bursts of %d: %d of 400 healthy releases stopped, %.0f stated", burst, stopped, stated.N*stated.P)
		}
	}
}

// Harm is found, the greater the sooner, within a few times the stated number of events.
func TestHarmIsFound(t *testing.T) {
	previous := math.Inf(1)
	for _, harm := range []float64{2, 4, 8} {
		found, sum := 0, 0.0
		release := simulatedRelease{harm: harm, burst: 1, eventsPerSample: 2000, maxSamples: 300}
		for seed := range uint64(100) {
			if verdict, sample := release.judge(1000 + seed); verdict == Harmful {
				found++
				sum += float64(sample + 1)
			}
		}
		mean := sum / float64(found)
		badPerSample := 2000 * (0.1*0.02*harm + 0.9*0.01)
		stated := parameters.ExpectedEvents(harm, 0.1, 1) / badPerSample
		if found < 95 || mean > 3*stated+2 || mean >= previous {
			t.Errorf("harm of %v: found in %d of 100, after %.1f samples on average, %.1f stated", harm, found, mean, stated)
		}
		previous = mean
	}
}

// Healthy releases are called so, harm that matters hardly ever; with few events nothing is called anything.
func TestHealthyAndUndecided(t *testing.T) {
	verdicts := map[Verdict]int{}
	wrong := 0
	healthy := simulatedRelease{harm: 1, burst: 1, eventsPerSample: 4000, maxSamples: 400}
	harmful := simulatedRelease{harm: parameters.MinHarm * 1.5, burst: 1, eventsPerSample: 4000, maxSamples: 400}
	fewEvents := simulatedRelease{harm: 1, burst: 1, eventsPerSample: 2, maxSamples: 100}
	for seed := range uint64(100) {
		verdict, _ := healthy.judge(2000 + seed)
		verdicts[verdict]++
		if verdict, _ := harmful.judge(3000 + seed); verdict == Healthy {
			wrong++
		}
		if verdict, _ := fewEvents.judge(4000 + seed); verdict == Harmful {
			t.Error("harm seen in two events a sample")
		}
	}
	if verdicts[Healthy] < 80 || wrong > 10 {
		t.Errorf("without harm %v; with harm that matters called healthy %d times of 100", verdicts, wrong)
	}
	test, _ := NewSequentialTest(parameters)
	if verdict, _ := test.Verdict(); verdict != Undecided {
		t.Errorf("nothing seen, and %s", verdict)
	}
	test.Add(Sample{})
	test.Add(Sample{Ring: [metricCount]Counts{{Total: 0, Bad: 5}, {Total: 1, Bad: 5}, {}}})
	if verdict, _ := test.Verdict(); verdict != Undecided || math.IsNaN(test.Evidence(LateAnswers)) {
		t.Errorf("counts that can't be: %s", verdict)
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
