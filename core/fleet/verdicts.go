package fleet

import (
	"maps"
	"slices"
)

// Word is what is said of a server.
type Word byte

// The words.
const (
	Failing Word = iota + 1 // its answers fail, or do not come
	Crowded                 // it is late, or turns away
	words
)

// Everybody stands for all routers of the tier where a rank is asked for: one datagram that reaches all.
const Everybody = -1

// Times in microseconds. At 30% loss a verdict of which two depots are sure has reached 99 in 100 of the routers 2.5 s after the second found it, and
// none outlives the last word of its last but one witness by more than wordKept and a datagram's way.
const (
	quorum     = 2       // depots that must say so: where one depot's own link is full or broken, all it reaches looks bad
	sayFirst   = 250_000 // between the first sayings of a finding, until sayOften were made
	sayOften   = 6
	sayAgain   = 750_000   // and from then on, for as long as it stands
	standsFor  = 2_000_000 // a finding that is not made again stands so long
	wordKept   = 3_000_000 // a word counts so long after it was heard
	outPart    = 3         // one in so many servers of a kind may be out by verdict: a sick tier must not empty it
	mostFound  = 128       // findings of this router, and
	mostTalked = 1024      // words that are kept account of
	sayBudget  = 100_000   // least mean time between datagrams of words
	sayBurst   = 8
)

// about is a server and a word of it.
type about struct {
	server uint32
	word   Word
}

// finding is what this router has found by itself.
type finding struct {
	at    int64 // last
	said  int64
	times int
}

// talks are what is said in a tier.
type talks struct {
	found    map[about]*finding
	heard    map[about]map[int]int64 // by depot: when, last
	fine     map[uint32]int64        // when a server was last found well here
	budget   float64
	budgetAt int64
}

func newTalks() talks {
	return talks{found: map[about]*finding{}, heard: map[about]map[int]int64{}, fine: map[uint32]int64{}, budget: sayBurst}
}

// Find says that this router has found something of a server by itself. It is told to all, again and again while it is found.
func (n *Node) Find(now int64, server uint32, w Word) {
	t := &n.talks
	key := about{server, w}
	f := t.found[key]
	if f == nil {
		if len(t.found) >= mostFound {
			return
		}
		f = &finding{}
		t.found[key] = f
	}
	f.at = now
	n.hearWord(now, key, n.opt.Depot)
	n.say1(now, key, f)
}

// Fine says that a server has just answered this router well: that wins here over what others say, and ends what this one said.
func (n *Node) Fine(now int64, server uint32) {
	t := &n.talks
	if len(t.fine) < mostTalked || t.fine[server] != 0 {
		t.fine[server] = now
	}
	for w := Failing; w < words; w++ {
		delete(t.found, about{server, w})
	}
}

// Judged lists the servers of which a verdict is in force, of all that there are: those with the most depots behind it first, and of equals the one with
// the lesser number, the same at all routers that have heard the same. No more than one in three of all, but one of two or more.
func (n *Node) Judged(now int64, w Word, all []uint32) (out []uint32) {
	type judged struct {
		server uint32
		sure   int
	}
	var found []judged
	for _, server := range all {
		key, sure := about{server, w}, 0
		for _, at := range n.talks.heard[key] {
			if now-at < wordKept && at > n.talks.fine[server] {
				sure++
			}
		}
		if sure >= quorum {
			found = append(found, judged{server, sure})
		}
	}
	slices.SortFunc(found, func(a, b judged) int {
		if a.sure != b.sure {
			return b.sure - a.sure
		}
		return int(int64(a.server) - int64(b.server))
	})
	most := len(all) / outPart
	if most == 0 && len(all) > 1 {
		most = 1
	}
	for _, j := range found[:min(len(found), most)] {
		out = append(out, j.server)
	}
	return out
}

// sayings says again what still stands.
func (n *Node) sayings(now int64) {
	t := &n.talks
	for _, key := range sortedKeys(t.found) {
		f := t.found[key]
		if now-f.at >= standsFor {
			delete(t.found, key)
			continue
		}
		n.hearWord(now, key, n.opt.Depot)
		n.say1(now, key, f)
	}
	if len(t.heard) >= mostTalked/2 {
		maps.DeleteFunc(t.heard, func(_ about, by map[int]int64) bool {
			maps.DeleteFunc(by, func(_ int, at int64) bool { return now-at >= wordKept })
			return len(by) == 0
		})
		maps.DeleteFunc(t.fine, func(_ uint32, at int64) bool { return now-at >= wordKept })
	}
}

// sortedKeys makes what is said come in the same order on every run.
func sortedKeys(m map[about]*finding) []about {
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b about) int {
		if a.server != b.server {
			return int(int64(a.server) - int64(b.server))
		}
		return int(a.word) - int(b.word)
	})
	return keys
}

// say1 tells all of one finding, if that is due, the budget bears it and not enough others have said so.
func (n *Node) say1(now int64, key about, f *finding) {
	wait := int64(sayAgain)
	if f.times < sayOften {
		wait = sayFirst
	}
	if f.times > 0 && now-f.said < wait {
		return
	}
	others := 0
	for depot, at := range n.talks.heard[key] {
		if depot != n.opt.Depot && now-at < wait {
			others++
		}
	}
	if others > quorum { // one more than is needed, for some of them may not have been heard elsewhere
		f.said = now
		f.times++
		return
	}
	t := &n.talks
	t.budget, t.budgetAt = min(t.budget+float64(now-t.budgetAt)/sayBudget, sayBurst), now
	if t.budget < 1 {
		return
	}
	t.budget--
	f.said = now
	f.times++
	n.say.op, n.say.server, n.say.word = word, key.server, key.word
	n.send(Everybody)
}

// hearWord books that a depot says something of a server.
func (n *Node) hearWord(now int64, key about, depot int) {
	by := n.talks.heard[key]
	if by == nil {
		if len(n.talks.heard) >= mostTalked {
			return
		}
		by = map[int]int64{}
		n.talks.heard[key] = by
	}
	by[depot] = now
}
