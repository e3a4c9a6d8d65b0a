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

// Jobs run one at a time, the urgent first, each once however often it is submitted; one that fails is tried three times and given up,
// and what comes after it still runs. Time is the test's.
func TestJobsRunInOrder(t *testing.T) {
	c := clock.NewFake(1e12)
	var log bytes.Buffer
	r, err := New(c, 1, zerolog.New(&log))
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var ran []string
	note := func(id string) func() {
		return func() {
			mu.Lock()
			defer mu.Unlock()
			ran = append(ran, id)
		}
	}
	for id, p := range map[string]scheduler.Priority{"idle": scheduler.Idle, "urgent": scheduler.Urgent, "prompt": scheduler.High} {
		if err := r.Submit(id, p, 1, note(id)); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.Submit("idle", scheduler.Urgent, 1, note("idle")); !errors.Is(err, scheduler.ErrDuplicateJob) {
		t.Errorf("twice under one id: %v", err)
	}
	if err := r.Submit("broken", scheduler.Idle, 1, func() { note("broken")(); panic("planned") }); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- r.Run(ctx) }()
	var many int
	r.Every(ctx, "again", 100, scheduler.Normal, func() {
		mu.Lock()
		defer mu.Unlock()
		many++
	})
	for {
		c.Advance(10)
		mu.Lock()
		over := many >= 20 && len(ran) >= 6
		mu.Unlock()
		if over {
			break
		}
	}
	stop()
	c.Advance(20_000)
	if err := testwait.Receive(t, done, "the runner to end"); err != nil {
		t.Error(err)
	}
	if i, j, k := slices.Index(ran, "urgent"), slices.Index(ran, "prompt"), slices.Index(ran, "idle"); i > j || j > k || len(ran) != 6 {
		t.Errorf("ran %v", ran)
	}
	if n := strings.Count(log.String(), "background job failed"); n != 3 {
		t.Errorf("%d lines of a job that fails three times", n)
	}
}
