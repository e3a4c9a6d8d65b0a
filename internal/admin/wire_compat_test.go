package admin

import (
	"context"
	"io"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"spantack/internal/testwait"
)

// date matches the only header line of a response that differs between calls.
var date = regexp.MustCompile(`(?m)^Date: .*\r\n`)

// logLines is a log that sends each line to a channel.
type logLines chan string

func (l logLines) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// The management calls, their responses and log lines must not change. For each call, testdata/wire_compat.txt has a
// line "> call", the response without its date, and a log line after "log: ". The suffix "#starting" of a call makes
// the router not ready during that call. Operators' programs read these, so lines must never be changed to make a test
// pass.
func TestWireCompat(t *testing.T) {
	text, err := os.ReadFile("testdata/wire_compat.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, router, template := serve(t)
	log := make(logLines, 4)
	s := &Server{IsReady: template.IsReady, Metrics: template.Metrics, Exclude: template.Exclude,
		Include: template.Include, Drain: template.Drain, Rejoin: template.Rejoin, Log: zerolog.New(log)}
	l := testwait.Listen(t)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(ctx, l) }()
	var got strings.Builder
	for line := range strings.Lines(string(text)) {
		request, found := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "> ")
		if !found {
			continue
		}
		got.WriteString(line)
		request, isStarting := strings.CutSuffix(request, " #starting")
		router.isReady.Store(!isStarting)
		conn := testwait.Dial(t, l.Addr().String())
		io.WriteString(conn, request+" HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
		response, err := io.ReadAll(conn)
		conn.Close()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(strings.ReplaceAll(date.ReplaceAllString(string(response), ""), "\r\n", "\n"))
		for len(log) > 0 { // written before the response
			got.WriteString("log: " + <-log)
		}
	}
	stop()
	if err := testwait.Receive(t, ended, "Serve to end"); err != nil {
		t.Error(err)
	}
	if got.String() != string(text) {
		t.Errorf("got\n%s\nwant\n%s", got.String(), text)
	}
}
