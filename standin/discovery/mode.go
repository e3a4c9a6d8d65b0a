package discovery

import (
	"fmt"
	"net"
	"time"
)

// Mode is how a Service treats those who connect.
type Mode int

// The modes.
const (
	Serving Mode = iota // as the protocol describes it
	Slow                // accepts, and sends the first frame late
	Mute                // accepts, and sends nothing
	Down                // connections are refused
)

// String names the mode.
func (m Mode) String() string { return [...]string{"serving", "slow", "mute", "down"}[m] }

// SlowFirstFrameDelay is how late the first frame of a connection is while a service is slow. The next comes when one
// would have come anyway.
const SlowFirstFrameDelay = 1500 * time.Millisecond

// SetMode changes how the service treats connections. Mute applies to open ones too, Slow to new ones alone; Down
// closes all. It fails if the service can't listen again, and then stays down.
func (s *Service) SetMode(mode Mode) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode == Down && mode != Down {
		listener, err := net.Listen("tcp", s.addr)
		if err != nil {
			return fmt.Errorf("mode %v: %w", mode, err)
		}
		s.listener = listener
		s.goroutines.Go(func() { s.accept(listener) })
	}
	if s.mode != Down && mode == Down {
		s.listener.Close()
		for conn := range s.conns {
			conn.Close()
		}
	}
	s.mode = mode
	return nil
}

// delayFirstFrame waits until a connection that was made in the current mode gets its first frame. It returns false if
// the service ends meanwhile.
func (s *Service) delayFirstFrame() bool {
	if s.currentMode() != Slow {
		return true
	}
	timer := time.NewTimer(SlowFirstFrameDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.done:
		return false
	}
}

func (s *Service) currentMode() Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode
}
