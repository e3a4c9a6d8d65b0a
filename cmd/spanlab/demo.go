package main

import (
	"os"
	"time"

	"spantack/lab/process"
)

// demoCmd runs a router under a small load.
type demoCmd struct{}

// demoTimeout bounds the run of the demo.
const demoTimeout = time.Minute

// Run runs the demo and prints the results of its requests.
func (demoCmd) Run() error {
	ctx, cancel := commandContext(demoTimeout)
	defer cancel()
	bar := newProgress(unknownCount)
	defer bar.finish()
	return process.Demo(ctx, os.Stdout, bar.show)
}
