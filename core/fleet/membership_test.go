package fleet

import "testing"

// Guards against a wrong count of live routers after 70% of them die at once, and after they restart with the same
// ranks. 10% of the datagrams are lost.
func TestMassFailureAndRestartAreDetected(t *testing.T) {
	const routers, dead = 40, 28
	w := newWorld(t, 3, routers)
	w.loss = 0.1
	w.run(w.now+5*second, nil)
	for rank := range dead {
		w.kill(rank)
	}
	// Each router probes one member at a time, and waits for the timeouts of a probe whose target is dead.
	w.run(w.now+40*second, nil)
	for rank := dead; rank < routers; rank++ {
		if live := w.liveCount(rank); live != routers-dead {
			t.Errorf("router %d considers %d of 40 up, want 12", rank, live)
		}
	}
	for rank := range dead {
		w.start(t, rank)
	}
	w.run(w.now+6*second, nil)
	for rank := range routers {
		if live := w.liveCount(rank); live != routers {
			t.Errorf("router %d considers %d of 40 up, want all", rank, live)
		}
	}
}

// Guards against members that are considered dead after a fault has ended. Two halves of a fleet that were partitioned
// must find each other again. A process that was paused for three seconds must not be considered dead afterwards. The
// same holds for a process whose datagrams do not reach some of the other routers.
func TestMembershipRecoversAfterFaults(t *testing.T) {
	const routers = 20
	w := newWorld(t, 5, routers)
	w.run(w.now+4*second, nil)
	for rank := range 10 {
		w.partition[rank] = 1
	}
	w.run(w.now+30*second, nil)
	if first, last := w.liveCount(0), w.liveCount(19); first != 10 || last != 10 {
		t.Errorf("routers in halves of 10 consider %d and %d up, want 10 and 10", first, last)
	}
	clear(w.partition)
	w.run(w.now+20*second, nil)
	for rank := range routers {
		if live := w.liveCount(rank); live != routers {
			t.Errorf("router %d considers %d of 20 up after the partitions have healed, want all", rank, live)
		}
	}
	const oneWayRank, paused = 3, 12
	for rank := range routers { // some routers receive no datagrams from oneWayRank, but updates about it from others
		if rank != 7 && rank != oneWayRank {
			w.oneWay[[2]int{oneWayRank, rank}] = rank < 5
		}
	}
	w.processes[paused].pausedUntil = w.now + 3*second
	w.run(w.now+12*second, nil)
	for rank := range routers {
		n := w.processes[rank].node
		if !n.IsUp(oneWayRank) || !n.IsUp(paused) {
			t.Errorf("router %d considers %d %v and %d %v",
				rank, oneWayRank, n.members[oneWayRank].state, paused, n.members[paused].state)
		}
	}
}
