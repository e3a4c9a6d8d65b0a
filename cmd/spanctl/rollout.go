package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"strings"
	"time"

	"spantack/core/rollout"
	"spantack/internal/features"
)

type rolloutCmd struct {
	Start  rolloutStartCmd  `name:"start" cmd:"" help:"Begins a release: opens rings one after the other, each judged before the next."`
	Status rolloutStatusCmd `name:"status" cmd:"" help:"What routers see of a release, from their logs, and what that comes to together."`
	Stop   rolloutStopCmd   `name:"stop" cmd:"" help:"Rolls a release back in all cells."`
}

// saveRollout checks a changed rollout and writes it.
func (d *documentFlags) saveRollout(out io.Writer, f *features.File, release rollout.Rollout) error {
	assignment, err := compileCells(f)
	if err != nil {
		return err
	}
	if err := assignment.ValidateRollout(&release); err != nil {
		return err
	}
	next := *f
	next.Rollout = features.Rollout{Enabled: true, Rollout: release}
	return d.save(out, f, &next, section{
		name:     "stage",
		document: "stage.json",
		version:  release.Version,
		content:  next.Rollout,
		isTakenFrom: func(f *features.File) bool {
			return f.ActiveRollout() != nil && f.ActiveRollout().Version == release.Version
		},
	})
}

// errNoRollout is returned by commands that need a rollout in force.
var errNoRollout = errors.New("there is no release")

// loadRollout loads the features file and the rollout in force, which must exist.
func (d *documentFlags) loadRollout() (*features.File, *rollout.Rollout, error) {
	f, err := d.load()
	if err != nil {
		return nil, nil, err
	}
	release := f.ActiveRollout()
	if release == nil {
		return nil, nil, errNoRollout
	}
	return f, release, nil
}

type rolloutStartCmd struct {
	documentFlags
	Name               string        `name:"name" required:"" help:"What the release is called."`
	Prefix             string        `name:"prefix" help:"How its objects begin, in hex."`
	Families           []int         `name:"families" help:"First and last group of its objects."`
	Rings              []string      `name:"ring" required:"" sep:"none" help:"The cells of one ring, separated by commas; once for each ring, in their order."`
	StartDelay         time.Duration `name:"in" default:"60s" help:"Until the first ring opens: routers learn meanwhile how its cells differ from others."`
	RingDuration       time.Duration `name:"for" default:"10m" help:"Time in which a ring must be judged."`
	Replaces           bool          `name:"renews" help:"Its objects have an older version; the head office gives out the new one from the first ring's time on."`
	MaxStale           time.Duration `name:"keep" help:"With --renews: how old copies may be where a ring is closed." placeholder:"SPAN"`
	AfterRollback      string        `name:"back" help:"With --renews, what a ring rolled back for harm does until stopped: refuse or serve." placeholder:"refuse|serve"`
	ContinueIfUnsure   bool          `name:"go" help:"Goes on where a ring can't be judged in its time; else it waits."`
	RequestRate        float64       `name:"rate" help:"Requests a second that a cell gets at one router, and" placeholder:"N"`
	BaselineErrorRatio float64       `name:"bad" help:"part of them that fail on a usual day: with both, prints how long harm takes to be found." placeholder:"P"`
}

// Run begins a rollout under a name that no rollout in force has.
func (c *rolloutStartCmd) Run(out io.Writer) error {
	f, err := c.load()
	if err != nil {
		return err
	}
	release := c.newRollout()
	if release.ReplacesObjects {
		fmt.Fprintf(out, "the head office must have the new version by %s, and not much sooner: "+
			"a cell that has no copy gets what is there\n", formatTime(release.Since))
	}
	if old := f.ActiveRollout(); old != nil {
		if old.Name == c.Name {
			return fmt.Errorf("release %s is there already: stop it, or give the new one a name of its own", c.Name)
		}
		release.Version = old.Version + 1
	}
	for i, ring := range release.Rings {
		fmt.Fprintf(out, "ring %d: %s, at the soonest %s\n", i, c.Rings[i], formatTime(ring.OpensAt))
	}
	if c.RequestRate > 0 && c.BaselineErrorRatio > 0 && len(release.Rings) > 0 {
		c.printDetectionTimes(out, &release, len(f.CellSpec().Cells))
	}
	return c.saveRollout(out, f, release)
}

// newRollout returns the rollout that the flags describe, as version 1.
func (c *rolloutStartCmd) newRollout() rollout.Rollout {
	now := c.now()
	release := rollout.Rollout{
		Version:         1,
		Name:            c.Name,
		Prefix:          c.Prefix,
		Since:           now,
		ReplacesObjects: c.Replaces,
		OldCopyMaxAge:   millis(c.MaxStale),
		OnStop:          c.AfterRollback,
	}
	if c.Replaces {
		release.Since = now + millis(c.StartDelay) // copies made before are of the old version
	}
	if len(c.Families) > 0 {
		release.FamilyRange = c.Families
	}
	if c.ContinueIfUnsure {
		release.OnUndecided = "go"
	}
	for i, cells := range c.Rings {
		release.Rings = append(release.Rings, rollout.Ring{
			Cells:       strings.Split(cells, ","),
			OpensAt:     now + millis(c.StartDelay) + float64(i)*millis(c.RingDuration),
			JudgeWithin: millis(c.RingDuration),
		})
	}
	return release
}

// printDetectionTimes prints how long one router takes to find harm of several degrees in the first ring.
func (c *rolloutStartCmd) printDetectionTimes(out io.Writer, release *rollout.Rollout, allCells int) {
	parameters := release.TestParameters()
	ringCells, all := float64(len(release.Rings[0].Cells)), float64(allCells)
	for _, harm := range []float64{1.5, 2, 3, 5} {
		events := parameters.ExpectedEvents(harm, ringCells/all, 1)
		eventsPerS := c.RequestRate * c.BaselineErrorRatio * (ringCells*harm + all - ringCells)
		if seconds := events / eventsPerS; !math.IsInf(seconds, 0) {
			fmt.Fprintf(out, "harm of %.1f times the odds: found by one router after some %s on average, bursts not counted\n",
				harm, formatDuration(1000*seconds))
		}
	}
}

type rolloutStopCmd struct {
	documentFlags
	StopDelay time.Duration `name:"in" help:"Until it is rolled back, where the head office needs time for that."`
}

// Run rolls the release back in all cells.
func (c *rolloutStopCmd) Run(out io.Writer) error {
	f, inForce, err := c.loadRollout()
	if err != nil {
		return err
	}
	if inForce.RollbackAt > 0 {
		return fmt.Errorf("release %s was stopped already", inForce.Name)
	}
	release := *inForce
	release.Version++
	release.RollbackAt = c.now() + millis(c.StopDelay)
	if release.ReplacesObjects {
		fmt.Fprintf(out, "release %s: taken back in all cells; from %s on all copies made before are renewed: "+
			"by then the head office must have the old version\n", release.Name, formatTime(release.RollbackAt))
	} else {
		fmt.Fprintf(out, "release %s: taken back in all cells; refused there as soon as a router has this\n", release.Name)
	}
	return c.saveRollout(out, f, release)
}
