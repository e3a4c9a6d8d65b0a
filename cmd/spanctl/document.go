package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"

	"spantack/core/cells"
	"spantack/core/migration"
	"spantack/internal/clock"
	"spantack/internal/features"
)

// The commands on moves work on two files: the features file, which they read, and beside it moves.json, which they write and which the features
// file imports as its section moves. A document is checked whole before anything is written, and written whole or not at all.

// migrationFile is the name of the file that the commands write.
const migrationFile = "moves.json"

// documentFlags is what all commands on moves share.
type documentFlags struct {
	File   string  `name:"file" arg:"" help:"The features file; its sections moves and stage are import 'moves.json' and import 'stage.json'."`
	DryRun bool    `name:"dry-run" help:"Says what would change and writes nothing."`
	Now    float64 `name:"now" help:"The time to reckon from, Unix milliseconds; the clock's if left out." hidden:""`
}

func (c *documentFlags) now() float64 {
	if c.Now > 0 {
		return c.Now
	}
	return (&clock.Clock{}).Now()
}

// loadMigration is the present document, empty if there is none.
func (c *documentFlags) loadMigration() (*features.File, *migration.Document, error) {
	f, err := features.Load(c.File)
	if err != nil {
		return nil, nil, err
	}
	if f.CellSpec() == nil {
		return nil, nil, fmt.Errorf("%s: cells are off", c.File)
	}
	doc := &migration.Document{}
	if f.ActiveMigration() != nil {
		*doc = *f.ActiveMigration()
		doc.Migrations = slices.Clone(doc.Migrations)
	}
	return f, doc, nil
}

// saveMigration checks a changed document against the one in force and writes it.
func (c *documentFlags) saveMigration(out io.Writer, f *features.File, doc *migration.Document) error {
	doc.Version++
	if doc.Migrations == nil {
		doc.Migrations = []migration.Migration{} // a list in the file, also an empty one
	}
	next := *f
	next.Migration = features.Migration{Enabled: true, Document: *doc}
	if err := next.CheckReplaces(c.now(), f); err != nil {
		return err
	}
	a, err := cells.Compile(f.CellSpec())
	if err != nil {
		return err
	}
	if err := a.CheckMigrations(doc); err != nil {
		return err
	}
	if c.DryRun {
		fmt.Fprintf(out, "dry run: version %d not written\n", doc.Version)
		return nil
	}
	return c.writeSection(out, migrationFile, "moves", doc.Version, next.Migration, func(f *features.File) bool {
		return f.ActiveMigration() != nil && f.ActiveMigration().Version == doc.Version
	})
}

// writeSection replaces the file that holds a section of the features file, and puts the old one back if the features file does not take its
// section from there.
func (c *documentFlags) writeSection(out io.Writer, name, section string, version int64, doc any, taken func(*features.File) bool) error {
	text, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	path := filepath.Join(filepath.Dir(c.File), name)
	before, readErr := os.ReadFile(path)
	if err := writeFileAtomically(path, append(text, '\n')); err != nil {
		return err
	}
	if after, err := features.Load(c.File); err != nil || !taken(after) {
		if readErr == nil { // what was there before comes back
			err = errors.Join(err, writeFileAtomically(path, before))
		} else {
			err = errors.Join(err, os.Remove(path))
		}
		return errors.Join(fmt.Errorf("%s does not take its section %s from %s: it must be import '%s'", c.File, section, path, name), err)
	}
	fmt.Fprintf(out, "%s: version %d written; send SIGHUP to the routers\n", path, version)
	return nil
}

// writeFileAtomically writes a file whole or not at all.
func writeFileAtomically(path string, text []byte) error {
	t, err := os.CreateTemp(filepath.Dir(path), filepath.Base(path)+".*")
	if err != nil {
		return err
	}
	_, err = t.Write(text)
	err = errors.Join(err, t.Sync(), t.Close())
	if err == nil {
		err = os.Rename(t.Name(), path)
	}
	if err != nil {
		err = errors.Join(err, os.Remove(t.Name()))
	}
	return err
}
