package migration

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestValidateNamesFieldAndCause(t *testing.T) {
	inForce := &Document{Version: 3, Migrations: []Migration{sampleMigration()}}
	for _, test := range []struct {
		name   string
		change func(*Document)
		now    float64 // after start; 0: 1000
		want   string  // how the error's text begins
		cause  error
	}{
		{
			name:   "version in force already",
			change: func(d *Document) { d.Version = 3 },
			want:   "version: ", cause: ErrStaleVersion,
		}, {
			name:   "no site",
			change: func(d *Document) { d.Migrations[0].Site = "" },
			want:   "moves[0].tenant: ", cause: ErrInvalid,
		}, {
			name:   "to the cell it comes from",
			change: func(d *Document) { d.Migrations[0].To = "a" },
			want:   "moves[0].to: ", cause: ErrInvalid,
		}, {
			name:   "start is NaN",
			change: func(d *Document) { d.Migrations[0].Start = math.NaN() },
			want:   "moves[0].start: invalid migration: NaN", cause: ErrInvalid,
		}, {
			name:   "negative warm-up",
			change: func(d *Document) { d.Migrations[0].WarmUp = -1 },
			want:   "moves[0].warm: ", cause: ErrInvalid,
		}, {
			name:   "shift too short",
			change: func(d *Document) { d.Migrations[0].MinShift = 9999 },
			want:   "moves[0].shift: ", cause: ErrInvalid,
		}, {
			name:   "longest shift under the shortest",
			change: func(d *Document) { d.Migrations[0].MaxShift = 100 },
			want:   "moves[0].slow: ", cause: ErrInvalid,
		}, {
			name: "one tenant twice",
			change: func(d *Document) {
				d.Migrations = append(d.Migrations, sampleMigration())
				d.Migrations[1].Site = AllSites
			},
			want: "moves[1].tenant: invalid migration: t moves twice", cause: ErrInvalid,
		}, {
			name:   "left out under way",
			change: func(d *Document) { d.Migrations = nil },
			want:   "moves: invalid migration: under way: that of t in d is warming", cause: ErrOngoing,
		}, {
			name:   "hot objects without a warm-up",
			change: func(d *Document) { d.Migrations[0].WarmUp = 0 },
			want:   "moves[0].hot: ", cause: ErrInvalid,
		}, {
			name:   "rolled back before its start",
			change: func(d *Document) { d.Migrations[0].RollbackAt = start - 1 },
			want:   "moves[0].backAt: ", cause: ErrInvalid,
		}, {
			name:   "over and never begun",
			change: func(d *Document) { d.Migrations[0].Tenant = "late" },
			now:    1e6,
			want:   "moves[0].start: invalid migration: never begun: would be done already", cause: ErrNeverBegun,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &Document{Version: 4, Migrations: []Migration{sampleMigration()}}
			test.change(d)
			now := start + 1000
			if test.now != 0 {
				now = start + test.now
			}
			err := d.Validate(now, inForce)
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got %v, want %s", err, test.want)
			}
			if !errors.Is(err, test.cause) || !errors.Is(err, ErrInvalid) {
				t.Errorf("%v does not wrap %v", err, test.cause)
			}
		})
	}
	begun := &Document{Version: 4, Migrations: []Migration{sampleMigration()}}
	if err := begun.Validate(start+1e6, inForce); err != nil {
		t.Errorf("a migration begun by the document in force: %v", err)
	}
}
