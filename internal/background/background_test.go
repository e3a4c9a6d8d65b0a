package background

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"spantack/core/scheduler"
	"spantack/internal/clock"
	"spantack/internal/testwait"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// jobLog records the jobs that have run.
type jobLog struct {
	mu  sync.Mutex
	ran []string
}

// job returns a job that records that it ran.
func (l *jobLog) job(id string) func() {
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ran = append(l.ran, id)
	}
}

// all returns the jobs that have run, in order.
func (l *jobLog) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.ran)
}

// Jobs must run one at a time, the urgent ones first, and once even if submitted twice. A job that fails must be
// attempted three times and then dropped. Jobs that are submitted later, or repeated by Every, must still run.
func TestJobsRunInOrderDespiteFailures(t *testing.T) {
	c := clock.NewFake(1e12)
	var log bytes.Buffer
	r, err := New(c, 1, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	var once, repeated jobLog
	for id, priority := range map[string]scheduler.Priority{
		"idle": scheduler.Idle, "urgent": scheduler.Urgent, "high": scheduler.High,
	} {
		if err := r.Submit(id, priority, 1, once.job(id)); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Submit("idle", scheduler.Urgent, 1, once.job("idle")); !errors.Is(err, scheduler.ErrDuplicateJob) {
		t.Errorf("second job with the same id: %v", err)
	}
	broken := func() {
		once.job("broken")()
		panic("planned")
	}
	if err := r.Submit("broken", scheduler.Idle, 1, broken); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error)
	go func() { ended <- r.Run(ctx) }()
	r.Every(ctx, "again", 100, scheduler.Normal, repeated.job("again"))
	for len(repeated.all()) < 20 || len(once.all()) < 6 {
		c.Advance(10)
	}
	stop()
	c.Advance(20_000)
	if err := testwait.Receive(t, ended, "the runner to end"); err != nil {
		t.Error(err)
	}
	ran := once.all()
	urgent, high, idle := slices.Index(ran, "urgent"), slices.Index(ran, "high"), slices.Index(ran, "idle")
	if urgent > high || high > idle || len(ran) != 6 {
		t.Errorf("jobs ran in the order %v", ran)
	}
	if n := strings.Count(log.String(), "background job failed"); n != 3 {
		t.Errorf("%d log lines for a job that fails three times, want 3", n)
	}
}
