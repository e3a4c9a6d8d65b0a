package discovery

import (
	"fmt"
	"net"
	"time"
)

// Mode is how a Service treats connections.
type Mode int

// Modes, with what the service does.
const (
	Serving Mode = iota // follows the protocol
	Slow                // accepts connections, but delays the first frame
	Mute                // accepts connections, but sends nothing
	Down                // refuses connections
)

// String returns the mode's name.
func (m Mode) String() string { return [...]string{"serving", "slow", "mute", "down"}[m] }

// SlowFirstFrameDelay is the delay of the first frame of a connection in mode Slow. Later frames are not delayed.
const SlowFirstFrameDelay = 1500 * time.Millisecond

// SetMode changes how the service treats connections. Mute applies to new and open connections. Slow applies only to
// new ones. Down closes all connections. SetMode returns an error if the service cannot listen again after Down; the
// service then stays down.
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

// delayFirstFrame waits for SlowFirstFrameDelay if the service is in mode Slow. It returns false if the service is
// closed meanwhile.
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
