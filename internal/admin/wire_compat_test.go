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

// date is the one line of an answer that differs from call to call.
var date = regexp.MustCompile(`(?m)^Date: .*\r\n`)

// logged has the lines of a log.
type logged chan string

func (l logged) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}

// The calls of staff, their answers and what is logged of them: testdata/wire_compat.txt has for each call a line
// "> call", the answer without its date, and "log: " with a line of the log. Programs of staff read
// these, so no line is ever changed to suit this program.
func TestWireCompat(t *testing.T) {
	text, err := os.ReadFile("testdata/wire_compat.txt")
	if err != nil {
		t.Fatal(err)
	}
	_, state, sample := serve(t)
	log := make(logged, 4)
	s := &Server{IsReady: sample.IsReady, Metrics: sample.Metrics, Exclude: sample.Exclude, Include: sample.Include,
		Drain: sample.Drain, Rejoin: sample.Rejoin, Log: zerolog.New(log)}
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
		request, starting := strings.CutSuffix(request, " #starting")
		state.isReady.Store(!starting)
		nc := testwait.Dial(t, l.Addr().String())
		io.WriteString(nc, request+" HTTP/1.1\r\nHost: r\r\nContent-Length: 0\r\n\r\n")
		answer, err := io.ReadAll(nc)
		nc.Close()
		if err != nil {
			t.Fatal(err)
		}
		got.WriteString(strings.ReplaceAll(date.ReplaceAllString(string(answer), ""), "\r\n", "\n"))
		for len(log) > 0 { // it is written before the answer
			got.WriteString("log: " + <-log)
		}
	}
	stop()
	if err := testwait.Receive(t, ended, "the end of Serve"); err != nil {
		t.Error(err)
	}
	if got.String() != string(text) {
		t.Errorf("got\n%s\nwant\n%s", got.String(), text)
	}
}
