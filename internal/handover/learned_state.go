package handover

import (
	"context"
	"errors"
	"io/fs"
	"time"

	"spantack/internal/clock"
	"spantack/routing"
)

// saveInterval is the time between writes of the learned state while this process serves, in milliseconds.
const saveInterval = 500

// SaveLearnedState writes the learned state every saveInterval until ctx ends, for the process that replaces this one.
// It writes nothing once this process is replaced, since an older state would overwrite a newer one. Errors are logged.
func (d *StateDir) SaveLearnedState(ctx context.Context, learned func() routing.LearnedState) error {
	if d == nil {
		return nil
	}
	ticker := time.NewTicker(clock.Duration(saveInterval))
	defer ticker.Stop()
	for {
		if !d.IsReplaced() {
			if err := d.writeFile(learnedStateFile, learned()); err != nil {
				d.log.Warn().Err(err).Msg("can't save the learned state")
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// LoadLearnedState reads the learned state that the previous process saved; found is false if there is none.
func (d *StateDir) LoadLearnedState() (state routing.LearnedState, found bool, err error) {
	if d == nil {
		return state, false, nil
	}
	err = d.readFile(learnedStateFile, &state)
	if errors.Is(err, fs.ErrNotExist) {
		return state, false, nil
	}
	return state, err == nil, err
}
