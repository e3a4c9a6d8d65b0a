package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"

	"spantack/internal/testwait"
)

// The process is gone before SIGKILL may come, accepts requests for as long as they come, and leaves what it
// accepted all its time where that can be.
func TestPlanShutdown(t *testing.T) {
	for deadline := 1.0; deadline < 1e6; deadline *= 1.07 {
		kill := min(deadline, maxHonouredDeadline) + killGrace
		plan := planShutdown(deadline)
		gone := plan.respondBy + plan.clientsRead
		if gone > kill-exitMargin+1e-6 || plan.acceptFor > plan.respondBy || plan.acceptFor < 600 || plan.clientsRead <= 0 {
			t.Errorf("deadline of %v ms: %+v, gone by %v, SIGKILL at %v", deadline, plan, gone, kill)
		}
		if late := gone + plan.slack; late > kill-exitMargin+1e-6 || plan.slack < -1e-6 {
			t.Errorf("deadline of %v ms: gone by %v where the machine is slow, SIGKILL at %v", deadline, late, kill)
		}
		isComfortable := plan.acceptFor == acceptAfterSignal && plan.clientsRead == maxAnswerReadTime &&
			plan.respondBy >= kill-finalAnswerLead
		if deadline >= 300 && !isComfortable {
			t.Errorf("deadline of %v ms: %+v", deadline, plan)
		}
	}
}

// SIGTERM, twice and with SIGHUP for a file half written, while servers hang with a read and a keyed write out:
// each gets its one answer, and the process is gone before SIGKILL may come.
func TestEndWithHungServers(t *testing.T) {
	t.Parallel()
	testwait.RetryIfStarved(t, func() error { return terminateWithHungServers(t) })
}

func terminateWithHungServers(t *testing.T) error {
	p, _ := launch(t, false)
	nc := p.connectReady()
	ask(nc, 2, "0000000000000002")
	p.await("GET 0000000000000002")
	askKeyed(nc, 3, "0000000000000003")
	if err := os.WriteFile(p.config, []byte(p.text[:len(p.text)/2]), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	began := testwait.StartStopwatch()
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	answers, err := io.ReadAll(nc)
	if err != nil {
		t.Error(err)
	}
	nc.Close()
	took := p.awaitExit(began)
	if !strings.Contains(p.log.String(), "new configuration can't be used") {
		t.Errorf("a file half written was taken in; log: %s", p.log)
	}
	if took > killLimit {
		return fmt.Errorf("ended after %v", took)
	}
	return checkEachAnswered(answers, 3)
}
