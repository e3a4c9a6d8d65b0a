package rules

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Beliefs are what a router has learnt and would otherwise learn anew: what its servers bear, which of them fail, what cold ones were
// sent of late, how long answers take, what is asked for most. A process that takes over from another starts with them. Requests
// that are out are not among them: the process that sent them still sees their ends. Times are the module's microseconds.
type Beliefs struct {
	At      int64          `json:"At"`
	Nodes   []NodeBelief   `json:"Nodes"`
	Behind  NodeBelief     `json:"Behind"` // the head office as seen through area caches
	Peak    []float64      `json:"Peak"`   // by role
	Classes []ClassBelief  `json:"Classes"`
	Recent  map[string]int `json:"Recent"` // requests by object
	Spare   float64        `json:"Spare"`
}

// NodeBelief is what is known of one process at a server. One that started anew is another.
type NodeBelief struct {
	Name     string     `json:"Name"`
	CameUp   int64      `json:"CameUp"`
	Limit    float64    `json:"Limit"`
	CutAt    int64      `json:"CutAt"`
	MissPart float64    `json:"MissPart"`
	Answered float64    `json:"Answered"`
	Answers  Rate       `json:"Answers"`
	Work     Rate       `json:"Work"`
	Spent    []Spent    `json:"Spent,omitempty"`
	DrawnAt  int64      `json:"DrawnAt"`
	Luck     float64    `json:"Luck"`
	Until    int64      `json:"Until"`   // of its breaker; 0: closed
	Dead     bool       `json:"Dead"`    // its last trial failed
	Weights  [8]float64 `json:"Weights"` // the outcomes that the breaker holds, with Failed
	Failed   [8]float64 `json:"Failed"`
	Next     int        `json:"Next"`
}

// Rate is a sum that fades, as it stood at a time.
type Rate struct {
	Sum float64 `json:"Sum"`
	At  int64   `json:"At"`
}

// Spent is work sent to a cold server at a time.
type Spent struct {
	At   int64   `json:"At"`
	Work float64 `json:"Work"`
}

// ClassBelief is what is known of a class.
type ClassBelief struct {
	Name     string  `json:"Name"`
	SendMean float64 `json:"SendMean"`
	Tail     float64 `json:"Tail"`
}

// longAgo is a time before the start of any server.
const longAgo = 1

// Bounds on what is believed of what another process left; times are microseconds.
const (
	oldBeliefs  = 5_000_000 // past that age they tell of another time
	farAhead    = 2 * breakerCoolDown
	mostSpent   = 1 << 14
	mostObjects = 2 * recentRequests
	mostBelief  = 1e15
)

// Beliefs returns what is believed now.
func (r *Router) Beliefs(now int64) Beliefs {
	b := Beliefs{At: now, Behind: r.behind.belief(), Peak: slices.Clone(r.peak[:]), Recent: maps.Clone(r.recent), Spare: r.spare}
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		b.Nodes = append(b.Nodes, r.nodes[name].belief())
	}
	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		i := r.classes[name]
		b.Classes = append(b.Classes, ClassBelief{name, r.sendMean[i], r.tail[i]})
	}
	return b
}

func (n *node) belief() NodeBelief {
	b := NodeBelief{Name: n.name, CameUp: n.cameUp, Limit: n.limit, CutAt: n.cutAt, MissPart: n.missPart, Answered: n.answered,
		Answers: Rate{n.answers.sum, n.answers.at}, Work: Rate{n.work.sum, n.work.at}, DrawnAt: n.drawnAt, Luck: n.luck,
		Until: n.brk.until, Dead: n.brk.dead, Next: n.brk.next}
	for i, o := range n.brk.ring {
		b.Weights[i], b.Failed[i] = o.weight, o.failed
	}
	for _, s := range n.spent {
		b.Spent = append(b.Spent, Spent{s.at, s.work})
	}
	return b
}

// Believe takes over what another process of the same router believed. Of servers that are not listed, or that started anew since,
// nothing is taken. Where something in it can't be true, the error names it and nothing changes.
func (r *Router) Believe(now int64, b Beliefs) error {
	if now-b.At > oldBeliefs || b.At > now+oldBeliefs {
		return fmt.Errorf("beliefs of %d us ago: %d at most", now-b.At, oldBeliefs)
	}
	if len(b.Peak) != len(r.peak) || len(b.Recent) > mostObjects || !sane(b.Peak...) || !sane(b.Spare) {
		return fmt.Errorf("beliefs: Peak, Recent or Spare")
	}
	for i := range b.Nodes {
		if err := b.Nodes[i].check(now); err != nil {
			return fmt.Errorf("beliefs: Nodes[%d].%w", i, err)
		}
	}
	if err := b.Behind.check(now); err != nil {
		return fmt.Errorf("beliefs: Behind.%w", err)
	}
	for i, c := range b.Classes {
		if !sane(c.SendMean, c.Tail) || c.SendMean <= 0 || c.Tail <= 0 {
			return fmt.Errorf("beliefs: Classes[%d]: SendMean or Tail", i)
		}
	}
	recentN := 0
	for object, n := range b.Recent {
		if n < 0 || n > recentRequests {
			return fmt.Errorf("beliefs: Recent[%q]: %d", object, n)
		}
		recentN += n
	}
	for i := range b.Nodes {
		if n := r.nodes[b.Nodes[i].Name]; n != nil && n.cameUp == b.Nodes[i].CameUp {
			n.believe(&b.Nodes[i])
		}
	}
	r.behind.believe(&b.Behind)
	r.began = longAgo // what cold servers were sent before is known
	for _, c := range b.Classes {
		if i, known := r.classes[c.Name]; known {
			r.sendMean[i], r.tail[i] = c.SendMean, c.Tail
		}
	}
	copy(r.peak[:], b.Peak)
	r.recent, r.recentN, r.spare = maps.Clone(b.Recent), recentN, min(b.Spare, lostMost)
	if r.recent == nil {
		r.recent = map[string]int{}
	}
	return nil
}

func (n *node) believe(b *NodeBelief) {
	n.limit, n.cutAt, n.missPart, n.answered = b.Limit, b.CutAt, b.MissPart, b.Answered
	n.answers, n.work = meter{b.Answers.Sum, b.Answers.At}, meter{b.Work.Sum, b.Work.At}
	n.drawnAt, n.luck, n.spent = b.DrawnAt, b.Luck, nil
	for _, s := range b.Spent {
		n.spent = append(n.spent, sent{s.At, s.Work})
	}
	n.brk = breaker{next: b.Next, until: b.Until, dead: b.Dead}
	for i := range n.brk.ring {
		n.brk.ring[i].weight, n.brk.ring[i].failed = b.Weights[i], b.Failed[i]
	}
}

// check guards against a file that was spoilt: no belief may shut a server off for long, or put an index out of range.
func (b *NodeBelief) check(now int64) error {
	times := []int64{b.CutAt, b.DrawnAt, b.Answers.At, b.Work.At}
	switch {
	case !sane(b.Limit, b.MissPart, b.Answered, b.Answers.Sum, b.Work.Sum, b.Luck) || b.Limit < 0 || b.MissPart > 1 || b.Luck > 1:
		return fmt.Errorf("Limit, MissPart, Answered, Answers, Work or Luck")
	case b.Until > now+farAhead || b.Until < 0 || b.Next < 0:
		return fmt.Errorf("Until or Next")
	case !sane(b.Weights[:]...) || !sane(b.Failed[:]...):
		return fmt.Errorf("Weights or Failed")
	case len(b.Spent) > mostSpent:
		return fmt.Errorf("Spent: %d, %d at most", len(b.Spent), mostSpent)
	}
	for _, s := range b.Spent {
		times = append(times, s.At)
		if math.IsNaN(s.Work) || math.Abs(s.Work) > mostBelief { // what never reached a source is taken off
			return fmt.Errorf("Spent: Work %v", s.Work)
		}
	}
	if latest := slices.MaxFunc(times, cmp.Compare[int64]); latest > now+oldBeliefs {
		return fmt.Errorf("a time %d us ahead", latest-now)
	}
	return nil
}

// sane tells whether figures that are sums or shares could be.
func sane(list ...float64) bool {
	return !slices.ContainsFunc(list, func(f float64) bool { return math.IsNaN(f) || f < 0 || f > mostBelief })
}
