package main

import (
	"os"
	"time"

	"github.com/schollz/progressbar/v3"
)

const (
	// progressInterval is how often a bar is drawn at most.
	progressInterval = 200 * time.Millisecond
	// unknownCount is the count of a bar whose steps are not counted before the first is shown.
	unknownCount = -1
)

// progress is a bar on a terminal, and nothing elsewhere. A bar that can't be drawn stops nothing: its errors are left.
type progress struct{ bar *progressbar.ProgressBar }

// newProgress draws a bar of so many steps on the standard error output.
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

// show draws how many of all steps are done.
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
