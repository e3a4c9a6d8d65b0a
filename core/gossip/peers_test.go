package gossip

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	sec = 1_000_000
	ms  = 1000
)

func tier(t testing.TB, rank, depot int) *Node {
	t.Helper()
	r, err := New(Options{Rank: rank, FleetSize: 300, Site: depot, Sites: 50, Incarnation: 7})
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// word is a datagram of a router about one server.
func word(rank, depot int, incarnation, sequence uint32, server string) []byte {
	id, _ := parseServerID(server)
	m := Message{Rank: rank, Site: depot, Incarnation: incarnation, Sequence: sequence, Overloaded: []uint32{id}}
	return m.Append(nil)
}

// said is one word, and whether the server then counts as crowded.
type said struct {
	at          int64
	rank, depot int
	found       bool
}

func TestTwoDepotsMustAgree(t *testing.T) {
	for name, words := range map[string][]said{
		"one depot":                 {{0, 1, 1, false}},
		"two depots":                {{0, 1, 1, false}, {1, 2, 2, true}},
		"three routers of one":      {{0, 1, 1, false}, {1, 2, 1, false}, {2, 3, 1, false}},
		"one too long ago":          {{0, 1, 1, false}, {1001 * ms, 2, 2, false}, {1002 * ms, 3, 3, true}},
		"once more takes two again": {{0, 1, 1, false}, {1, 2, 2, true}, {2, 3, 3, false}, {3, 4, 4, true}},
	} {
		r := tier(t, 0, 0)
		for i, w := range words {
			found := 0
			if err := r.Receive(w.at+sec, w.rank, word(w.rank, w.depot, 1, uint32(i+1), "s-0000002a"), func(server string) {
				if found++; server != "s-0000002a" {
					t.Errorf("%s: found %s", name, server)
				}
			}); err != nil {
				t.Fatal(name, err)
			}
			if (found == 1) != w.found {
				t.Errorf("%s: word %d: found %d times", name, i, found)
			}
		}
	}
}

// What this router saw by itself counts as the word of its depot.
func TestOwnWordCounts(t *testing.T) {
	r, found := tier(t, 0, 0), 0
	if r.ReportOverload(sec, "s-0000002a") == nil {
		t.Fatal("nothing told")
	}
	if err := r.Receive(sec+1, 1, word(1, 1, 1, 1, "s-0000002a"), func(string) { found++ }); err != nil {
		t.Fatal(err)
	}
	if found != 1 {
		t.Errorf("found %d times", found)
	}
}

func TestWhatIsTold(t *testing.T) {
	r := tier(t, 3, 4)
	b := r.ReportOverload(sec, "s-0000002a")
	var m Message
	if err := m.Parse(b); err != nil || m.Rank != 3 || m.Site != 4 || m.Incarnation != 7 || m.Sequence != 1 || !slices.Equal(m.Overloaded, []uint32{0x2a}) {
		t.Fatalf("%+v of %x: %v", m, b, err)
	}
	if r.ReportOverload(sec+100*ms, "s-0000002a") != nil || r.ReportOverload(sec+300*ms, "s-0000002a") == nil {
		t.Error("told twice at once, or not again")
	}
	for rank := 10; rank < 13; rank++ { // all others know it already
		if err := r.Receive(3*sec, rank, word(rank, rank, 1, 1, "s-0000002a"), func(string) {}); err != nil {
			t.Fatal(err)
		}
	}
	if r.ReportOverload(3*sec+1, "s-0000002a") != nil {
		t.Error("told what enough depots have said")
	}
}

// In a small tier nothing is told: two depots would have to agree, or each router learns fast enough.
func TestSmallTierIsSilent(t *testing.T) {
	for _, o := range []Options{{FleetSize: 100, Sites: 2}, {FleetSize: 15, Sites: 15}} {
		r, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		if r.IsEnabled() || r.ReportOverload(sec, "s-0000002a") != nil {
			t.Errorf("%+v speaks", o)
		}
	}
}

func TestBudget(t *testing.T) {
	r, told := tier(t, 0, 0), 0
	for i := range 100_000 { // ten seconds in which all is crowded
		if r.ReportOverload(sec+int64(i)*100, fmt.Sprintf("s-%08x", i%400)) != nil {
			told++
		}
	}
	if most := sendBurst + 10*sec/sendInterval; told > most || told < most/2 {
		t.Errorf("%d datagrams in 10 s, %d at most", told, most)
	}
}

func TestDropped(t *testing.T) {
	good := word(5, 5, 3, 100, "s-0000002a")
	long := append(slices.Clone(good), make([]byte, MaxDatagramSize)...)
	r := tier(t, 0, 0)
	quiet := func(string) {}
	if err := r.Receive(sec, 5, good, quiet); err != nil {
		t.Fatal(err)
	}
	change := func(at int, to byte) []byte {
		b := slices.Clone(good)
		b[at] = to
		return b
	}
	for name, tc := range map[string]struct {
		rank int
		b    []byte
		want error
	}{
		"again":              {5, good, ErrStale},
		"64 behind":          {5, word(5, 5, 3, 100-64, "s-0000002a"), ErrStale},
		"before its restart": {5, word(5, 5, 2, 101, "s-0000002a"), ErrStale},
		"another's address":  {6, word(5, 5, 3, 101, "s-0000002a"), ErrUnknownSender},
		"unknown address":    {-1, word(5, 5, 3, 101, "s-0000002a"), ErrUnknownSender},
		"no such rank":       {300, word(300, 5, 3, 101, "s-0000002a"), ErrUnknownSender},
		"no such depot":      {5, word(5, 50, 3, 101, "s-0000002a"), ErrUnknownSender},
		"empty":              {5, nil, ErrMalformed},
		"no server":          {5, good[:headerSize], ErrMalformed},
		"cut":                {5, good[:headerSize+3], ErrMalformed},
		"too long":           {5, long, ErrMalformed},
		"version":            {5, change(0, 2), ErrMalformed},
		"kind":               {5, change(1, 9), ErrMalformed},
	} {
		before := r.Counts
		if err := r.Receive(sec, tc.rank, tc.b, quiet); !errors.Is(err, tc.want) {
			t.Errorf("%s: %v, want %v", name, err, tc.want)
		}
		if r.Counts.Dropped != before.Dropped+1 || r.Counts.Received != before.Received {
			t.Errorf("%s: counts %+v, before %+v", name, r.Counts, before)
		}
	}
	if err := r.Receive(sec, 5, word(5, 5, 4, 1, "s-0000002a"), quiet); err != nil {
		t.Errorf("after its restart: %v", err)
	}
	before := r.Counts
	if err := r.Receive(sec, 0, word(0, 0, 3, 101, "s-0000002a"), quiet); err != nil || r.Counts != before {
		t.Errorf("its own word: %v, counts %+v, before %+v", err, r.Counts, before)
	}
}

// Nobody can make a router remember more than its bounds.
func TestMemoryIsBounded(t *testing.T) {
	r := tier(t, 0, 0)
	for i := range 20_000 {
		rank := 1 + i%299
		id := fmt.Sprintf("s-%08x", i)
		if err := r.Receive(int64(i)*50, rank, word(rank, i%50, 1, uint32(i+1), id), func(string) {}); err != nil {
			t.Fatal(err)
		}
		if len(r.servers) > maxTrackedServers || len(r.replayWindows) > 300 {
			t.Fatalf("%d servers, %d routers", len(r.servers), len(r.replayWindows))
		}
	}
}

// Datagrams that overtake one another are each taken in once, in any order within 64.
func TestReordered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h ReplayWindow
		came := map[uint32]bool{}
		greatest := uint32(0)
		for _, n := range rapid.SliceOfN(rapid.Uint32Range(1, 200), 1, 300).Draw(t, "numbers") {
			want := !came[n] && (n > greatest || greatest-n < 64)
			if got := h.Accept(1, n); got != want {
				t.Fatalf("%d after %d: taken in %v", n, greatest, got)
			}
			if want {
				came[n], greatest = true, max(greatest, n)
			}
		}
	})
}

// Whatever is written can be read, and none is longer than the platform allows.
func TestDatagramsFit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := Message{Rank: rapid.IntRange(0, 65535).Draw(t, "rank"), Site: rapid.IntRange(0, 65535).Draw(t, "depot"),
			Incarnation: rapid.Uint32().Draw(t, "incarnation"), Sequence: rapid.Uint32().Draw(t, "sequence"),
			Overloaded: rapid.SliceOfN(rapid.Uint32(), 1, 200).Draw(t, "servers")}
		b := m.Append(nil)
		var back Message
		if err := back.Parse(b); err != nil || len(b) > MaxDatagramSize {
			t.Fatalf("%d bytes: %v", len(b), err)
		}
		m.Overloaded = m.Overloaded[:min(len(m.Overloaded), MaxServersPerDatagram)]
		if back.Rank != m.Rank || back.Site != m.Site || back.Incarnation != m.Incarnation || back.Sequence != m.Sequence || !slices.Equal(back.Overloaded, m.Overloaded) {
			t.Fatalf("%+v came back as %+v", m, back)
		}
	})
}

func FuzzDatagram(f *testing.F) {
	f.Add(word(5, 5, 3, 10, "s-0000002a"))
	f.Add(make([]byte, MaxDatagramSize+1))
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if m.Parse(b) != nil {
			return
		}
		if back := m.Append(nil); !slices.Equal(back, b) {
			t.Errorf("%x was written back as %x", b, back)
		}
	})
}

// A tier of 300 routers of which one in twenty meets a crowded server by itself in a second: with three datagrams of ten lost and
// ways of 1 to 23 ms, 99 of 100 have found it crowded within half a second, for 60 datagrams at most; cut in two halves, each half does by itself.
func TestTierLearnsTogether(t *testing.T) {
	for _, cut := range []bool{false, true} {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, 1))
			type on struct {
				at       int64
				to, from int
				b        []byte
			}
			var way []on
			var all []*Node
			foundAt := make([]int64, 300)
			for rank := range foundAt {
				all = append(all, tier(t, rank, rank/6))
			}
			began, told := int64(10*sec), 0
			for now := began; now < began+500*ms; now += ms {
				var later []on
				for _, w := range way {
					if w.at > now {
						later = append(later, w)
					} else if err := all[w.to].Receive(now, w.from, w.b, func(string) {
						if foundAt[w.to] == 0 {
							foundAt[w.to] = now
						}
					}); err != nil && !errors.Is(err, ErrStale) {
						t.Fatal(err)
					}
				}
				way = later
				for range 2 { // two a millisecond meet it, as in a jam at one area cache
					if rng.IntN(10) > 0 {
						continue
					}
					from := rng.IntN(300)
					b := all[from].ReportOverload(now, "s-0000002a")
					if b == nil {
						continue
					}
					told++
					for to := range all {
						if to != from && rng.IntN(10) >= 3 && (!cut || (to < 150) == (from < 150)) {
							way = append(way, on{now + 1400 + rng.Int64N(21_600), to, from, b})
						}
					}
				}
			}
			missed := 0
			for _, at := range foundAt {
				if at == 0 {
					missed++
				}
			}
			if missed > 3 || told > 60 || told < 3 {
				t.Errorf("cut %v, seed %d: %d of 300 have not found it, %d datagrams", cut, seed, missed, told)
			}
		}
	}
}

func BenchmarkHear(b *testing.B) {
	r := tier(b, 0, 0)
	words := make([][]byte, 14)
	for i := range words {
		words[i] = word(1, 1, 1, 0, fmt.Sprintf("s-%08x", i))
	}
	quiet := func(string) {}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := words[i%len(words)]
		n := uint32(i + 1)
		w[10], w[11], w[12], w[13] = byte(n>>24), byte(n>>16), byte(n>>8), byte(n)
		if err := r.Receive(int64(i), 1, w, quiet); err != nil {
			b.Fatal(err)
		}
	}
}
