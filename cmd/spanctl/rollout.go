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
func (d *documentFlags) saveRollout(out io.Writer, f *features.File, changed rollout.Rollout) error {
	assignment, err := compileCells(f)
	if err != nil {
		return err
	}
	if err := assignment.ValidateRollout(&changed); err != nil {
		return err
	}
	next := *f
	next.Rollout = features.Rollout{Enabled: true, Rollout: changed}
	return d.save(out, f, &next, section{
		name:     "stage",
		document: "stage.json",
		version:  changed.Version,
		content:  next.Rollout,
		isImportedBy: func(f *features.File) bool {
			return f.ActiveRollout() != nil && f.ActiveRollout().Version == changed.Version
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
	active := f.ActiveRollout()
	if active == nil {
		return nil, nil, errNoRollout
	}
	return f, active, nil
}

type rolloutStartCmd struct {
	documentFlags
	Name               string        `name:"name" required:"" help:"Name of the release."`
	Prefix             string        `name:"prefix" help:"Prefix of its objects, in hex."`
	Families           []int         `name:"families" help:"First and last purge group (family) of its objects."`
	Rings              []string      `name:"ring" required:"" sep:"none" help:"Cells of a ring, separated by commas; repeated for each ring, in their order."`
	StartDelay         time.Duration `name:"in" default:"60s" help:"Time until the first ring opens. Meanwhile routers learn how the cells of that ring differ from the others."`
	RingDuration       time.Duration `name:"for" default:"10m" help:"Time in which a ring must be judged; the next ring opens after it at the earliest."`
	Replaces           bool          `name:"renews" help:"The release replaces existing objects; the origin has the new version from the time at which the first ring opens."`
	MaxStale           time.Duration `name:"keep" help:"With --renews: maximum age of cached copies in rings that have not opened." placeholder:"SPAN"`
	AfterRollback      string        `name:"back" help:"With --renews: what the cells of a ring that is rolled back for harm do with requests for the release until rollout stop: refuse them, or serve whatever version is available." placeholder:"refuse|serve"`
	ContinueIfUnsure   bool          `name:"go" help:"Continue with the next ring if a ring can't be judged within --for; without this flag the rollout waits."`
	RequestRate        float64       `name:"rate" help:"Requests per second to a cell at one router. With --bad: prints how long it takes to detect harm." placeholder:"N"`
	BaselineErrorRatio float64       `name:"bad" help:"Fraction of these requests that fail if the release does no harm. With --rate: prints how long it takes to detect harm." placeholder:"P"`
}

// Run starts a rollout. It returns an error if the active rollout has the same name.
func (c *rolloutStartCmd) Run(out io.Writer) error {
	f, err := c.load()
	if err != nil {
		return err
	}
	added := c.newRollout()
	if added.ReplacesObjects {
		fmt.Fprintf(out, "the origin must have the new version by %s, and not much earlier: "+
			"a cell without a cached copy gets whichever version the origin has\n", formatTime(added.Since))
	}
	if old := f.ActiveRollout(); old != nil {
		if old.Name == c.Name {
			return fmt.Errorf("release %s already exists: stop it, or choose another name for the new one", c.Name)
		}
		added.Version = old.Version + 1
	}
	for i, ring := range added.Rings {
		fmt.Fprintf(out, "ring %d: %s, opens %s at the earliest\n", i, c.Rings[i], formatTime(ring.OpensAt))
	}
	if c.RequestRate > 0 && c.BaselineErrorRatio > 0 && len(added.Rings) > 0 {
		c.printDetectionTimes(out, &added, len(f.CellSpec().Cells))
	}
	return c.saveRollout(out, f, added)
}

// newRollout returns the rollout that the flags describe, as version 1.
func (c *rolloutStartCmd) newRollout() rollout.Rollout {
	now := c.now()
	planned := rollout.Rollout{
		Version:         1,
		Name:            c.Name,
		Prefix:          c.Prefix,
		Since:           now,
		ReplacesObjects: c.Replaces,
		OldCopyMaxAge:   millis(c.MaxStale),
		OnStop:          c.AfterRollback,
	}
	if c.Replaces {
		planned.Since = now + millis(c.StartDelay) // copies made before Since are of the old version
	}
	if len(c.Families) > 0 {
		planned.FamilyRange = c.Families
	}
	if c.ContinueIfUnsure {
		planned.OnUndecided = "go"
	}
	for i, cells := range c.Rings {
		planned.Rings = append(planned.Rings, rollout.Ring{
			Cells:       strings.Split(cells, ","),
			OpensAt:     now + millis(c.StartDelay) + float64(i)*millis(c.RingDuration),
			JudgeWithin: millis(c.RingDuration),
		})
	}
	return planned
}

// printDetectionTimes prints the mean time in which one router detects a degradation in the first ring. It prints the
// time for several degradations, which differ in the factor by which failures become more likely.
func (c *rolloutStartCmd) printDetectionTimes(out io.Writer, planned *rollout.Rollout, allCells int) {
	parameters := planned.TestParameters()
	ringCells, all := float64(len(planned.Rings[0].Cells)), float64(allCells)
	for _, factor := range []float64{1.5, 2, 3, 5} {
		events := parameters.ExpectedEvents(factor, ringCells/all, 1)
		eventsPerS := c.RequestRate * c.BaselineErrorRatio * (ringCells*factor + all - ringCells)
		if seconds := events / eventsPerS; !math.IsInf(seconds, 0) {
			fmt.Fprintf(out,
				"failures %.1f times as likely: one router detects this after about %s on average, if there are no bursts\n",
				factor, formatDuration(1000*seconds))
		}
	}
}

type rolloutStopCmd struct {
	documentFlags
	StopDelay time.Duration `name:"in" help:"Time until the release is rolled back, if the origin needs time to restore the old version."`
}

// Run rolls the release back in all cells.
func (c *rolloutStopCmd) Run(out io.Writer) error {
	f, current, err := c.loadRollout()
	if err != nil {
		return err
	}
	if current.RollbackAt > 0 {
		return fmt.Errorf("release %s has already been stopped", current.Name)
	}
	stopped := *current
	stopped.Version++
	stopped.RollbackAt = c.now() + millis(c.StopDelay)
	if stopped.ReplacesObjects {
		fmt.Fprintf(out, "release %s: rolled back in all cells; from %s on, copies made before then are renewed: "+
			"the origin must have the old version by then\n", stopped.Name, formatTime(stopped.RollbackAt))
	} else {
		fmt.Fprintf(out,
			"release %s: rolled back in all cells; each router rejects its requests once it has loaded the new document\n",
			stopped.Name)
	}
	return c.saveRollout(out, f, stopped)
}
