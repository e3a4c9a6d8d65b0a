package fleet

import "testing"

// Seven in ten die at once, and restart under their names: those left take the others for dead, and for up again,
// with one in ten datagrams lost.
func TestSevenInTenDieAtOnce(t *testing.T) {
	const routers, dead = 40, 28
	w := newWorld(t, 3, routers)
	w.loss = 0.1
	w.run(w.now+5*second, nil)
	for rank := range dead {
		w.kill(rank)
	}
	w.run(w.now+40*second, nil) // most probes go to dead members, one after the other
	for rank := dead; rank < routers; rank++ {
		if live := w.liveCount(rank); live != routers-dead {
			t.Errorf("router %d takes %d of 40 for up where 12 are", rank, live)
		}
	}
	for rank := range dead {
		w.start(t, rank)
	}
	w.run(w.now+6*second, nil)
	for rank := range routers {
		if live := w.liveCount(rank); live != routers {
			t.Errorf("router %d takes %d of 40 for up where all are", rank, live)
		}
	}
}

// Two halves that each take the other for dead find one another again; a process that was paused for three seconds,
// and one that receives but is not received by one other, are not declared dead for longer than they deserve.
func TestWhoIsUpAfterFaults(t *testing.T) {
	const routers = 20
	w := newWorld(t, 5, routers)
	w.run(w.now+4*second, nil)
	for rank := range 10 {
		w.partition[rank] = 1
	}
	w.run(w.now+30*second, nil)
	if first, last := w.liveCount(0), w.liveCount(19); first != 10 || last != 10 {
		t.Errorf("halves of 10 take %d and %d for up", first, last)
	}
	clear(w.partition)
	w.run(w.now+20*second, nil)
	for rank := range routers {
		if live := w.liveCount(rank); live != routers {
			t.Errorf("router %d takes %d of 20 for up after the heal", rank, live)
		}
	}
	const unheard, paused = 3, 12
	for rank := range routers { // some do not receive from it, but all receive of it
		if rank != 7 && rank != unheard {
			w.oneWay[[2]int{unheard, rank}] = rank < 5
		}
	}
	w.processes[paused].pausedUntil = w.now + 3*second
	w.run(w.now+12*second, nil)
	for rank := range routers {
		n := w.processes[rank].node
		if !n.IsUp(unheard) || !n.IsUp(paused) {
			t.Errorf("router %d takes %d for %v and %d for %v",
				rank, unheard, n.members[unheard].state, paused, n.members[paused].state)
		}
	}
}
