package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// processSignals holds the signals that end the process or reload its configuration. Signals that arrive before run
// waits for them are kept. SIGUSR1 is handled by logCountersOnSignal.
type processSignals struct {
	terminate context.Context // done at SIGTERM or SIGINT
	hangUp    chan os.Signal  // holds one SIGHUP; others that arrive before it is handled need no reload of their own
	release   func()          // restores the default handling of SIGHUP, SIGTERM and SIGINT
}

// catchSignals catches signals until release is called. SIGPIPE is ignored: it would end the process when the reader
// of the log has closed the pipe.
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
