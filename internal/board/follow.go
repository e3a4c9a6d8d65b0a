package board

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"net"

	"github.com/rs/zerolog"

	"spantack/internal/clock"
	"spantack/internal/router"
)

const (
	silence   = 3000 // ms without a frame after which the connection is given up: one comes each second
	dialLimit = 2000
	waitFirst = 100 // ms before the first new try, doubled for each further one
	waitMost  = 1000
)

// Follower keeps a connection to the board and applies its events in order.
type Follower struct {
	Addr  string
	Names Names
	Last  uint64 // number of the last event applied
	Apply func(router.Notice)
	Log   zerolog.Logger
}

// Run follows the board until ctx ends. A lost connection is opened anew from the last event applied.
func (f *Follower) Run(ctx context.Context) error {
	wait := float64(waitFirst)
	for ctx.Err() == nil {
		before := f.Last
		heard, err := f.follow(ctx)
		if ctx.Err() != nil {
			break
		}
		if heard {
			wait = waitFirst
		}
		f.Log.Warn().Err(err).Uint64("last", f.Last).Uint64("applied", f.Last-before).Msg("board connection lost")
		rest, cancel := context.WithTimeout(ctx, clock.Duration(wait))
		<-rest.Done()
		cancel()
		wait = min(2*wait, waitMost)
	}
	return nil
}

// follow uses one connection; heard tells whether a frame came.
func (f *Follower) follow(ctx context.Context) (heard bool, err error) {
	dialer := net.Dialer{Timeout: clock.Duration(dialLimit)}
	nc, err := dialer.DialContext(ctx, "tcp", f.Addr)
	if err != nil {
		return false, fmt.Errorf("dial: %w", err)
	}
	defer nc.Close()
	defer context.AfterFunc(ctx, func() { nc.Close() })()
	nc.SetDeadline(clock.Deadline(silence))
	if _, err := nc.Write(binary.BigEndian.AppendUint64(nil, f.Last)); err != nil {
		return false, fmt.Errorf("write: %w", err)
	}
	in := bufio.NewReader(nc)
	for {
		nc.SetReadDeadline(clock.Deadline(silence))
		frame, err := readFrame(in, f.Names)
		if err != nil {
			return heard, fmt.Errorf("read: %w", err)
		}
		if !heard {
			f.Log.Info().Uint64("last", f.Last).Msg("following the board")
		}
		heard = true
		if frame.kind == kindNothing || frame.number <= f.Last { // guards against an event told twice
			continue
		}
		f.Apply(frame.notice)
		f.Last = frame.number
	}
}
