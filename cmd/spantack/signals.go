package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// processSignals are the signals that the process honours. Those that come before run looks are not lost.
type processSignals struct {
	terminate context.Context // done at SIGTERM or SIGINT
	hangUp    chan os.Signal  // one SIGHUP: more before it is handled mean the same
	release   func()          // gives the signals back to the system
}

// catchSignals catches signals until release is called. SIGPIPE is ignored: who reads the log may be gone, and that
// is no reason to end.
func catchSignals() *processSignals {
	terminate, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	release := func() {
		signal.Stop(hangUp)
		stop()
	}
	return &processSignals{terminate: terminate, hangUp: hangUp, release: release}
}
