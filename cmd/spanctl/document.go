package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"spantack/core/cells"
	"spantack/internal/clock"
	"spantack/internal/features"
)

// Commands that change migrations or a rollout read the features file and write a document beside it, which the
// features file imports as its section. A document is checked as a whole before it is written, and written completely
// or not at all.

// documentFlags are the arguments that these commands share.
type documentFlags struct {
	File   string  `name:"file" arg:"" help:"The features file; its sections moves and stage are import 'moves.json' and import 'stage.json'."`
	DryRun bool    `name:"dry-run" help:"Prints what would change and writes nothing."`
	Now    float64 `name:"now" help:"The time to use, Unix milliseconds; the clock's if left out." hidden:""`
}

// now returns the time to use, in Unix milliseconds.
func (d *documentFlags) now() float64 { return nowOr(d.Now) }

// nowOr returns a time given as a flag, or the clock's if it was left out.
func nowOr(flag float64) float64 {
	if flag > 0 {
		return flag
	}
	return (&clock.Clock{}).Now()
}

// load loads the features file, in which cells must be on.
func (d *documentFlags) load() (*features.File, error) {
	f, _, err := loadCellSpec(d.File)
	return f, err
}

// section is a section of the features file that a command writes to a document of its own.
type section struct {
	name     string // in the features file
	document string // file name
	version  int64
	content  any
	// isTakenFrom reports whether a features file, loaded again, has the section as it was written.
	isTakenFrom func(*features.File) bool
}

// save checks the next features file against the one in force and writes its changed section, unless it is a dry run.
func (d *documentFlags) save(out io.Writer, inForce, next *features.File, s section) error {
	if err := next.CheckReplaces(d.now(), inForce); err != nil {
		return err
	}
	if d.DryRun {
		fmt.Fprintf(out, "dry run: version %d not written\n", s.version)
		return nil
	}
	return d.write(out, s)
}

// write replaces a section's document. It restores the old one if the features file does not import its section from
// there.
func (d *documentFlags) write(out io.Writer, s section) error {
	text, err := json.MarshalIndent(s.content, "", "  ")
	if err != nil {
		return fmt.Errorf("%s: %w", s.document, err)
	}
	path := filepath.Join(filepath.Dir(d.File), s.document)
	before, readErr := os.ReadFile(path)
	if err := writeFileAtomically(path, append(text, '\n')); err != nil {
		return err
	}
	after, err := features.Load(d.File)
	if err != nil || !s.isTakenFrom(after) {
		if readErr == nil {
			err = errors.Join(err, writeFileAtomically(path, before))
		} else {
			err = errors.Join(err, os.Remove(path))
		}
		return errors.Join(fmt.Errorf("%s does not take its section %s from %s: it must be import '%s'",
			d.File, s.name, path, s.document), err)
	}
	fmt.Fprintf(out, "%s: version %d written; send SIGHUP to the routers\n", path, s.version)
	return nil
}

// writeFileAtomically writes a file completely or not at all.
func writeFileAtomically(path string, text []byte) error {
	file, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	err = errors.Join(err, file.Sync(), file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		err = errors.Join(err, os.Remove(file.Name()))
	}
	return err
}

// compileCells compiles the cells of a features file in which they are on.
func compileCells(f *features.File) (*cells.Assignment, error) { return cells.Compile(f.CellSpec()) }

// millis converts a duration to milliseconds, in which documents have times.
func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

// formatTime formats Unix milliseconds. A time that never comes is that of a paused migration.
func formatTime(ms float64) string {
	if math.IsInf(ms, 0) {
		return "until resumed"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04:05Z")
}

// formatDuration formats milliseconds, rounded to seconds.
func formatDuration(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
