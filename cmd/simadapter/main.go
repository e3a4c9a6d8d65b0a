// Command simadapter runs router instances for the simulator. Each instance has its own routing.Engine, and instances
// share no state. The command reads batches of the simulator's protocol from standard input and writes replies to
// standard output. It exits with status 1 if the input is invalid.
package main

import (
	"fmt"
	"io"
	"os"

	"spantack/internal/simwire"
	"spantack/routing"
)

// replyEnd is the last line of the reply to a batch.
const replyEnd = "READY\n"

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. A reply is written only after the whole batch was processed.
func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	instances := instanceMap{}
	var reply []byte
	for {
		batch, err := reader.Read()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		reply, err = instances.appendReply(reply[:0], batch)
		if err != nil {
			return err
		}
		reply = append(reply, replyEnd...)
		if _, err := out.Write(reply); err != nil {
			return err
		}
	}
}

// instanceMap holds the running instances by name.
type instanceMap map[string]*routing.Engine

// appendReply passes the events of a batch to their instances and appends the resulting actions to buf. Each instance
// processes all its events in one step. The steps are in the order of the instances' first messages. A start or stop of
// an instance discards its earlier events.
func (m instanceMap) appendReply(buf []byte, batch *simwire.Batch) ([]byte, error) {
	var order []string
	pending := map[string][]routing.Event{}
	for _, message := range batch.Messages {
		name := message.Instance
		events, isListed := pending[name]
		if !isListed {
			order = append(order, name)
			pending[name] = nil
		}
		switch {
		case message.IsStop:
			delete(m, name)
			pending[name] = nil
		case message.IsStart:
			engine, err := routing.NewEngine(*message.Settings, message.Seed)
			if err != nil {
				return buf, fmt.Errorf("settings of %s: %w", name, err)
			}
			m[name] = engine
			pending[name] = nil
		case m[name] != nil:
			pending[name] = append(events, message.Event)
		}
	}
	for _, name := range order {
		if events := pending[name]; len(events) > 0 {
			buf = appendStep(buf, name, m[name], batch.Time, events)
		}
	}
	return buf, nil
}

// appendStep runs one step of an instance and appends its actions to buf. If the step panics, it appends a panic line
// instead of the actions.
func appendStep(buf []byte, name string, engine *routing.Engine, now int64, events []routing.Event) (out []byte) {
	defer func() {
		if reason := recover(); reason != nil {
			out = simwire.AppendPanic(buf, name, fmt.Sprint(reason))
		}
	}()
	out = buf
	for _, action := range engine.Step(now, events) {
		out = simwire.AppendAction(out, name, action)
	}
	return out
}
