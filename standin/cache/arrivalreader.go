package cache

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"
	"unsafe"
)

// controlBufferSize is room for the control message with a time of arrival, and then some.
const controlBufferSize = 128

// arrivalReader reads a connection and notes when the kernel received the bytes, so that a busy machine, on which this
// process reads late, makes no request look late. A read that spans several segments counts with the last. One
// goroutine reads; hasUnread may be called from others.
type arrivalReader struct {
	rawConn       syscall.RawConn
	readGate      *gate
	done          <-chan struct{} // ends a wait at the gate
	lastArrival   time.Time       // of the bytes of the last read
	controlBuffer [controlBufferSize]byte
}

// newArrivalReader asks the kernel for the times of arrival.
func newArrivalReader(conn *net.TCPConn, readGate *gate, done <-chan struct{}) (*arrivalReader, error) {
	rawConn, err := conn.SyscallConn()
	if err != nil {
		return nil, err
	}
	err = setSocketOptions(rawConn, socketOption{syscall.SOL_SOCKET, syscall.SO_TIMESTAMPNS, 1})
	return &arrivalReader{rawConn: rawConn, readGate: readGate, done: done}, err
}

// Read implements io.Reader. It first waits at the gate.
func (r *arrivalReader) Read(b []byte) (n int, err error) {
	r.readGate.wait(r.done)
	var controlSize int
	var receiveError error
	err = r.rawConn.Read(func(fd uintptr) bool {
		n, controlSize, _, _, receiveError = syscall.Recvmsg(int(fd), b, r.controlBuffer[:], 0)
		return receiveError != syscall.EAGAIN && receiveError != syscall.EINTR
	})
	switch {
	case err != nil:
		return 0, err
	case receiveError != nil:
		return 0, receiveError
	case n == 0:
		return 0, io.EOF
	}
	r.lastArrival = kernelArrivalTime(r.controlBuffer[:controlSize])
	return n, nil
}

// timespecSize is the size in bytes of the kernel's time: two native 64-bit words, seconds and nanoseconds.
const timespecSize = 16

// kernelArrivalTime finds the kernel's time in control messages. Where there is none it returns the time of the call.
func kernelArrivalTime(control []byte) time.Time {
	messages, err := syscall.ParseSocketControlMessage(control)
	if err != nil {
		return time.Now()
	}
	for _, message := range messages {
		if message.Header.Type == syscall.SCM_TIMESTAMPNS && len(message.Data) >= timespecSize {
			seconds := binary.NativeEndian.Uint64(message.Data)
			nanoseconds := binary.NativeEndian.Uint64(message.Data[timespecSize/2:])
			return time.Unix(int64(seconds), int64(nanoseconds))
		}
	}
	return time.Now()
}

// hasUnread returns whether bytes wait in the kernel that were not read yet.
func (r *arrivalReader) hasUnread() bool {
	var size int32
	err := r.rawConn.Control(func(fd uintptr) {
		syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&size)))
	})
	return err == nil && size > 0
}
