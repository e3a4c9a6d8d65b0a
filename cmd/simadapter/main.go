// Command simadapter hosts routers on the simulator's wire: one routing.Engine for each instance, nothing shared.
package main

import (
	"fmt"
	"io"
	"os"

	"spantack/internal/simwire"
	"spantack/routing"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. A reply is written whole or not at all.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	routers := map[string]*routing.Engine{}
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
func handleBatch(buf []byte, routers map[string]*routing.Engine, batch *simwire.Batch) ([]byte, error) {
	var order []string
	pending := map[string][]routing.Event{}
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
			router, err := routing.NewEngine(*it.Settings, it.Seed)
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
func stepEngine(buf []byte, id string, router *routing.Engine, now int64, events []routing.Event) (out []byte) {
	defer func() {
		if p := recover(); p != nil {
			out = simwire.AppendPanic(buf, id, fmt.Sprint(p))
		}
	}()
	out = buf
	for _, a := range router.Step(now, events) {
		out = simwire.AppendAction(out, id, a)
	}
	return out
}
