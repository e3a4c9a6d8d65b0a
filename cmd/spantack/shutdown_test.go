package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"spantack/internal/testwait"
)

// Guards against a shutdown that goes on until SIGKILL, stops accepting too early, or leaves open requests less time
// than it could.
func TestPlanShutdown(t *testing.T) {
	for deadline := 1.0; deadline < 1e6; deadline *= 1.07 {
		kill := min(deadline, maxHonouredDeadline) + killGrace
		plan := planShutdown(deadline)
		exit := plan.respondBy + plan.clientsRead
		if exit > kill-exitMargin+1e-6 || plan.acceptFor > plan.respondBy || plan.acceptFor < 600 || plan.clientsRead <= 0 {
			t.Errorf("deadline of %v ms: %+v, exit at %v, SIGKILL at %v: exit too late, or a time out of bounds",
				deadline, plan, exit, kill)
		}
		if late := exit + plan.slack; late > kill-exitMargin+1e-6 || plan.slack < -1e-6 {
			t.Errorf("deadline of %v ms: exit at %v on a slow machine, SIGKILL at %v", deadline, late, kill)
		}
		hasFullTimes := plan.acceptFor == acceptAfterSignal && plan.clientsRead == maxResponseReadTime &&
			plan.respondBy >= kill-finalResponseLead
		if deadline >= 300 && !hasFullTimes {
			t.Errorf("deadline of %v ms: %+v, want the full times", deadline, plan)
		}
	}
}

// Guards against requests without a response, or a process that exits later than the time at which SIGKILL may follow,
// when servers hang during a shutdown. Also guards against a shutdown that is disturbed by further signals, or by a
// reload of a half-written configuration.
func TestShutdownRespondsWhenServersHang(t *testing.T) {
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
	watch := testwait.StartStopwatch()
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)
	answers, err := io.ReadAll(nc)
	if err != nil {
		t.Error(err)
	}
	nc.Close()
	took := p.awaitExit(watch)
	if !strings.Contains(p.log.String(), "new configuration can't be used") {
		t.Errorf("a half-written configuration was not rejected; log: %s", p.log)
	}
	if took > killLimit {
		return fmt.Errorf("exited after %v", took)
	}
	return checkEachAnswered(answers, 3)
}

// Guards against a process that does not exit after SIGTERM because one of its components waits for good: the
// configuration is replaced by a named pipe that nobody writes to, and SIGHUP makes the process read it. It must exit
// before SIGKILL may follow, and name the component.
func TestShutdownDoesNotWaitForAStuckReload(t *testing.T) {
	t.Parallel()
	p, _ := launch(t, false)
	p.connectReady()
	if err := os.Remove(p.config); err != nil {
		t.Fatal(err)
	}
	if err := p.writeConfig(true); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP)
	time.Sleep(100 * time.Millisecond)
	watch := testwait.StartStopwatch()
	p.signal(syscall.SIGTERM)
	if took := p.awaitExit(watch); took > killLimit {
		t.Errorf("exited after %v, want at most %v", took, killLimit)
	}
	if log := p.log.String(); !strings.Contains(log, `"waiting":["reload"]`) {
		t.Errorf("the log does not name the component: %s", log)
	}
}
