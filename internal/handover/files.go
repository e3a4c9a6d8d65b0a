package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// maxFileBytes is the maximum size of a file that readFile accepts. The files that this program writes must not be
// larger; writeFile does not check the size.
const maxFileBytes = 256 << 10

// writeFile writes v as JSON and replaces the file atomically, so that no reader sees part of it.
func (d *StateDir) writeFile(name string, v any) error {
	f, err := d.writeTemp(name, v)
	if err != nil {
		return err
	}
	if err := errors.Join(d.publish(f, name), f.Close()); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// writeTemp writes v as JSON to a temporary file, which publish renames. The caller owns the file.
func (d *StateDir) writeTemp(name string, v any) (*os.File, error) {
	text, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	f, err := os.CreateTemp(d.dir, name+"-*")
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if _, err = f.Write(text); err != nil {
		return nil, fmt.Errorf("%s: %w", name, errors.Join(err, f.Close(), os.Remove(f.Name())))
	}
	return f, nil
}

// publish renames a temporary file to name, or removes it if that fails.
func (d *StateDir) publish(f *os.File, name string) error {
	err := os.Rename(f.Name(), filepath.Join(d.dir, name))
	if err != nil {
		err = errors.Join(err, os.Remove(f.Name()))
	}
	return err
}

// readFile reads JSON from a file of at most maxFileBytes.
func (d *StateDir) readFile(name string, into any) error {
	path := filepath.Join(d.dir, name)
	info, err := os.Stat(path)
	if err != nil {
		return err
	}
	if info.Size() > maxFileBytes {
		return fmt.Errorf("%s: file too large: %d bytes, at most %d allowed", name, info.Size(), maxFileBytes)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(text, into); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
