package rules

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
)

// believer is a router that has met good answers, a failing cache, late fills and a cold cache.
func believer(t *testing.T, seed uint64) (*Router, []Row, int64) {
	t.Helper()
	set := retuneSettings()
	set.Guarantees = Guarantees{Cold: 16_000_000, ColdFrom: 0.18, Fall: 3_000_000, TipMultiple: 3}
	r, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := int64(1_000_000_000)
	rows := []Row{{Node: "o", Zone: "east", Kind: "origin", Status: "healthy", Weight: 4}, {Node: "cold", Zone: "east", Kind: "box", Status: "healthy",
		Weight: 4, CameUp: now - 1_000_000}}
	for _, name := range []string{"a", "b", "bad"} {
		rows = append(rows, Row{Node: name, Zone: "east", Kind: "box", Status: "healthy", Weight: 4})
	}
	r.Step(now, []Event{{Kind: Members, Mode: "replace", Rows: rows}})
	r.nodes["a"].limit = 41 // as a busier day would have taught
	rng := rand.New(rand.NewPCG(seed, 0))
	for i := range 400 {
		now += 2000
		call := fmt.Sprint(i)
		acts := r.Step(now, []Event{{Kind: Request, Call: call, Class: "video", Object: fmt.Sprint(rng.IntN(30)), SizeKb: 200, ExpiresIn: 6_000_000}})
		for try := 0; ; try++ {
			var get *Action
			for j := range acts {
				if acts[j].Call == call && acts[j].Kind == Get {
					get = &acts[j]
				}
			}
			if get == nil {
				break
			}
			end := Event{Kind: Outcome, Call: call, Attempt: try, Node: get.Node, Code: Done, Final: true, Note: 1 + rng.IntN(3), Rtt: 100_000}
			if get.Node == "bad" {
				end.Code, end.Final, end.Note = Reset, false, 0
			}
			acts = r.Step(now, []Event{end})
		}
	}
	return r, rows, now
}

// What a process leaves, through JSON, is what its successor believes, and it acts by it: the cache that fails is left alone,
// the cold one has had its part, limits are not learnt anew.
func TestBeliefsHandedOn(t *testing.T) {
	for seed := range uint64(20) {
		old, rows, now := believer(t, seed)
		text, err := json.Marshal(old.Beliefs(now))
		if err != nil {
			t.Fatal(err)
		}
		var left Beliefs
		if err := json.Unmarshal(text, &left); err != nil {
			t.Fatal(err)
		}
		next, err := New(old.set, 2)
		if err != nil {
			t.Fatal(err)
		}
		next.Step(now, []Event{{Kind: Members, Mode: "replace", Rows: rows}})
		if err := next.Believe(now, left); err != nil {
			t.Fatal(err)
		}
		if got := next.Beliefs(now); !reflect.DeepEqual(got, left) {
			t.Fatalf("seed %d: left %+v\nbelieved %+v", seed, left, got)
		}
		if !old.nodes["bad"].brk.open(now) || next.nodes["a"].limit != 41 {
			t.Fatalf("seed %d: the day showed nothing", seed)
		}
		spent := 0.0
		for _, s := range next.nodes["cold"].spent {
			spent += s.work
		}
		if spent == 0 {
			t.Errorf("seed %d: what the cold cache was sent is forgotten", seed)
		}
		for i := range 50 {
			acts := next.Step(now, []Event{{Kind: Request, Call: fmt.Sprint(i), Class: "video", Object: fmt.Sprint(i), SizeKb: 1, ExpiresIn: 6_000_000}})
			if acts[0].Node == "bad" {
				t.Errorf("seed %d: sent to the cache that fails", seed)
			}
		}
	}
}

// Nothing is believed of a process that started anew, and nothing of what can't be.
func TestBeliefsRefused(t *testing.T) {
	old, rows, now := believer(t, 1)
	good := old.Beliefs(now)
	for i := range rows {
		if rows[i].Node == "bad" {
			rows[i].CameUp = now
		}
	}
	next, err := New(old.set, 2)
	if err != nil {
		t.Fatal(err)
	}
	next.Step(now, []Event{{Kind: Members, Mode: "replace", Rows: rows}})
	fresh := next.Beliefs(now)
	for want, spoil := range map[string]func(*Beliefs){
		"us ago":           func(b *Beliefs) { b.At -= oldBeliefs + 1 },
		"Peak":             func(b *Beliefs) { b.Peak = nil },
		"Nodes[0].Limit":   func(b *Beliefs) { b.Nodes[0].Limit = -1 },
		"Nodes[1].Until":   func(b *Beliefs) { b.Nodes[1].Until = now + farAhead + 1 },
		"Until or Next":    func(b *Beliefs) { b.Nodes[1].Next = -1 },
		"Weights":          func(b *Beliefs) { b.Nodes[2].Weights[3] = -1 },
		"Spent: Work":      func(b *Beliefs) { b.Nodes[2].Spent = []Spent{{now, 1e300}} },
		"ahead":            func(b *Beliefs) { b.Nodes[2].CutAt = now + oldBeliefs + 1 },
		"Behind":           func(b *Beliefs) { b.Behind.Limit = -1 },
		"Classes[1]":       func(b *Beliefs) { b.Classes[1].Tail = 0 },
		`Recent["object"]`: func(b *Beliefs) { b.Recent = map[string]int{"object": -1} },
	} {
		text, err := json.Marshal(good)
		if err != nil {
			t.Fatal(err)
		}
		var b Beliefs
		if err := json.Unmarshal(text, &b); err != nil {
			t.Fatal(err)
		}
		spoil(&b)
		if err := next.Believe(now, b); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", want, err)
		}
		if got := next.Beliefs(now); !reflect.DeepEqual(got, fresh) {
			t.Errorf("%s: changed something", want)
		}
	}
	if err := next.Believe(now, good); err != nil {
		t.Fatal(err)
	}
	if n := next.nodes["bad"]; n.brk.until != 0 || n.limit != firstLimit+firstSpare {
		t.Errorf("of a new process: breaker until %d, limit %v", n.brk.until, n.limit)
	}
}
