package discovery

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/rs/zerolog"

	"spantack/core/coldstart"
	"spantack/internal/clock"
	"spantack/internal/router"
)

// A purge or drain binds 2 s after a break and 4 s after the board fell silent, whether it was heard or not: the new
// connection must be up before that.
const (
	silence   = 2500 // ms without a frame after which the connection is given up: one comes each second
	dialLimit = 500
	held      = 1000 // ms: a connection that broke sooner is a try that failed; one that holds so long is a new start
	logEvery  = 1000
)

var errMoved = errors.New("the board has moved")

// Follower keeps a connection to the board and applies its events in order.
type Follower struct {
	Names Names
	Last  uint64 // number of the last event applied
	Apply func(router.Notice)
	Tries coldstart.Tries // when a connection is tried anew, so that hundreds of routers do not come at once
	Clock *clock.Clock
	Log   zerolog.Logger

	mu     sync.Mutex
	addr   string
	cancel context.CancelCauseFunc // ends the connection to addr; nil: there is none

	lost   int // connections lost and tries that failed
	logged float64
}

// Move sends the follower to the board's address. What the old connection had not told whole is asked anew there.
func (f *Follower) Move(addr string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.addr = addr; f.cancel != nil {
		f.cancel(errMoved)
	}
}

// Run follows the board until ctx ends. A lost connection is opened anew from the last event applied.
func (f *Follower) Run(ctx context.Context) error {
	lost, tried := 0.0, false // since when there is no connection, by the steady clock, and whether one was tried since
	for ctx.Err() == nil {
		before := f.Last
		here, cancel := context.WithCancelCause(ctx)
		f.mu.Lock()
		addr := f.addr
		f.cancel = cancel
		f.mu.Unlock()
		begun := f.Clock.Steady()
		heard, err := f.follow(here, addr)
		moved := context.Cause(here) == errMoved
		if !moved && ctx.Err() == nil {
			f.fault(err, addr, f.Last-before)
			now := f.Clock.Steady()
			if lost == 0 || heard && now-begun >= held {
				lost, tried = now, false
			}
			f.rest(here, lost, tried)
			tried = true
		}
		if context.Cause(here) == errMoved { // all are told of that at once
			lost, tried = f.Clock.Steady(), false
			f.rest(ctx, lost, tried)
			tried = true
		}
		cancel(nil)
	}
	return nil
}

// rest waits until this router may try next, or for the end of ctx: a move ends the wait too.
func (f *Follower) rest(ctx context.Context, lost float64, tried bool) {
	now := clock.Micros(f.Clock.Steady())
	next := f.Tries.Next(clock.Micros(lost), now, tried)
	rest, done := context.WithTimeout(ctx, clock.Duration(clock.Millis(next-now)))
	defer done()
	<-rest.Done()
}

// fault logs a lost connection, and further ones at most once a second: a board that is away is tried often.
func (f *Follower) fault(err error, addr string, applied uint64) {
	f.lost++
	if now := f.Clock.Now(); applied > 0 || now-f.logged >= logEvery {
		f.logged = now
		f.Log.Warn().Err(err).Str("board", addr).Uint64("last", f.Last).Uint64("applied", applied).Int("lost", f.lost).
			Msg("board connection lost")
	}
}

// follow uses one connection; heard tells whether a frame came.
func (f *Follower) follow(ctx context.Context, addr string) (heard bool, err error) {
	dialer := net.Dialer{Timeout: clock.Duration(dialLimit)}
	nc, err := dialer.DialContext(ctx, "tcp", addr)
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
		nc.SetReadDeadline(clock.Deadline(silence)) // guards against a board that is open but mute, or stops mid-event
		frame, err := readFrame(in, f.Names)
		if err != nil {
			return heard, fmt.Errorf("read: %w", err)
		}
		if !heard {
			f.Log.Info().Str("board", addr).Uint64("last", f.Last).Msg("following the board")
		}
		heard = true
		if frame.kind == kindNothing || frame.number <= f.Last { // guards against an event told twice
			continue
		}
		f.Apply(frame.notice)
		f.Last = frame.number
	}
}
