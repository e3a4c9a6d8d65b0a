package main

import (
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"strings"
	"time"

	"spantack/core/cells"
	"spantack/core/rollout"
	"spantack/internal/features"
)

// rolloutFile is the file that the commands on releases write.
const rolloutFile = "stage.json"

// saveRollout checks a changed release and writes it.
func (c *documentFlags) saveRollout(out io.Writer, f *features.File, s rollout.Rollout) error {
	a, err := cells.Compile(f.CellSpec())
	if err != nil {
		return err
	}
	if err := a.CheckRollout(&s); err != nil {
		return err
	}
	next := *f
	next.Rollout = features.Rollout{Enabled: true, Rollout: s}
	if err := next.CheckReplaces(c.now(), f); err != nil {
		return err
	}
	if c.DryRun {
		fmt.Fprintf(out, "dry run: version %d not written\n", s.Version)
		return nil
	}
	return c.writeSection(out, rolloutFile, "stage", s.Version, next.Rollout, func(f *features.File) bool {
		return f.ActiveRollout() != nil && f.ActiveRollout().Version == s.Version
	})
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
	MaxStale           time.Duration `name:"keep" help:"With --renews: how old copies may be where a ring is shut." placeholder:"SPAN"`
	AfterRollback      string        `name:"back" help:"With --renews, what a ring taken back for harm does until stopped: refuse or serve." placeholder:"refuse|serve"`
	ContinueIfUnsure   bool          `name:"go" help:"Goes on where a ring can't be judged in its time; else it waits."`
	RequestRate        float64       `name:"rate" help:"Requests a second that a cell gets at one router, and" placeholder:"N"`
	BaselineErrorRatio float64       `name:"bad" help:"part of them that is bad on a usual day: with both, says how long harm takes to be found." placeholder:"P"`
}

func (c *rolloutStartCmd) Run(out io.Writer) error {
	f, _, err := c.loadMigration()
	if err != nil {
		return err
	}
	now := c.now()
	s := rollout.Rollout{Version: 1, Name: c.Name, Prefix: c.Prefix, Since: now}
	if len(c.Families) > 0 {
		s.FamilyRange = c.Families
	}
	if c.ContinueIfUnsure {
		s.OnUndecided = "go"
	}
	if s.ReplacesObjects, s.OldCopyMaxAge, s.OnRollback = c.Replaces, millis(c.MaxStale), c.AfterRollback; s.ReplacesObjects {
		s.Since = now + millis(c.StartDelay) // its copies made before are old ones
		fmt.Fprintf(out, "the head office must have the new version by %s, and not much sooner: a cell that has no copy gets what is there\n", formatTime(s.Since))
	}
	if old := f.ActiveRollout(); old != nil {
		if old.Name == c.Name {
			return fmt.Errorf("release %s is there already: stop it, or give the new one a name of its own", c.Name)
		}
		s.Version = old.Version + 1
	}
	for i, r := range c.Rings {
		s.Rings = append(s.Rings, rollout.Ring{Cells: strings.Split(r, ","), OpensAt: now + millis(c.StartDelay) + float64(i)*millis(c.RingDuration), JudgeWithin: millis(c.RingDuration)})
		fmt.Fprintf(out, "ring %d: %s, at the soonest %s\n", i, r, formatTime(s.Rings[i].OpensAt))
	}
	if c.RequestRate > 0 && c.BaselineErrorRatio > 0 && len(s.Rings) > 0 {
		t, n, all := s.TestParameters(), float64(len(s.Rings[0].Cells)), float64(len(f.CellSpec().Cells))
		for _, harm := range []float64{1.5, 2, 3, 5} {
			events := t.ExpectedEvents(harm, n/all, 1)
			perS := c.RequestRate * c.BaselineErrorRatio * (n*harm + all - n)
			if secs := events / perS; !math.IsInf(secs, 0) {
				fmt.Fprintf(out, "harm of %.1f times the odds: found by one router after some %s on average, bursts not counted\n", harm, formatDuration(1000*secs))
			}
		}
	}
	return c.saveRollout(out, f, s)
}

type rolloutStopCmd struct {
	documentFlags
	StopDelay time.Duration `name:"in" help:"Until it is taken back, where the head office needs time for that."`
}

func (c *rolloutStopCmd) Run(out io.Writer) error {
	f, _, err := c.loadMigration()
	if err != nil {
		return err
	}
	old := f.ActiveRollout()
	if old == nil {
		return errors.New("there is no release")
	}
	if old.RollbackAt > 0 {
		return fmt.Errorf("release %s was stopped already", old.Name)
	}
	s := *old
	s.Version++
	s.RollbackAt = c.now()
	if s.RollbackAt += millis(c.StopDelay); s.ReplacesObjects {
		fmt.Fprintf(out, "release %s: taken back in all cells; from %s on all copies made before are renewed: by then the head office must have the old version\n", s.Name, formatTime(s.RollbackAt))
	} else {
		fmt.Fprintf(out, "release %s: taken back in all cells; refused there as soon as a router has this\n", s.Name)
	}
	return c.saveRollout(out, f, s)
}

type rolloutStatusCmd struct {
	documentFlags
	Logs []string `name:"logs" arg:"" help:"Logs of routers with lines 'stage', of which the last of each counts."`
}

// Run adds up what routers see. They saw different requests, so their bets may be multiplied: the logs are added.
func (c *rolloutStatusCmd) Run(out io.Writer) error {
	f, _, err := c.loadMigration()
	if err != nil {
		return err
	}
	s := f.ActiveRollout()
	if s == nil {
		return errors.New("there is no release")
	}
	states := make([]map[string]int, len(s.Rings))
	sums := make([][]float64, len(s.Rings))
	for i := range s.Rings {
		states[i], sums[i] = map[string]int{}, make([]float64, len(rollout.MetricNames()))
	}
	for _, file := range c.Logs {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		var line struct {
			Stage cells.RolloutStatus `json:"stage"`
		}
		if !lastLogRecord(text, "stage", &line) {
			return fmt.Errorf("%s: no line 'stage'", file)
		}
		if line.Stage.Name != s.Name || len(line.Stage.Rings) != len(s.Rings) {
			return fmt.Errorf("%s: tells of release %q", file, line.Stage.Name)
		}
		for i, r := range line.Stage.Rings {
			states[i][r.State]++
			for m, e := range r.Evidence {
				if m < len(sums[i]) {
					sums[i][m] += e
				}
			}
		}
	}
	bound := math.Log(float64(len(rollout.MetricNames())) / s.TestParameters().Alpha)
	harm := ""
	for i, r := range s.Rings {
		fmt.Fprintf(out, "ring %d, %s:", i, strings.Join(r.Cells, ","))
		for _, state := range sortedKeys(states[i]) {
			fmt.Fprintf(out, " %s at %d routers", state, states[i][state])
		}
		for m, e := range sums[i] {
			fmt.Fprintf(out, "; %s %.1f of %.1f", rollout.MetricNames()[m], e, bound)
			if e >= bound {
				harm = fmt.Sprintf("ring %d does harm, by %s", i, rollout.MetricNames()[m])
			}
		}
		fmt.Fprintln(out)
	}
	if harm != "" {
		fmt.Fprintf(out, "%s: spanctl stage stop %s\n", harm, c.File)
	}
	return nil
}
