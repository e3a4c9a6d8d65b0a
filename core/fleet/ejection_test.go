package fleet

import (
	"slices"
	"testing"
)

// ejected returns the servers that a router ejects as failing.
func (w *world) ejected(rank int, all []uint32) []uint32 {
	return w.processes[rank].node.Ejected(w.localTime(rank), Failing, all)
}

// countEjecting returns the number of running routers that eject a server.
func (w *world) countEjecting(server uint32, all []uint32) (count int) {
	for rank, p := range w.processes {
		if p.isRunning && slices.Contains(w.ejected(rank, all), server) {
			count++
		}
	}
	return count
}

// reportFailing reports to a router that it observes a failing server.
func (w *world) reportFailing(rank int, server uint32) {
	w.processes[rank].node.ReportCondition(w.localTime(rank), server, Failing)
}

// Guards against verdicts that are wrong, late or too long, in a fleet of 300 routers with 30% datagram loss. If only
// one site reports all servers as failing, no server must be ejected. If two sites do, at most one in three servers
// may be ejected. A verdict must reach 99% of the routers within 2.5 s of the observations at two sites, and end when
// no router observes the failure any more.
func TestVerdictNeedsTwoSitesReachesFleetAndExpires(t *testing.T) {
	all := []uint32{11, 12, 13, 14, 15, 16, 17}
	for seed := range uint64(5) {
		w := newWorld(t, seed, 300)
		w.loss = 0.3
		w.run(w.now+second, nil)
		observe := func(duration int64, servers []uint32, ranks ...int) {
			for end := w.now + duration; w.now < end; {
				for _, rank := range ranks {
					for _, server := range servers {
						w.reportFailing(rank, server)
					}
				}
				w.run(w.now+second/5, nil)
			}
		}
		observe(3*second, all, 0, 4, 8) // ranks of one site
		if count := w.countEjecting(11, all); count != 0 {
			t.Errorf("seed %d: %d routers eject a server that only one site reports", seed, count)
		}
		w.run(w.now+4*second, nil)
		observe(5*second/2, []uint32{13}, 0, 1)
		if count := w.countEjecting(13, all); count < 297 {
			t.Errorf("seed %d: %d of 300 routers eject a failing server after 2.5 s, want at least 297", seed, count)
		}
		if rank := 7; len(w.ejected(rank, all)) == 1 { // the router's own evidence has priority over reports
			w.processes[rank].node.ReportSuccess(w.localTime(rank), 13)
			if len(w.ejected(rank, all)) != 0 {
				t.Errorf("seed %d: a router ejects a server that has just answered it successfully", seed)
			}
		}
		w.run(w.now+observationLifetime+reportLifetime+25_000, nil)
		if count := w.countEjecting(13, all); count != 0 {
			t.Errorf("seed %d: %d routers eject a server that no router reports any more", seed, count)
		}
		observe(4*second, all, 0, 1)
		for rank := range w.processes {
			if ejected := w.ejected(rank, all); len(ejected) > 2 {
				t.Fatalf("seed %d: router %d ejects %d of 7 servers", seed, rank, len(ejected))
			}
		}
	}
}

// Guards against verdicts that lapse at a router while two routers of two sites still report the server. The router
// would then send requests to the dead server again. The fleet has 16 routers and 30% datagram loss. Lapses in the
// first four seconds do not count, because in this time the routers receive the verdict. At most one lapse in 2,000
// router-seconds is allowed.
func TestVerdictDoesNotLapse(t *testing.T) {
	const (
		seeds      = 60
		routers    = 16
		spreadTime = 4 * second
		duration   = 20 * second
		step       = second / 20
		server     = 13
	)
	all := []uint32{11, 12, server}
	lapses := 0
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, routers)
		w.loss = 0.3
		w.run(w.now+second, nil)
		startedAt := w.now
		ejects := make([]bool, routers)
		for w.now < startedAt+duration {
			for _, rank := range []int{0, 1} { // two routers of different sites
				w.reportFailing(rank, server)
			}
			w.run(w.now+step, nil)
			for rank := range w.processes {
				ejectsNow := len(w.ejected(rank, all)) == 1
				if ejects[rank] && !ejectsNow && w.now > startedAt+spreadTime {
					lapses++
				}
				ejects[rank] = ejectsNow
			}
		}
	}
	routerSeconds := seeds * routers * int((duration-spreadTime)/second)
	t.Logf("%d lapses in %d router-seconds", lapses, routerSeconds)
	if allowed := routerSeconds / 2000; lapses > allowed {
		t.Errorf("%d lapses, %d allowed", lapses, allowed)
	}
}
