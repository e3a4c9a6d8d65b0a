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

// documentFlags are the arguments of the commands that change or print migrations or a rollout. Commands that make a
// change read the features file and write a document in the same folder, which the features file imports as a section.
// A document is checked as a whole before it is written, and the write is atomic.
type documentFlags struct {
	File   string  `name:"file" arg:"" help:"The features file. It must import the section that the command changes: moves: import 'moves.json', or stage: import 'stage.json'."`
	DryRun bool    `name:"dry-run" help:"Print what would change and write nothing."`
	Now    float64 `name:"now" help:"The time to use, in Unix milliseconds; default: the current time." hidden:""`
}

// now returns the time to use, in Unix milliseconds.
func (d *documentFlags) now() float64 { return nowOr(d.Now) }

// nowOr returns a flag's time, or the current time if the flag is not given, in Unix milliseconds.
func nowOr(flag float64) float64 {
	if flag > 0 {
		return flag
	}
	return (&clock.Clock{}).Now()
}

// load loads the features file. It returns an error if cells are off.
func (d *documentFlags) load() (*features.File, error) {
	f, _, err := loadCellSpec(d.File)
	return f, err
}

// section is a section of the features file that a command writes to a separate document.
type section struct {
	name     string // in the features file
	document string // file name
	version  int64
	content  any
	// isImportedBy reports whether a features file has the section as it was written. It is called with the file as
	// loaded after the write.
	isImportedBy func(*features.File) bool
}

// save checks the next features file against the current one, and writes the changed section unless it is a dry run.
func (d *documentFlags) save(out io.Writer, current, next *features.File, s section) error {
	if err := next.CheckReplaces(d.now(), current); err != nil {
		return err
	}
	if d.DryRun {
		fmt.Fprintf(out, "dry run: version %d not written\n", s.version)
		return nil
	}
	return d.write(out, s)
}

// write replaces a section's document. If the features file can't be loaded afterwards, or does not import the section
// from the document, write restores the old document and returns an error.
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
	if err != nil || !s.isImportedBy(after) {
		if readErr == nil {
			err = errors.Join(err, writeFileAtomically(path, before))
		} else {
			err = errors.Join(err, os.Remove(path))
		}
		return errors.Join(fmt.Errorf(
			"%[1]s: can't load the section %[2]s written to %[3]s; the file must have %[2]s: import '%[4]s'",
			d.File, s.name, path, s.document), err)
	}
	fmt.Fprintf(out, "%s: version %d written; send SIGHUP to the routers\n", path, s.version)
	return nil
}

// writeFileAtomically writes a temporary file and renames it to path.
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

// compileCells compiles the cells of a features file, in which they must be on.
func compileCells(f *features.File) (*cells.Assignment, error) { return cells.Compile(f.CellSpec()) }

// millis converts a duration to milliseconds, the unit of times in documents.
func millis(d time.Duration) float64 { return float64(d.Milliseconds()) }

// formatTime formats Unix milliseconds. Only the end of a paused migration is an infinite time.
func formatTime(ms float64) string {
	if math.IsInf(ms, 0) {
		return "only after it is resumed"
	}
	return time.UnixMilli(int64(ms)).UTC().Format("2006-01-02 15:04:05Z")
}

// formatDuration formats milliseconds, rounded to seconds.
func formatDuration(ms float64) string {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second).String()
}
