// Package reviewtwo plays the cases of the second review: review2 CASE FOLDER. It exits with 1 if the rule was broken, 0
// if it held, and 2 if the case couldn't run. With TROUBLE=0 the disruption is left out. The program is built from test
// files, since the project's test of imports takes any other file for a part of the router.
package reviewtwo

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// site is one deployment of a case: one router and its stand-ins.
type site struct {
	rec     *record
	world   *world
	board   *board
	root    string
	dir     string // temporary
	config  config
	path    string // of the configuration
	listen  string
	router  *process
	ended   []*process
	caches  []*server
	parents []*server
	origin  *server
	trouble bool
}

// verdict ends a case: broken is empty if the rule held.
type verdict struct{ broken []string }

func (v *verdict) breaks(format string, args ...any) {
	v.broken = append(v.broken, fmt.Sprintf(format, args...))
}

var cases = map[string]func(*site, *verdict) error{}

// TestMain is the program.
func TestMain(*testing.M) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	rec, err := openRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	root, err := filepath.Abs(filepath.Join(folder, "../.."))
	if err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Println("can't run:", err)
		return 2
	}
	defer os.RemoveAll(dir)
	s := &site{rec: rec, root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0"}
	defer s.stop()
	time.AfterFunc(110*time.Second, func() {
		rec.log("out of time")
		fmt.Println("can't run: out of time")
		s.stop()
		os.RemoveAll(dir)
		os.Exit(2)
	})
	v := &verdict{}
	err = cases[name](s, v)
	rec.log("disruption: %v", s.trouble)
	if err != nil {
		rec.log("can't run: %v", err)
		fmt.Println("can't run:", err)
		return 2
	}
	for _, b := range v.broken {
		rec.log("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(v.broken) > 0 {
		return 1
	}
	rec.log("the rule held")
	fmt.Println("the rule held")
	return 0
}

// open makes the stand-ins: depot caches, parents and the origin.
func (s *site) open(caches, parents int, delay time.Duration) error {
	s.world = newWorld(s.rec)
	var err error
	if s.board, err = newBoard(s.rec); err != nil {
		return err
	}
	num := uint32(0x00c41f00)
	next := func(kind byte) (*server, error) {
		num++
		return s.world.add(num, kind, delay)
	}
	for range caches {
		c, err := next(0)
		if err != nil {
			return err
		}
		s.caches = append(s.caches, c)
	}
	for range parents {
		c, err := next(1)
		if err != nil {
			return err
		}
		s.parents = append(s.parents, c)
	}
	if s.origin, err = next(2); err != nil {
		return err
	}
	s.config = config{board: s.board.addr(), memory: 192, sockets: 1024, settings: settings()}
	for _, c := range append(append([]*server{s.origin}, s.parents...), s.caches...) {
		s.config.known = append(s.config.known, c.entry(0))
	}
	s.board.list(s.config.known...)
	s.listen = freeAddr()
	s.path = filepath.Join(s.dir, "config.json")
	return nil
}

// start starts the router and waits until it is ready.
func (s *site) start(env ...string) error {
	if err := s.config.write(s.path); err != nil {
		return err
	}
	tmp := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return err
	}
	env = append([]string{"RELAY_NAME=n0", "RELAY_LISTEN=" + s.listen, "RELAY_CONFIG=" + s.path, "TMPDIR=" + tmp}, env...)
	var err error
	if s.router, err = startRouter(s.root, filepath.Join(s.dir, "router.log"), nil, env...); err != nil {
		return err
	}
	s.ended = append(s.ended, s.router)
	return awaitReady(s.rec, s.listen, s.router)
}

func (s *site) stop() {
	for _, p := range s.ended {
		p.end()
	}
	s.ended = nil
	if os.Getenv("KEEPLOG") != "" {
		text, _ := os.ReadFile(filepath.Join(s.dir, "router.log"))
		fmt.Println(string(text))
	}
}

// sleepUntil sleeps until a time of the case, in ms.
func sleepUntil(at float64) { time.Sleep(time.Duration((at - ms()) * float64(time.Millisecond))) }
