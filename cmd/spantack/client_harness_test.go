package main

import (
	"bytes"
	"fmt"
	"io"
	"net"

	"spantack/internal/testwait"
)

// fixstr is the first byte of a MessagePack fixstr, a string of under 32 bytes; the string's length is added to it.
const fixstr = 0xa0

// connect opens a client connection, as soon as the router accepts one.
func (p *routerProcess) connect() *net.TCPConn {
	p.t.Helper()
	var client *net.TCPConn
	testwait.Until(p.t, "the router to accept a connection", func() bool {
		nc, err := net.DialTimeout("tcp", p.listen, testwait.Limit)
		if err != nil {
			return false
		}
		testwait.BoundConn(p.t, nc)
		client = nc.(*net.TCPConn)
		return true
	})
	return client
}

// connectReady opens a client connection on which the router has reported that it is ready. It tries again if the
// router closes the connection because the test sent its first message too late.
func (p *routerProcess) connectReady() *net.TCPConn {
	p.t.Helper()
	var client *net.TCPConn
	testwait.Until(p.t, "the router to report that it is ready", func() bool {
		client = p.connect()
		return askHealth(client) == nil
	})
	return client
}

// askHealth makes a health call and returns an error unless the router is ready.
func askHealth(nc net.Conn) error {
	io.WriteString(nc, "\x94\x00\x01\xa6health\x91\x80")
	got := make([]byte, 7)
	if _, err := io.ReadFull(nc, got); err != nil {
		return err
	}
	if string(got) != "\x94\x01\x01\xc0\x92\xc3\x80" {
		return fmt.Errorf("health: %q", got)
	}
	return nil
}

// ask sends a request of class page with a timeout of 2 s.
func ask(nc net.Conn, message int, ref string) { askWithTimeout(nc, message, ref, "2000") }

// askWithTimeout sends a request of class page with a timeout, in milliseconds.
func askWithTimeout(nc net.Conn, message int, ref, timeout string) {
	fmt.Fprintf(nc, "\x94\x00%c\xa4page\x92\x83\xa3ref\xb0%s\xa5allow%s%s\xa6lookup\xb0000000000000007f\xc4\x00",
		message, ref, []byte{fixstr + byte(len(timeout))}, timeout)
}

// askKeyed sends a request of class report with an idempotency key.
func askKeyed(nc net.Conn, message int, ref string) {
	fmt.Fprintf(nc, "\x94\x00%c\xa6report\x92\x84\xa3ref\xb0%s\xa5allow\xa42000"+
		"\xa6lookup\xb0000000000000007f\xa6replay\xa4k001\xc4\x00", message, ref)
}

// checkEachAnswered returns an error unless each message from 2 to last has exactly one response.
func checkEachAnswered(answers []byte, last int) error {
	for message := 2; message <= last; message++ {
		if times := bytes.Count(answers, []byte{0x94, 1, byte(message)}); times != 1 {
			return fmt.Errorf("%d responses to message %d in %q, want one", times, message, answers)
		}
	}
	return nil
}
