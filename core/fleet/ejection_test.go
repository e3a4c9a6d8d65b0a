package fleet

import (
	"slices"
	"testing"
)

// ejected lists the servers that a router ejects as failing.
func (w *world) ejected(rank int, all []uint32) []uint32 {
	return w.processes[rank].node.Ejected(w.localTime(rank), Failing, all)
}

// countEjecting counts the routers that eject a server.
func (w *world) countEjecting(server uint32, all []uint32) (count int) {
	for rank, p := range w.processes {
		if p.isRunning && slices.Contains(w.ejected(rank, all), server) {
			count++
		}
	}
	return count
}

// reportFailing has a router observe that a server fails.
func (w *world) reportFailing(rank int, server uint32) {
	w.processes[rank].node.ReportFailure(w.localTime(rank), server, Failing)
}

// A verdict needs two sites, reaches 99 in 100 of 300 routers 2.5 s after the second observed it at 30% loss, and
// ends in time once nobody observes it any more. One bad site that reports all servers as failing ejects none; two
// eject no more than one in three.
func TestVerdicts(t *testing.T) {
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
			t.Errorf("seed %d: %d routers take the word of one site", seed, count)
		}
		w.run(w.now+4*second, nil)
		observe(5*second/2, []uint32{13}, 0, 1)
		if count := w.countEjecting(13, all); count < 297 {
			t.Errorf("seed %d: %d of 300 eject a failing server after 2.5 s", seed, count)
		}
		if rank := 7; len(w.ejected(rank, all)) == 1 { // own evidence wins
			w.processes[rank].node.ReportSuccess(w.localTime(rank), 13)
			if len(w.ejected(rank, all)) != 0 {
				t.Errorf("seed %d: a router ejects a server that has just answered it well", seed)
			}
		}
		w.run(w.now+observationLifetime+reportLifetime+25_000, nil)
		if count := w.countEjecting(13, all); count != 0 {
			t.Errorf("seed %d: %d routers hold a verdict that nobody observes any more", seed, count)
		}
		observe(4*second, all, 0, 1)
		for rank := range w.processes {
			if ejected := w.ejected(rank, all); len(ejected) > 2 {
				t.Fatalf("seed %d: router %d ejects %d of 7 servers", seed, rank, len(ejected))
			}
		}
	}
}

// While two routers of two sites go on reporting a server, no other of 16 routers drops the verdict, at 30% loss: a
// router that does sends the dead server requests again. Four seconds are given for all to receive it first. Fewer
// than one lapse in 2,000 router-seconds is allowed.
func TestVerdictDoesNotLapse(t *testing.T) {
	const (
		seeds    = 60
		routers  = 16
		settling = 4 * second
		duration = 20 * second
		step     = second / 20
		server   = 13
	)
	all := []uint32{11, 12, server}
	lapses := 0
	for seed := range uint64(seeds) {
		w := newWorld(t, seed, routers)
		w.loss = 0.3
		w.run(w.now+second, nil)
		begin := w.now
		ejects := make([]bool, routers)
		for w.now < begin+duration {
			for _, rank := range []int{0, 1} { // of two sites
				w.reportFailing(rank, server)
			}
			w.run(w.now+step, nil)
			for rank := range w.processes {
				ejectsNow := len(w.ejected(rank, all)) == 1
				if ejects[rank] && !ejectsNow && w.now > begin+settling {
					lapses++
				}
				ejects[rank] = ejectsNow
			}
		}
	}
	routerSeconds := seeds * routers * int((duration-settling)/second)
	t.Logf("%d lapses in %d router-seconds", lapses, routerSeconds)
	if allowed := routerSeconds / 2000; lapses > allowed {
		t.Errorf("%d lapses, %d allowed", lapses, allowed)
	}
}
