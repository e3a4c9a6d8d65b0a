package migration

import (
	"errors"
	"math"
	"strings"
	"testing"
)

func TestValidateNamesFieldAndCause(t *testing.T) {
	current := &Document{Version: 3, Migrations: []Migration{sampleMigration()}}
	for _, test := range []struct {
		name   string
		change func(*Document)
		now    float64 // ms after start; 0 means 1000
		want   string  // prefix of the error text
		cause  error
	}{
		{
			name:   "version equal to the current version",
			change: func(d *Document) { d.Version = 3 },
			want:   "version: ", cause: ErrStaleVersion,
		}, {
			name:   "no site",
			change: func(d *Document) { d.Migrations[0].Site = "" },
			want:   "moves[0].tenant: ", cause: ErrInvalid,
		}, {
			name:   "source and target cell are the same",
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
			name:   "minimum shift too short",
			change: func(d *Document) { d.Migrations[0].MinShift = 9999 },
			want:   "moves[0].shift: ", cause: ErrInvalid,
		}, {
			name:   "maximum shift below the minimum",
			change: func(d *Document) { d.Migrations[0].MaxShift = 100 },
			want:   "moves[0].slow: ", cause: ErrInvalid,
		}, {
			name: "overlapping migrations of a tenant",
			change: func(d *Document) {
				d.Migrations = append(d.Migrations, sampleMigration())
				d.Migrations[1].Site = AllSites
			},
			want: "moves[1].tenant: invalid migration: t moves twice", cause: ErrInvalid,
		}, {
			name:   "migration in progress left out",
			change: func(d *Document) { d.Migrations = nil },
			want:   "moves: invalid migration: lacks or changes a migration in progress: tenant t at site d is warming",
			cause:  ErrInProgress,
		}, {
			name:   "hot objects without a warm-up",
			change: func(d *Document) { d.Migrations[0].WarmUp = 0 },
			want:   "moves[0].hot: ", cause: ErrInvalid,
		}, {
			name:   "rolled back before its start",
			change: func(d *Document) { d.Migrations[0].RollbackAt = start - 1 },
			want:   "moves[0].backAt: ", cause: ErrInvalid,
		}, {
			name:   "new migration that would be done",
			change: func(d *Document) { d.Migrations[0].Tenant = "late" },
			now:    1e6,
			want:   "moves[0].start: invalid migration: warm-up ends in the past: phase would already be done",
			cause:  ErrWarmUpEnded,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := &Document{Version: 4, Migrations: []Migration{sampleMigration()}}
			test.change(d)
			now := start + 1000
			if test.now != 0 {
				now = start + test.now
			}
			err := d.Validate(now, current)
			if err == nil || !strings.HasPrefix(err.Error(), test.want) {
				t.Errorf("got %v, want %s", err, test.want)
			}
			if !errors.Is(err, test.cause) || !errors.Is(err, ErrInvalid) {
				t.Errorf("%v does not wrap %v", err, test.cause)
			}
		})
	}
	started := &Document{Version: 4, Migrations: []Migration{sampleMigration()}}
	if err := started.Validate(start+1e6, current); err != nil {
		t.Errorf("migration that the current document already has was rejected: %v", err)
	}
}
