package main

import (
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
)

const (
	// progressInterval is the minimum time between updates of a bar.
	progressInterval = 200 * time.Millisecond
	// unknownCount is passed to newProgress if the number of steps is not known before the first call of show.
	unknownCount = -1
)

// progress is a progress bar. It draws nothing if the standard error output is not a terminal. Drawing errors are
// ignored, because they must not stop a run.
type progress struct{ bar *progressbar.ProgressBar }

// newProgress returns a bar with a number of steps, drawn on the standard error output.
func newProgress(all int) *progress {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return &progress{}
	}
	return &progress{progressbar.NewOptions(all,
		progressbar.OptionSetWriter(os.Stderr),
		progressbar.OptionThrottle(progressInterval),
		progressbar.OptionShowCount(),
		progressbar.OptionClearOnFinish())}
}

// show draws the number of steps done, and updates the total number of steps.
func (p *progress) show(done, all int) {
	if p.bar != nil {
		p.bar.ChangeMax(all)
		_ = p.bar.Set(done)
	}
}

// finish removes the bar.
func (p *progress) finish() {
	if p.bar != nil {
		_ = p.bar.Finish()
	}
}
