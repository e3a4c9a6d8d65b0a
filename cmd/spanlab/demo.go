package main

import (
	"os"
	"time"

	"spantack/lab/process"
)

// demoCmd shows a router under a small load.
type demoCmd struct{}

// demoTimeout bounds the demonstration.
const demoTimeout = time.Minute

// Run prints what became of the load.
func (demoCmd) Run() error {
	ctx, cancel := commandContext(demoTimeout)
	defer cancel()
	bar := newProgress(unknownCount)
	defer bar.finish()
	return process.Demo(ctx, os.Stdout, bar.show)
}
