package fleet

import "testing"

// judged counts the routers that hold a verdict of a server.
func (w *world) judged(server uint32, all []uint32) (count int) {
	for i, p := range w.procs {
		if p.up {
			for _, s := range p.node.Ejected(w.local(i), Failing, all) {
				if s == server {
					count++
				}
			}
		}
	}
	return count
}

// A verdict needs two depots, reaches 99 in 100 of 300 routers 2.5 s after the second found it at 30% loss, and ends in time once nobody finds it any more. One
// sick depot that calls all servers failing takes none out; two take no more than one in three.
func TestVerdicts(t *testing.T) {
	all := []uint32{11, 12, 13, 14, 15, 16, 17}
	for seed := range uint64(5) {
		w := newWorld(t, seed, 300)
		w.loss = 0.3
		w.run(w.now+second, nil)
		find := func(long int64, servers []uint32, ranks ...int) {
			for end := w.now + long; w.now < end; {
				for _, i := range ranks {
					for _, s := range servers {
						w.procs[i].node.ReportFailure(w.local(i), s, Failing)
					}
				}
				w.run(w.now+second/5, nil)
			}
		}
		find(3*second, all, 0, 4, 8) // ranks of one depot
		if n := w.judged(11, all); n != 0 {
			t.Errorf("seed %d: %d routers take the word of one depot", seed, n)
		}
		w.run(w.now+4*second, nil)
		find(5*second/2, []uint32{13}, 0, 1)
		if n := w.judged(13, all); n < 297 {
			t.Errorf("seed %d: %d of 300 have heard of a failing server after 2.5 s", seed, n)
		}
		if i := 7; len(w.procs[i].node.Ejected(w.local(i), Failing, all)) == 1 { // own evidence wins
			w.procs[i].node.ReportSuccess(w.local(i), 13)
			if len(w.procs[i].node.Ejected(w.local(i), Failing, all)) != 0 {
				t.Errorf("seed %d: a router keeps off a server that has just answered it well", seed)
			}
		}
		w.run(w.now+observationLifetime+reportLifetime+25_000, nil)
		if n := w.judged(13, all); n != 0 {
			t.Errorf("seed %d: %d routers hold a verdict that has outlived its witnesses", seed, n)
		}
		find(4*second, all, 0, 1)
		for i, p := range w.procs {
			if out := p.node.Ejected(w.local(i), Failing, all); len(out) > 2 {
				t.Fatalf("seed %d: router %d keeps off %d of 7 servers", seed, i, len(out))
			}
		}
	}
}

// While two routers of two depots go on reporting a server, no other of 16 routers drops the verdict, at 30% loss: a router that does sends the dead
// server requests again. Four seconds are given to all to hear of it first. Fewer than one lapse in 2,000 router-seconds is allowed.
func TestVerdictDoesNotLapse(t *testing.T) {
	const (
		seeds   = 60
		routers = 16
		forTime = 20 * second
		step    = second / 20
		server  = 13
	)
	all := []uint32{11, 12, server}
	lapses := 0
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, routers)
		w.loss = 0.3
		w.run(w.now+second, nil)
		begin := w.now
		held := make([]bool, routers)
		for w.now < begin+forTime {
			for _, rank := range []int{0, 1} { // of two depots
				w.procs[rank].node.ReportFailure(w.local(rank), server, Failing)
			}
			w.run(w.now+step, nil)
			for rank, p := range w.procs {
				holds := len(p.node.Ejected(w.local(rank), Failing, all)) == 1
				if held[rank] && !holds && w.now > begin+4*second {
					lapses++
				}
				held[rank] = holds
			}
		}
	}
	t.Logf("%d lapses in %d router-seconds", lapses, seeds*routers*int((forTime-4*second)/second))
	if allowed := seeds * routers * int((forTime-4*second)/second) / 2000; lapses > allowed {
		t.Errorf("%d lapses, %d allowed", lapses, allowed)
	}
}
