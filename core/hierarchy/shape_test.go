package hierarchy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// valley is a shape of three depots, two areas under one greater area, and the head office.
func valley() *Topology {
	return &Topology{Version: 1, Origin: Origin{"head", 5000},
		ParentGroups: []ParentGroup{{Name: "north", ServerPrefixes: []string{"n-"}}, {Name: "south", ServerPrefixes: []string{"s-", "t-"}}, {Name: "great", ServerPrefixes: []string{"g-"}, MissRatio: 0.5}},
		Sites:        []Site{{"d1", 900}, {"d2", 800}, {"d3", 700}},
		Links: []Link{{"d1", "north", 2000, 9}, {"d1", "south", 500, 30}, {"d2", "south", 2000, 8}, {"d2", "north", 500, 30}, {"d3", "south", 2000, 8},
			{"d3", "head", 300, 60}, {"north", "great", 3000, 5}, {"south", "great", 3000, 5}, {"great", "head", 5000, 12}, {"south", "head", 200, 40}}}
}

func compiled(t testing.TB, s *Topology) *Graph {
	t.Helper()
	g, err := Compile(s)
	if err != nil {
		t.Fatal(err)
	}
	return g
}

func TestShapeAsItIs(t *testing.T) {
	g := compiled(t, valley())
	for name, want := range map[string]int{"head": 0, "great": 1, "north": 2, "south": 2, "d1": 3, "d3": 3, "nobody": -1} {
		if got := g.Level(name); got != want {
			t.Errorf("level of %s: %d, want %d", name, got, want)
		}
	}
	if got := strings.Join(g.Parents("south"), " "); got != "great head" {
		t.Errorf("above south: %s", got)
	}
	for server, want := range map[string]string{"t-17": "south", "g-1": "great", "x-1": ""} {
		if got := g.ParentGroupOf(server); got != want {
			t.Errorf("area of %s: %q", server, got)
		}
	}
}

// Two areas each named as the other's parent, a longer circle, and every other fault: refused whole, and named.
func TestCompileNamesTheField(t *testing.T) {
	for want, spoil := range map[string]func(*Topology){
		"version: ":          func(s *Topology) { s.Version = 0 },
		"depots[1].name: ":   func(s *Topology) { s.Sites[1].Name = "d1" },
		"depots[0].kbPerS: ": func(s *Topology) { s.Sites[0].PeakFillKBPerS = -1 },
		"areas[0].name: ":    func(s *Topology) { s.ParentGroups[0].Name = "d1" },
		"areas[0].servers: ": func(s *Topology) { s.ParentGroups[0].ServerPrefixes = nil },
		"areas[2].servers: ": func(s *Topology) { s.ParentGroups[2].ServerPrefixes = []string{"n-4"} },
		"areas[1].miss: ":    func(s *Topology) { s.ParentGroups[1].MissRatio = 2 },
		"head.name: ":        func(s *Topology) { s.Origin.Name = "" },
		"ways[0].from: ":     func(s *Topology) { s.Links[0].From = "head" },
		"ways[1].to: ":       func(s *Topology) { s.Links[1].To = "d2" },
		"ways[2]: ":          func(s *Topology) { s.Links[2].RTTMillis = -3 },
		"ways[3]: ":          func(s *Topology) { s.Links[3] = s.Links[2] },
		"depots[2]: ":        func(s *Topology) { s.Links = slices.Delete(s.Links, 4, 6) },
		"ways[10]: can't be used: a circle: south > north > south": func(s *Topology) {
			s.Links = append(s.Links, Link{"south", "north", 100, 1})
			s.Links[6] = Link{"north", "south", 100, 1}
		},
		"ways[10]: can't be used: a circle: great > south > great": func(s *Topology) { s.Links = append(s.Links, Link{"great", "south", 100, 1}) },
		"ways[10]: can't be used: a circle: north > north":         func(s *Topology) { s.Links = append(s.Links, Link{"north", "north", 100, 1}) },
	} {
		s := valley()
		spoil(s)
		_, err := Compile(s)
		if !errors.Is(err, ErrTopology) || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("got %v, want %s", err, want)
		}
		if strings.Contains(want, "circle") != errors.Is(err, ErrLoop) {
			t.Errorf("%v: a loop or not", err)
		}
	}
}

// An area that has lost its own way up is no way for others.
func TestDeadEndIsNoWay(t *testing.T) {
	s := valley()
	s.Links = slices.Delete(s.Links, 6, 7)
	g := compiled(t, s)
	if g.Level("north") != -1 || strings.Join(g.Parents("d1"), " ") != "south" {
		t.Errorf("north at level %d, d1 fills from %v", g.Level("north"), g.Parents("d1"))
	}
}

func TestChangesAreSpeltOut(t *testing.T) {
	next := valley()
	next.Origin.CapacityKBPerS = 4000
	next.Sites[0].PeakFillKBPerS = 1000
	next.ParentGroups = next.ParentGroups[:2]
	next.Links = append(next.Links[:9], Link{"north", "head", 100, 40})
	got := Changes(valley(), next)
	for _, want := range []string{"head office head, 5000 KB/s: now head, 4000 KB/s", "depot d1, 900 KB/s: now depot d1, 1000 KB/s", "gone: area great, servers g-, miss 0.50",
		"new: way north > head, 100 KB/s, 40.0 ms", "gone: way south > head, 200 KB/s, 40.0 ms"} {
		if !slices.Contains(got, want) {
			t.Errorf("%q is not among %q", want, got)
		}
	}
	if len(got) != 5 || len(Changes(valley(), valley())) != 0 {
		t.Errorf("%q", got)
	}
}

// draw is a random shape: areas at several levels, each with ways to some of smaller levels or the head office.
func draw(rng *rand.Rand, areas, depots int) *Topology {
	s := &Topology{Version: 1, Origin: Origin{"head", 1e4}}
	for i := range areas {
		name := fmt.Sprint("a", i)
		s.ParentGroups = append(s.ParentGroups, ParentGroup{Name: name, ServerPrefixes: []string{name + "-"}})
		up := "head"
		if i > 0 && rng.IntN(3) > 0 {
			up = fmt.Sprint("a", rng.IntN(i))
		}
		s.Links = append(s.Links, Link{name, up, 1000, float64(rng.IntN(40))})
	}
	for i := range depots {
		name := fmt.Sprint("d", i)
		s.Sites = append(s.Sites, Site{name, 100})
		for k := range rng.Perm(areas)[:1+rng.IntN(areas)] {
			s.Links = append(s.Links, Link{name, fmt.Sprint("a", k), 200, float64(rng.IntN(40))})
		}
	}
	return s
}

// Where every node has a shape of its own, each valid, a fill passed on by Forward never visits a node twice and ends.
func TestNoNodeIsVisitedTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		areas, depots := 2+rng.IntN(6), 1+rng.IntN(3)
		var told []*Graph
		for range 4 {
			s := draw(rng, areas, depots)
			rng.Shuffle(areas, func(i, k int) { // the same names in other places
				a, b := fmt.Sprint("a", i), fmt.Sprint("a", k)
				for w := range s.Links {
					for _, end := range []*string{&s.Links[w].From, &s.Links[w].To} {
						switch *end {
						case a:
							*end = b
						case b:
							*end = a
						}
					}
				}
			})
			g, err := Compile(s)
			if err != nil {
				t.Fatal(err)
			}
			told = append(told, g)
		}
		of := map[string]*Graph{}
		for i := range areas {
			of[fmt.Sprint("a", i)] = told[rng.IntN(len(told))]
		}
		depot := fmt.Sprint("d", rng.IntN(depots))
		g := told[rng.IntN(len(told))]
		at, hop := depot, g.StartFill(depot)
		to := g.Parents(depot)
		visited := map[string]bool{depot: true}
		for {
			at = to[rng.IntN(len(to))]
			if at == "head" {
				return
			}
			if visited[at] {
				t.Fatalf("%s twice: %v", at, hop.Visited)
			}
			visited[at] = true
			var err error
			if to, hop, err = of[at].Forward(at, hop); err != nil {
				if !errors.Is(err, ErrNoRoute) {
					t.Fatal(err)
				}
				return
			}
		}
	})
}

// Two areas each told that the other is its parent: the second one passes the fill to the head office, or says that it can't.
func TestLoopAcrossTwoDocuments(t *testing.T) {
	one, two := valley(), valley()
	one.Links[6] = Link{"north", "south", 3000, 5} // and south fills from great and the head office
	two.Links[7] = Link{"south", "north", 3000, 5}
	a, b := compiled(t, one), compiled(t, two)
	to, hop, err := a.Forward("north", a.StartFill("d1"))
	if err != nil || !slices.Contains(to, "south") {
		t.Fatal(to, err)
	}
	if to, hop, err = b.Forward("south", hop); err != nil || strings.Join(to, " ") != "head" {
		t.Errorf("south passes on to %v, %v", to, err)
	}
	if _, _, err := a.Forward("north", hop); !errors.Is(err, ErrLoop) {
		t.Errorf("north a second time: %v", err)
	}
	again := a.StartFill("d1")
	again.NoRoute = []string{"south"}
	if to, _, err := a.Forward("north", again); err == nil {
		t.Errorf("north passes on to %v, where south was tried", to)
	}
	two.Links = slices.Delete(two.Links, 9, 10) // no way past north
	_, hop, _ = a.Forward("north", a.StartFill("d1"))
	if _, _, err := compiled(t, two).Forward("south", hop); !errors.Is(err, ErrNoRoute) {
		t.Errorf("with no other way: %v", err)
	}
	long := FillPath{Visited: make([]string, MaxHops)}
	if _, _, err := a.Forward("north", long); !errors.Is(err, ErrNoRoute) {
		t.Errorf("a path of %d: %v", MaxHops, err)
	}
}

func TestLoopHeader(t *testing.T) {
	for _, c := range []struct {
		in   []string
		want string
		bad  bool
	}{
		{nil, "", false},
		{[]string{"foo123.foocdn.example, barcdn.example; trace=\"abcdef\"", "AnotherCDN; abc=123; def=\"456\""}, "foo123.foocdn.example barcdn.example AnotherCDN", false},
		{[]string{" , a:8080 ,, [::1]:80\t;x=\"a,b\\\"c\" "}, "a:8080 [::1]:80", false},
		{[]string{"a; ;x=1"}, "a", false},
		{[]string{"a;x"}, "", true},
		{[]string{"a;x=\"b"}, "", true},
		{[]string{"a;x=\"b\x01\""}, "", true},
		{[]string{"a b"}, "", true},
		{[]string{";x=1"}, "", true},
		{[]string{strings.Repeat("a", maxLoopID+1)}, "", true},
		{[]string{strings.Repeat("a,", maxLoopHeader/4), strings.Repeat("b,", maxLoopHeader/4+1)}, "", true},
	} {
		ids, err := ParseLoop(c.in)
		if (err != nil) != c.bad || err == nil && strings.Join(ids, " ") != c.want || c.bad && !errors.Is(err, ErrLoopHeader) {
			t.Errorf("%.40q: %q, %v", c.in, ids, err)
		}
	}
	if !ContainsNode([]string{"a", "SPAN.example"}, "span.EXAMPLE") || ContainsNode([]string{"a"}, "b") {
		t.Error("ids compared")
	}
}

// Whatever comes, the header is read or refused, and what was read is read the same when written again.
func FuzzLoopHeader(f *testing.F) {
	f.Add("foo123.foocdn.example, barcdn.example; trace=\"abcdef\"")
	f.Add("a;x=\"\\\"\",b")
	f.Fuzz(func(t *testing.T, v string) {
		ids, err := ParseLoop([]string{v})
		if err != nil {
			return
		}
		again, err := ParseLoop([]string{strings.Join(ids, ", ")})
		if len(v) < maxLoopHeader/2 && (err != nil || !slices.Equal(ids, again)) {
			t.Errorf("%q: %q, then %q, %v", v, ids, again, err)
		}
	})
}

// A fill that comes back is seen while it is out, and what has ended, or is too old, is forgotten.
func TestWatch(t *testing.T) {
	w := LoopDetector{RetentionMillis: 1000, MaxOutstanding: 3}
	w.FillSent(5000, "south", "x")
	if !w.Detect(5500, "south", "x") || w.Detect(5500, "north", "x") || w.Detect(5500, "south", "y") {
		t.Error("what comes back")
	}
	w.FillEnded("south", "x")
	if w.Detect(5600, "south", "x") || w.LoopsDetected != 1 {
		t.Error("ended, and still watched")
	}
	for i := range 5 {
		w.FillSent(6000, "south", fmt.Sprint(i))
	}
	if w.Untracked != 2 || !w.Detect(6500, "south", "2") || w.Detect(6500, "south", "4") {
		t.Errorf("%d unwatched", w.Untracked)
	}
	if w.Detect(7000, "south", "1") || len(w.outstanding) != 0 {
		t.Errorf("%d are kept", len(w.outstanding))
	}
}
