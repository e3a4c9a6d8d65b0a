package rollout

import (
	"math"
	"math/rand/v2"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"

	"spantack/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

var terms = TestParameters{Alpha: 0.05, Beta: 0.05, MinHarm: 2, Margin: 1.1}

// release plays looks at a ring of a tenth of all events: so many before it opens, then until a verdict or the end. Bad events come at 1%, in
// the ring times harm once it is open; size is how many come at once.
func release(seed uint64, harm float64, size int, events float64, looks int) (v Verdict, at int) {
	src := rand.NewPCG(seed, 0x57a9e)
	j, err := NewSequentialTest(terms)
	if err != nil {
		panic(err)
	}
	draw := func(n, p float64) Counts {
		bursts := distuv.Poisson{Lambda: n * p / float64(size), Src: src}.Rand()
		return Counts{Total: n, Bad: min(bursts*float64(size), n)}
	}
	look := func(harm float64) (l Sample) {
		for m := range metricCount {
			l.Ring[m] = draw(events/10, 0.02) // the ring is twice as bad by itself
			l.Control[m] = draw(events*9/10, 0.01)
		}
		l.Ring[Failures] = draw(events/10, 0.02*harm)
		return l
	}
	for range 60 {
		j.AddBaseline(look(1))
	}
	for at = range looks {
		j.Add(look(harm))
		if v, _ = j.Verdict(); v != Undecided {
			return v, at
		}
	}
	return Undecided, looks
}

// Of 400 releases without harm, looked at 300 times each, no more are stopped than the stated rate allows, with bad events one by one and in
// bursts of five. Without the look at bursts before, 189 of 400 were
// stopped in the second case.
func TestFalseAlarmsAreAsStated(t *testing.T) {
	for _, size := range []int{1, 5} {
		stopped := 0
		for seed := range uint64(400) {
			if v, _ := release(seed, 1, size, 2000, 300); v == Harmful {
				stopped++
			}
		}
		if most := (distuv.Binomial{N: 400, P: terms.Alpha}); float64(stopped) > most.N*most.P+3*most.StdDev() {
			t.Errorf("bursts of %d: %d of 400 sound releases stopped, %.0f stated", size, stopped, most.N*most.P)
		}
	}
}

// Harmful is found, the greater the sooner, within a few times the stated number of events.
func TestHarmIsFound(t *testing.T) {
	last := math.Inf(1)
	for _, harm := range []float64{2, 4, 8} {
		found, sum := 0, 0.0
		for seed := range uint64(100) {
			if v, at := release(1000+seed, harm, 1, 2000, 300); v == Harmful {
				found++
				sum += float64(at + 1)
			}
		}
		mean := sum / float64(found)
		perLook := 2000 * (0.1*0.02*harm + 0.9*0.01)
		if stated := terms.ExpectedEvents(harm, 0.1, 1) / perLook; found < 95 || mean > 3*stated+2 || mean >= last {
			t.Errorf("harm of %v: found in %d of 100, after %.1f looks on average, %.1f stated", harm, found, mean, stated)
		}
		last = mean
	}
}

// Healthy releases are called so, harm of the least that matters hardly ever; with few events nothing is called anything.
func TestSoundAndUndecided(t *testing.T) {
	called := map[Verdict]int{}
	wrong := 0
	for seed := range uint64(100) {
		v, _ := release(2000+seed, 1, 1, 4000, 400)
		called[v]++
		if v, _ := release(3000+seed, terms.MinHarm*1.5, 1, 4000, 400); v == Healthy {
			wrong++
		}
		if v, _ := release(4000+seed, 1, 1, 2, 100); v == Harmful {
			t.Error("harm seen in two events a look")
		}
	}
	if called[Healthy] < 80 || wrong > 10 {
		t.Errorf("without harm %v; with harm that matters called sound %d times of 100", called, wrong)
	}
	j, _ := NewSequentialTest(terms)
	if v, _ := j.Verdict(); v != Undecided {
		t.Errorf("nothing seen, and %s", v)
	}
	j.Add(Sample{})
	j.Add(Sample{Ring: [metricCount]Counts{{Total: 0, Bad: 5}, {Total: 1, Bad: 5}, {}}})
	if v, _ := j.Verdict(); v != Undecided || math.IsNaN(j.Evidence(LateAnswers)) {
		t.Errorf("counts that can't be: %s", v)
	}
}

func TestTermsNameWhatIsWrong(t *testing.T) {
	for _, bad := range []TestParameters{{}, {Alpha: 0.6, Beta: 0.1, MinHarm: 2, Margin: 1}, {Alpha: 0.1, Beta: math.NaN(), MinHarm: 2, Margin: 1}, {Alpha: 0.1, Beta: 0.1, MinHarm: 1, Margin: 1}} {
		if _, err := NewSequentialTest(bad); err == nil {
			t.Errorf("%+v is taken", bad)
		}
	}
	if got := terms.ExpectedEvents(1, 0.1, 1); !math.IsInf(got, 1) {
		t.Errorf("no harm is found after %v events", got)
	}
}

func BenchmarkLook(b *testing.B) {
	j, _ := NewSequentialTest(terms)
	l := Sample{Ring: [metricCount]Counts{{100, 1}, {100, 2}, {100, 0}}, Control: [metricCount]Counts{{900, 10}, {900, 9}, {900, 1}}}
	b.ReportAllocs()
	for b.Loop() {
		j.Add(l)
		j.Verdict()
	}
}
