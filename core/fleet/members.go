package fleet

import (
	"fmt"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"

	"spantack/core/peers"
)

// State is what a router is held for.
type State byte

// The states. A router of which nothing is known counts as up: only what was seen takes one out.
const (
	Unheard State = iota
	Alive
	Suspect
	Dead
)

func (s State) String() string { return [...]string{"unheard", "alive", "suspect", "dead"}[s] }

// Times in microseconds. A router that dies is held for dead by nearly all within 7 s in a tier of 300, each asked once in that time or more.
const (
	askEvery    = 500_000 // between two questions of a router, with up to a fifth more at random
	answerIn    = 150_000 // in which the answer to a direct question is due, times 1 + slowness
	othersIn    = 350_000 // and that by way of others, from the first question
	byWayOf     = 3       // others that are sent to ask
	suspectFor  = 400_000 // shortest suspicion, times the logarithm of the tier: in that time a rumour gets round and its denial back
	suspectMore = 2       // times that is the longest
	confirmers  = 3       // as many others that suspect it too take a suspicion from its longest time to its shortest
	slowMost    = 7       // Lifeguard's local health: what this router misses lengthens its patience
	deadPart    = 0.5     // of the part held for dead, as a part of all questions, goes to those: halves of a tier must find one another
	spreadTimes = 3       // times the logarithm of the tier that a rumour is passed on
	mostRelays  = 64      // questions for others that are out
	relayKept   = 2_000_000
	stoodStill  = 500_000 // between two calls of Tick: the process was stopped, or starved
)

// member is a router as this one knows it.
type member struct {
	rumour               // what is known, and passed on
	window  peers.Window // datagrams of it that came
	heard   int64        // when; 0: never
	ends    int64        // of Suspect: when it is held for dead
	since   int64        // of Suspect
	with    [3]int       // who else suspects it
	shared  int          // how many of them
	spread  int          // how often the rumour is still to be passed on
	accused bool         // it was held for less than up when it was heard itself: it must hear of that
}

// newer reports that a replaces b: by incarnation, refutation, and of the same the graver state.
func (a rumour) newer(b rumour) bool {
	if a.incarnation != b.incarnation {
		return a.incarnation > b.incarnation
	}
	if a.refuted != b.refuted {
		return a.refuted > b.refuted
	}
	return a.state > b.state
}

// question is what is out to find a member alive.
type question struct {
	target   int // -1: none
	token    uint32
	asked    int64
	indirect bool
}

// relayed is a question asked for another.
type relayed struct {
	from  int
	token uint32
	at    int64
}

// Options say who speaks. All routers of a tier are given the same Siblings, Depots and Limits.
type Options struct {
	Rank, Siblings int // of this router, and how many there are in the settings
	Depot, Depots  int
	Incarnation    uint32 // greater at each start of this router
	Seed           uint64
	Limits         []Limit
}

// Counts of a Node since its start.
type Counts struct {
	Sent, Heard, Dropped int64
	Suspected, Died      int64 // what this router found by itself, or lived to see
	Lent, Promises       int64
}

// Node is one router's part. It is not safe for concurrent use. Send is told whom a datagram goes to, a rank or Broadcast; it must not keep the bytes.
type Node struct {
	Counts Counts
	Send   func(rank int, datagram []byte)

	opt      Options
	rng      *rand.Rand
	started  int64
	now      int64 // when it was last called
	sequence uint32
	token    uint32
	members  []member
	fresh    []int // ranks whose rumours are still to be passed on
	order    []int // in which members are asked, drawn anew each round
	next     int   // place in it
	due      int64 // the next question
	out      question
	relays   map[uint32]relayed
	slow     int // how far this router misses answers itself
	limits   []*lending
	health   health
	in, say  message
	buf      []byte
}

// New returns a node that starts now and knows nothing but the settings. Its error names the option at fault.
func New(now int64, o Options) (*Node, error) {
	if err := peers.CheckPlace(o.Rank, o.Siblings, o.Depot, o.Depots); err != nil {
		return nil, err
	}
	if len(o.Limits) > mostLimits {
		return nil, fmt.Errorf("Limits: %d, %d at most", len(o.Limits), mostLimits)
	}
	n := &Node{opt: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(o.Rank)<<32|uint64(o.Incarnation))), started: now,
		members: make([]member, o.Siblings), out: question{target: -1}, relays: map[uint32]relayed{}, Send: func(int, []byte) {}, health: newHealth()}
	for rank := range n.members {
		n.members[rank].rank = rank
		if rank != o.Rank {
			n.order = append(n.order, rank)
		}
	}
	me := &n.members[o.Rank]
	me.incarnation, me.state = o.Incarnation, Alive
	n.pass(me)
	n.shuffle()
	n.due = now + int64(n.rng.Float64()*askEvery)
	for i, l := range o.Limits {
		k, err := newLending(n, i, l)
		if err != nil {
			return nil, fmt.Errorf("Limits[%d].%w", i, err)
		}
		n.limits = append(n.limits, k)
	}
	return n, nil
}

// Up reports that a router is not held for dead.
func (n *Node) Up(rank int) bool { return rank == n.opt.Rank || n.members[rank].state != Dead }

// Living is how many routers are not held for dead, this one among them.
func (n *Node) Living() (living int) {
	for rank := range n.members {
		if n.Up(rank) {
			living++
		}
	}
	return living
}

// StateOf is what a router is held for.
func (n *Node) StateOf(rank int) State { return n.members[rank].state }

// pass makes a rumour go out with what is sent next.
func (n *Node) pass(m *member) {
	if m.spread == 0 {
		n.fresh = append(n.fresh, m.rank)
	}
	m.spread = spreadTimes * bits.Len(uint(n.opt.Siblings))
}

func (n *Node) shuffle() {
	n.rng.Shuffle(len(n.order), func(i, j int) { n.order[i], n.order[j] = n.order[j], n.order[i] })
	n.next = 0
}

// send builds a datagram of n.say, with rumours, and hands it out.
func (n *Node) send(to int) {
	m := &n.say
	n.sequence++
	m.rank, m.depot, m.incarnation, m.sequence = n.opt.Rank, n.opt.Depot, n.opt.Incarnation, n.sequence
	m.rumours = m.rumours[:0]
	if to != Broadcast && n.members[to].accused { // it must hear what is said of it, to put that right
		t := &n.members[to]
		m.rumours = append(m.rumours, rumour{t.rank, t.incarnation, t.refuted, Suspect})
	}
	room := (MaxDatagram - headSize - 1 - bodySizes[m.op]) / rumourSize
	for i := 0; to != Broadcast && i < len(n.fresh) && len(m.rumours) < room; {
		t := &n.members[n.fresh[i]]
		m.rumours = append(m.rumours, t.rumour)
		if t.spread--; t.spread == 0 {
			n.fresh = slices.Delete(n.fresh, i, i+1)
			continue
		}
		i++
	}
	if len(n.fresh) > 1 { // the next datagram begins with others
		n.fresh = append(n.fresh[1:], n.fresh[0])
	}
	n.Counts.Sent++
	n.buf = m.append(n.buf[:0])
	n.Send(to, n.buf)
}

func (n *Node) question(to int, o op, target int, token uint32) {
	n.say.op, n.say.target, n.say.token = o, target, token
	n.say.limit, n.say.keeper = 0, nobody
	if len(n.limits) > 0 { // of one limit at a time: who is known to keep it
		n.say.limit = int(n.sequence) % len(n.limits)
		n.say.keeper = n.limits[n.say.limit].reigns(n.now)
	}
	n.send(to)
}

// Tick does what is due and returns the time by which it wants to be called again.
func (n *Node) Tick(now int64) (next int64) {
	if gap := now - n.now; gap > stoodStill && n.now > 0 { // it is this process that was away, not the others
		n.out.target, n.slow = -1, min(n.slow+1, slowMost)
		for rank := range n.members {
			n.members[rank].ends += gap
		}
	}
	n.now = now
	n.ask(now)
	for rank := range n.members {
		if m := &n.members[rank]; m.state == Suspect && now >= m.ends {
			n.Counts.Died++
			n.note(now, rumour{rank, m.incarnation, m.refuted, Dead}, -1)
		}
	}
	for token, r := range n.relays {
		if now-r.at > relayKept {
			delete(n.relays, token)
		}
	}
	for _, k := range n.limits {
		k.tick(now)
	}
	n.repeatReports(now)
	return now + tickEvery
}

// tickEvery is how often Tick wants to be called, in microseconds: a question's answer is looked for no later than that.
const tickEvery = 50_000

// patience is a time lengthened by how far this router misses answers itself.
func (n *Node) patience(usual int64) int64 { return usual * int64(1+n.slow) }

// ask sees to the question that is out, and to the next.
func (n *Node) ask(now int64) {
	q := &n.out
	switch {
	case q.target >= 0 && !q.indirect && now >= q.asked+n.patience(answerIn):
		q.indirect = true
		for range byWayOf {
			if by := n.order[n.rng.IntN(len(n.order))]; by != q.target && n.Up(by) {
				n.question(by, relay, q.target, q.token)
			}
		}
	case q.target >= 0 && now >= q.asked+n.patience(othersIn):
		n.slow = min(n.slow+1, slowMost)
		m := &n.members[q.target]
		q.target = -1
		n.Counts.Suspected++
		n.note(now, rumour{m.rank, m.incarnation, m.refuted, Suspect}, n.opt.Rank)
	}
	if q.target >= 0 || now < n.due || len(n.order) == 0 {
		return
	}
	n.due = now + askEvery + int64(n.rng.Float64()*askEvery/5)
	dead := n.rng.Float64() < deadPart*(1-float64(n.Living())/float64(n.opt.Siblings))
	for range n.order {
		if n.next >= len(n.order) {
			n.shuffle()
		}
		rank := n.order[n.next]
		n.next++
		if n.Up(rank) != dead {
			n.token++
			*q = question{target: rank, token: n.token, asked: now}
			if dead { // it owes nothing; if it is there after all, what it answers shows that
				q.target = -1
			}
			n.question(rank, ping, rank, n.token)
			return
		}
	}
}

// Hear takes in a datagram of the router with that rank, as its address tells. Its error is ErrMalformed, ErrStranger or ErrOld, wrapped;
// nothing was taken in then. Its own words, which come back where an address reaches all, are passed over.
func (n *Node) Hear(now int64, rank int, datagram []byte) error {
	if rank == n.opt.Rank {
		return nil
	}
	if err := n.hear(now, rank, datagram); err != nil {
		n.Counts.Dropped++
		return err
	}
	n.Counts.Heard++
	return nil
}

func (n *Node) hear(now int64, rank int, datagram []byte) error {
	n.now = max(n.now, now)
	m := &n.in
	if err := m.parse(datagram); err != nil {
		return err
	}
	if m.rank != rank || rank < 0 || rank >= n.opt.Siblings || m.depot >= n.opt.Depots {
		return fmt.Errorf("%w: rank %d, depot %d", ErrStranger, m.rank, m.depot)
	}
	from := &n.members[rank]
	if !from.window.Take(m.incarnation, m.sequence) {
		return fmt.Errorf("%w: rank %d, %d of %d", ErrOld, rank, m.sequence, m.incarnation)
	}
	from.heard = now
	switch {
	case m.incarnation > from.incarnation:
		from.accused = false
		from.rumour = rumour{rank, m.incarnation, 0, Alive}
		n.pass(from)
	case m.incarnation == from.incarnation && from.state != Alive: // what was heard wins here; for the others it must speak itself
		from.accused = from.accused || from.state >= Suspect
		from.state = Alive
	}
	for _, r := range m.rumours {
		if r.rank < n.opt.Siblings {
			n.note(now, r, rank)
		}
	}
	if (m.op == ping || m.op == ack) && m.limit < len(n.limits) && m.keeper < n.opt.Siblings {
		n.limits[m.limit].hinted(now, m.keeper)
	}
	switch m.op {
	case ping:
		n.question(rank, ack, n.opt.Rank, m.token)
	case relay:
		if m.target < n.opt.Siblings && m.target != n.opt.Rank && len(n.relays) < mostRelays {
			n.token++
			n.relays[n.token] = relayed{rank, m.token, now}
			n.question(m.target, ping, m.target, n.token)
		}
	case ack:
		n.acked(now, m.target, m.token)
	case ask:
		if m.limit < len(n.limits) {
			n.limits[m.limit].asked(now, m)
		}
	case lend:
		if m.limit < len(n.limits) {
			n.limits[m.limit].lent(now, m)
		}
	case report:
		n.receiveReport(now, healthKey{m.server, m.condition}, m.depot)
	}
	return nil
}

// acked ends a question, this router's or one that it asked for another.
func (n *Node) acked(now int64, target int, token uint32) {
	if q := &n.out; q.target == target && q.token == token {
		q.target = -1
		n.slow = max(n.slow-1, 0)
		if m := &n.members[target]; m.state == Suspect && now >= m.since { // another saw it: not dead
			m.ends = max(m.ends, now+n.shortest())
		}
		return
	}
	if r, known := n.relays[token]; known {
		delete(n.relays, token)
		n.question(r.from, ack, target, r.token)
	}
}

// note takes in what is said of a router, by one of the tier; -1: by nobody, it follows from what is known.
func (n *Node) note(now int64, r rumour, by int) {
	m := &n.members[r.rank]
	if r.rank == n.opt.Rank {
		if r.state >= Suspect && r.incarnation == m.incarnation && r.refuted >= m.refuted { // not so
			m.refuted = r.refuted + 1
			n.slow = min(n.slow+1, slowMost)
			n.pass(m)
		}
		return
	}
	if r.state == Suspect && m.state == Suspect && r.incarnation == m.incarnation && r.refuted == m.refuted {
		n.confirm(m, by)
		return
	}
	if !r.newer(m.rumour) {
		return
	}
	seen := r.incarnation == m.incarnation && m.heard != 0 && now-m.heard < askEvery
	if seen && r.state >= Suspect && by != n.opt.Rank { // the newest own evidence wins over any word
		m.accused = true
		return
	}
	if r.incarnation > m.incarnation || r.refuted > m.refuted {
		m.accused = false
	}
	m.rumour = r
	if r.state == Suspect {
		m.since, m.shared = now, 0
		m.ends = now + n.suspicion()
		n.confirm(m, by)
		// Who is suspected hears of it at once from who found it and some others, and can deny it (Lifeguard's buddies).
		if m.accused = true; by == n.opt.Rank || n.rng.IntN(n.opt.Siblings) < confirmers {
			n.token++
			n.question(m.rank, ping, m.rank, n.token)
		}
	}
	n.pass(m)
}

// suspicion is how long one that nobody shares lasts: longer, the more this router misses answers itself.
func (n *Node) suspicion() int64 { return suspectMore * n.shortest() * int64(2+n.slow) / 2 }

// shortest is how long one lasts that confirmers others share.
func (n *Node) shortest() int64 { return suspectFor * int64(bits.Len(uint(n.opt.Siblings))) }

// confirm shortens a suspicion that others share.
func (n *Node) confirm(m *member, by int) {
	if by < 0 || m.shared >= confirmers || slices.Contains(m.with[:m.shared], by) {
		return
	}
	m.with[m.shared] = by
	m.shared++
	most := float64(n.suspicion())
	part := math.Log(float64(m.shared)) / math.Log(confirmers)
	least := float64(n.shortest())
	m.ends = m.since + int64(max(most-(most-least)*part, least))
	if m.shared > 1 {
		n.pass(m) // each that joins is worth passing on
	}
}
