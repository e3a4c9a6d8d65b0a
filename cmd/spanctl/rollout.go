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
	Start  rolloutStartCmd  `name:"start" cmd:"" help:"Start the rollout of a release: rings open one after the other, each judged before the next."`
	Status rolloutStatusCmd `name:"status" cmd:"" help:"Print the state and evidence of each ring, summed over the logs of routers."`
	Stop   rolloutStopCmd   `name:"stop" cmd:"" help:"Roll a release back in all cells."`
}

// saveRollout checks a changed rollout and writes its document.
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
		isImportedBy: func(f *features.File) bool {
			return f.ActiveRollout() != nil && f.ActiveRollout().Version == release.Version
		},
	})
}

// errNoRollout is returned by commands that need an active rollout.
var errNoRollout = errors.New("no release is being rolled out")

// loadRollout loads the features file and returns it with its active rollout. It returns errNoRollout if there is none.
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
	Name               string        `name:"name" required:"" help:"Name of the release."`
	Prefix             string        `name:"prefix" help:"Prefix of its objects, in hex."`
	Families           []int         `name:"families" help:"First and last purge group (family) of its objects."`
	Rings              []string      `name:"ring" required:"" sep:"none" help:"Cells of a ring, separated by commas; repeated for each ring, in their order."`
	StartDelay         time.Duration `name:"in" default:"60s" help:"Time until the first ring opens. Routers use it to learn how its cells differ from others."`
	RingDuration       time.Duration `name:"for" default:"10m" help:"Time in which a ring must be judged."`
	Replaces           bool          `name:"renews" help:"Its objects replace older versions; the origin returns the new version from the opening of the first ring on."`
	MaxStale           time.Duration `name:"keep" help:"With --renews: largest age of cached copies in rings that are closed." placeholder:"SPAN"`
	AfterRollback      string        `name:"back" help:"With --renews: what a ring that is rolled back for harm does until the stop: refuse or serve." placeholder:"refuse|serve"`
	ContinueIfUnsure   bool          `name:"go" help:"Continue if a ring can't be judged in its time; left out: wait."`
	RequestRate        float64       `name:"rate" help:"Requests per second to a cell at one router. With --bad: prints how long it takes to detect harm." placeholder:"N"`
	BaselineErrorRatio float64       `name:"bad" help:"Fraction of these requests that fail without harm. With --rate: prints how long it takes to detect harm." placeholder:"P"`
}

// Run starts a rollout. It returns an error if the active rollout has the same name.
func (c *rolloutStartCmd) Run(out io.Writer) error {
	f, err := c.load()
	if err != nil {
		return err
	}
	release := c.newRollout()
	if release.ReplacesObjects {
		fmt.Fprintf(out, "the origin must have the new version by %s, and not much earlier: "+
			"cells without a copy get the version that is there\n", formatTime(release.Since))
	}
	if old := f.ActiveRollout(); old != nil {
		if old.Name == c.Name {
			return fmt.Errorf("release %s already exists: stop it, or choose another name for the new one", c.Name)
		}
		release.Version = old.Version + 1
	}
	for i, ring := range release.Rings {
		fmt.Fprintf(out, "ring %d: %s, opens %s at the earliest\n", i, c.Rings[i], formatTime(ring.OpensAt))
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
		OnRollback:      c.AfterRollback,
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

// printDetectionTimes prints how long one router takes to detect several degrees of harm in the first ring, on average.
func (c *rolloutStartCmd) printDetectionTimes(out io.Writer, release *rollout.Rollout, allCells int) {
	parameters := release.TestParameters()
	ringCells, all := float64(len(release.Rings[0].Cells)), float64(allCells)
	for _, harm := range []float64{1.5, 2, 3, 5} {
		events := parameters.ExpectedEvents(harm, ringCells/all, 1)
		eventsPerS := c.RequestRate * c.BaselineErrorRatio * (ringCells*harm + all - ringCells)
		if seconds := events / eventsPerS; !math.IsInf(seconds, 0) {
			fmt.Fprintf(out,
				"failures %.1f times as likely: one router detects this after about %s on average, not counting bursts\n",
				harm, formatDuration(1000*seconds))
		}
	}
}

type rolloutStopCmd struct {
	documentFlags
	StopDelay time.Duration `name:"in" help:"Time until the release is rolled back, if the origin needs time to go back."`
}

// Run rolls the release back in all cells.
func (c *rolloutStopCmd) Run(out io.Writer) error {
	f, inForce, err := c.loadRollout()
	if err != nil {
		return err
	}
	if inForce.RollbackAt > 0 {
		return fmt.Errorf("release %s has already been stopped", inForce.Name)
	}
	release := *inForce
	release.Version++
	release.RollbackAt = c.now() + millis(c.StopDelay)
	if release.ReplacesObjects {
		fmt.Fprintf(out, "release %s: rolled back in all cells; from %s on all older copies are renewed: "+
			"the origin must have the old version by then\n", release.Name, formatTime(release.RollbackAt))
	} else {
		fmt.Fprintf(out, "release %s: rolled back in all cells; each router rejects it there once it has the new document\n",
			release.Name)
	}
	return c.saveRollout(out, f, release)
}
