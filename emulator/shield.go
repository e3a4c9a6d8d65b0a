package emulator

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"spantack/core/originlimit"
)

// Shield describes a trial of limits at the head office: routers with clients behind them, and a head office that slows down when more
// than Knee fills are out at once. It stands apart from World: here the limit decides alone, so that laws can be compared.
type Shield struct {
	Routers int     `json:"routers"`
	RateS   float64 `json:"rateS"`  // fills wanted a second, by all
	CapS    float64 `json:"capS"`   // that the head office answers a second
	Knee    float64 `json:"knee"`   // fills out at once from which it slows
	Slows   float64 `json:"slows"`  // it answers 1/(1+Slows*(out/Knee-1)) as fast beyond
	AllowS  float64 `json:"allowS"` // after which a client waits no more
	Tries   int     `json:"tries"`  // that a client makes in all
	Reports float64 `json:"reports"`
	DayS    float64 `json:"dayS"`
	WarmS   float64 `json:"warmS"`

	Law      string  `json:"law"` // of core/shield, or "none"
	Reserve  float64 `json:"reserve"`
	Burst    float64 `json:"burst"`
	LowPart  float64 `json:"lowPart,omitempty"` // of CapS that is left
	LowFromS float64 `json:"lowFromS,omitempty"`
	LowForS  float64 `json:"lowForS,omitempty"`
	DeadPart float64 `json:"deadPart,omitempty"` // of the routers die at DeadAtS; their clients go to the others
	DeadAtS  float64 `json:"deadAtS,omitempty"`
}

// Check reports the first field that can't be used.
func (s *Shield) Check() error {
	for _, f := range []struct {
		name        string
		value       float64
		least, most float64
	}{{"routers", float64(s.Routers), 1, 10_000}, {"rateS", s.RateS, 1, 1e5}, {"capS", s.CapS, 1, 1e5}, {"knee", s.Knee, 1, 1e6}, {"slows", s.Slows, 0, 100},
		{"allowS", s.AllowS, 0.01, 60}, {"tries", float64(s.Tries), 1, 20}, {"reports", s.Reports, 0, 1}, {"dayS", s.DayS, 1, 3600}, {"warmS", s.WarmS, 0, s.DayS},
		{"lowPart", s.LowPart, 0, 1}, {"deadPart", s.DeadPart, 0, 0.99}} {
		if !(f.value >= f.least && f.value <= f.most) {
			return fmt.Errorf("shield.%s: %v is not %v to %v", f.name, f.value, f.least, f.most)
		}
	}
	return nil
}

// ShieldResult is what a trial counted after the warm-up.
type ShieldResult struct {
	Wanted, Sent, Served int64 // wishes; fills sent to the head office; wishes served in time
	Turned               int64 // tries refused by a limit
	Reports, ReportsOK   int64
	OutMost              float64 // most out at once, in parts of the knee
	OverS                float64 // seconds with more out than the knee and a tenth
	SettleS              float64 // after the head office slows, until no more than the knee and a tenth are out while that lasts
	BackS                float64 // after it is well again, until as many are served a second as before, for five seconds
	Before, Low          float64 // part of the wishes served before it slows, and while it is slow
	End                  float64 // and in the last five seconds
}

const never = math.MaxInt64

type shieldJob struct {
	ends   float64 // on the head office's own clock of work
	id     int64
	router int
	sent   int64
	wish   int
	place  int // in the heap
}

type shieldWish struct {
	at     int64
	tries  int
	report bool
	done   bool
}

type jobHeap []*shieldJob

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].ends < h[j].ends || h[i].ends == h[j].ends && h[i].id < h[j].id
}

func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}
func (h *jobHeap) Push(x any) {
	x.(*shieldJob).place = len(*h)
	*h = append(*h, x.(*shieldJob))
}
func (h *jobHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

type shieldWorld struct {
	Shield
	rng    *rand.Rand
	limits []*originlimit.Limit // nil: none
	dead   []bool
	now    int64
	jobs   jobHeap
	out    map[int64]*shieldJob
	work   float64 // done for each fill out
	wishes []shieldWish
	later  queue
	made   int64
	res    ShieldResult
	served []int64 // by second
	wanted []int64
	most   []int // out, by tenth of a second
}

// usualMs is what a fill takes while no more than the knee are out and the head office is well.
func (s *Shield) usualMs() float64 { return s.Knee / s.CapS * 1000 }

// Run plays the trial.
func (s *Shield) Run(seed uint64) (*ShieldResult, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	w := &shieldWorld{Shield: *s, rng: rand.New(rand.NewPCG(seed, 0x5e1d)), out: map[int64]*shieldJob{}, dead: make([]bool, s.Routers), limits: make([]*originlimit.Limit, s.Routers)}
	if s.Law != "none" {
		law, err := originlimit.ParseControlAlgorithm(s.Law)
		if err != nil {
			return nil, err
		}
		for i := range w.limits {
			terms := originlimit.Config{MaxInFlight: s.Knee, Routers: s.Routers, Reserve: s.Reserve, Burst: s.Burst, BaselineMs: s.usualMs()}
			if w.limits[i], err = originlimit.New(terms, law); err != nil {
				return nil, err
			}
		}
	}
	secs := int(s.DayS) + 2
	w.served, w.wanted, w.most = make([]int64, secs), make([]int64, secs), make([]int, 10*secs)
	end := int64(s.DayS * float64(sec))
	arrival := w.gapUs()
	deaths := int64(never)
	if s.DeadPart > 0 {
		deaths = int64(s.DeadAtS * float64(sec))
	}
	for {
		// What comes next: a wish, a further try, the end of a fill, the change of the head office or a death.
		at, what := arrival, 0
		if len(w.later.heap) > 0 && w.later.heap[0].at < at {
			at, what = w.later.heap[0].at, 1
		}
		if ends := w.nextEnd(); ends < at {
			at, what = ends, 2
		}
		for _, change := range []float64{s.LowFromS, s.LowFromS + s.LowForS} {
			if c := int64(change * float64(sec)); s.LowForS > 0 && c > w.now && c < at {
				at, what = c, 3
			}
		}
		if deaths < at {
			at, what = deaths, 4
		}
		if at >= end {
			break
		}
		w.advance(at)
		switch what {
		case 0:
			w.wishes = append(w.wishes, shieldWish{at: w.now, report: w.rng.Float64() < s.Reports})
			w.wanted[w.now/sec]++
			w.try(len(w.wishes) - 1)
			arrival = w.now + w.gapUs()
		case 1:
			if e := w.later.pop(); e.x == 0 {
				w.try(int(e.id))
			} else if j := w.out[e.x]; j != nil {
				heap.Remove(&w.jobs, j.place)
				w.end(j, true)
			}
		case 2:
			w.end(heap.Pop(&w.jobs).(*shieldJob), false)
		case 4:
			deaths = never
			w.die(int(s.DeadPart * float64(s.Routers)))
		}
	}
	w.sum()
	return &w.res, nil
}

func (w *shieldWorld) gapUs() int64 { return int64(w.rng.ExpFloat64() / w.RateS * float64(sec)) }

// speed is how much work a fill out gets done in a microsecond.
func (w *shieldWorld) speed() float64 {
	n := float64(len(w.jobs))
	if n == 0 {
		return 0
	}
	at := w.CapS
	if t := float64(w.now) / float64(sec); w.LowForS > 0 && t >= w.LowFromS && t < w.LowFromS+w.LowForS {
		at *= w.LowPart
	}
	if n > w.Knee {
		at /= 1 + w.Slows*(n/w.Knee-1)
	}
	return at / max(n, w.Knee) / float64(sec) // fewer than the knee do not make each one faster
}

func (w *shieldWorld) advance(to int64) {
	w.work += w.speed() * float64(to-w.now)
	w.now = to
}

func (w *shieldWorld) nextEnd() int64 {
	if len(w.jobs) == 0 {
		return never
	}
	return w.now + int64(math.Ceil(max(w.jobs[0].ends-w.work, 0)/w.speed()))
}

// try sends a wish to a router that is alive, which may send it on.
func (w *shieldWorld) try(id int) {
	wi := &w.wishes[id]
	wi.tries++
	r := w.rng.IntN(w.Routers)
	for w.dead[r] {
		r = w.rng.IntN(w.Routers)
	}
	if l := w.limits[r]; l != nil && !l.Allows(wi.report, w.rng.Float64()) {
		w.count(&w.res.Turned, wi)
		w.again(id)
		return
	}
	if l := w.limits[r]; l != nil {
		l.Acquire()
	}
	w.count(&w.res.Sent, wi)
	w.made++
	j := &shieldJob{ends: w.work + 1, id: w.made, router: r, sent: w.now, wish: id}
	w.out[j.id] = j
	heap.Push(&w.jobs, j)
	w.later.push(event{at: w.now + int64(w.AllowS*float64(sec)), id: int32(id), x: j.id})
	at := &w.most[w.now/(100*ms)]
	*at = max(*at, len(w.jobs))
}

func (w *shieldWorld) count(n *int64, wi *shieldWish) {
	if wi.at >= int64(w.WarmS*float64(sec)) {
		*n++
	}
}

// again is a client's next try, if it makes one: at once for one that failed, and after a while for one that was turned away.
func (w *shieldWorld) again(id int) {
	if w.wishes[id].tries < w.Tries {
		w.later.push(event{at: w.now + 100*ms + int64(w.rng.Float64()*float64(300*ms)), id: int32(id)})
	}
}

// end is that of a fill: in time, or dropped when its client waits no more, who then tries again. What the head office has done for it is lost.
func (w *shieldWorld) end(j *shieldJob, late bool) {
	wi := &w.wishes[j.wish]
	took := w.now - j.sent
	delete(w.out, j.id)
	if l := w.limits[j.router]; l != nil && !w.dead[j.router] {
		l.Complete(float64(w.now)/float64(ms), float64(took)/float64(ms), late)
	}
	if late {
		w.again(j.wish)
		return
	}
	if !wi.done {
		wi.done = true
		w.served[wi.at/sec]++
		w.count(&w.res.Served, wi)
		if wi.report {
			w.count(&w.res.ReportsOK, wi)
		}
	}
}

// die ends routers; what they had out is dropped, and their clients try again.
func (w *shieldWorld) die(n int) {
	for i := range n {
		w.dead[i] = true
	}
	for _, j := range slices.Clone(w.jobs) {
		if w.dead[j.router] {
			heap.Remove(&w.jobs, j.place)
			w.end(j, true)
		}
	}
}

// sum works the figures out.
func (w *shieldWorld) sum() {
	r := &w.res
	warm, last := int(w.WarmS), int(w.DayS)-int(w.AllowS)-1
	part := func(from, to int) float64 {
		s, n := int64(0), int64(0)
		for i := max(from, 0); i < min(to, len(w.served)); i++ {
			s, n = s+w.served[i], n+w.wanted[i]
		}
		return float64(s) / float64(max(n, 1))
	}
	for i := warm; i < int(w.DayS); i++ {
		r.Wanted += w.wanted[i]
	}
	for i := range w.wishes {
		if w.wishes[i].report {
			w.count(&r.Reports, &w.wishes[i])
		}
	}
	over := 1.1 * w.Knee
	lastOver := 0.0
	for i := 10 * warm; i < len(w.most); i++ {
		r.OutMost = max(r.OutMost, float64(w.most[i])/w.Knee)
		if float64(w.most[i]) > over {
			r.OverS += 0.1
			if at := float64(i+1) / 10; at <= w.LowFromS+w.LowForS {
				lastOver = at
			}
		}
	}
	r.End = part(last-5, last)
	if w.LowForS > 0 {
		from, to := int(w.LowFromS), int(w.LowFromS+w.LowForS)
		r.Before, r.Low = part(warm, from), part(from+5, to)
		if lastOver > w.LowFromS {
			r.SettleS = lastOver - w.LowFromS
		}
		r.BackS = float64(last - to)
		for i := to; i+5 <= last; i++ {
			if part(i, i+5) >= 0.99*r.Before {
				r.BackS = float64(i - to)
				break
			}
		}
	}
}
