// Command wirehost hosts routers on the simulator's wire: one rules.Engine for each instance, nothing shared.
package main

import (
	"fmt"
	"io"
	"os"

	"spantack/internal/wire"
	"spantack/rules"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "wirehost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A reply is written whole or not at all.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	routers := map[string]*rules.Engine{}
	var buf []byte
	for {
		batch, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if buf, err = handleBatch(buf[:0], routers, batch); err != nil {
			return err
		}
		if _, err := out.Write(append(buf, "READY\n"...)); err != nil {
			return err
		}
	}
}

// handleBatch takes the events of a batch to their instances, each instance's in one step, in the order of first events.
func handleBatch(buf []byte, routers map[string]*rules.Engine, batch *wire.Batch) ([]byte, error) {
	var order []string
	pending := map[string][]rules.Event{}
	for _, it := range batch.Messages {
		events, listed := pending[it.Instance]
		if !listed {
			order = append(order, it.Instance)
			pending[it.Instance] = nil
		}
		switch {
		case it.IsStop:
			delete(routers, it.Instance)
			pending[it.Instance] = nil
		case it.IsStart:
			router, err := rules.NewEngine(*it.Settings, it.Seed)
			if err != nil {
				return buf, fmt.Errorf("settings of %s: %w", it.Instance, err)
			}
			routers[it.Instance] = router
			pending[it.Instance] = nil
		case routers[it.Instance] != nil:
			pending[it.Instance] = append(events, it.Event)
		}
	}
	for _, id := range order {
		if events := pending[id]; len(events) > 0 {
			buf = stepEngine(buf, id, routers[id], batch.Time, events)
		}
	}
	return buf, nil
}

// stepEngine runs one router; a panic in it becomes the wire's PANIC.
func stepEngine(buf []byte, id string, router *rules.Engine, now int64, events []rules.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = wire.AppendPanic(buf, id, fmt.Sprint(p))
		}
	}()
	out = buf
	for _, a := range router.Step(now, events) {
		out = wire.AppendAction(out, id, a)
	}
	return out
}
