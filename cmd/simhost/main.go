// Command simhost connects the decision module (package rules) to a simulator: it reads batches of events from
// standard input and writes the module's actions to standard output. Each simulated sender has a rules.Sender of its
// own. simhost must never make a delivery decision, nor pass anything from one sender to another.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"eiderhaven/internal/simwire"
	"eiderhaven/rules"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers each batch with a reply until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec, enc := simwire.NewDecoder(in), simwire.NewEncoder(out)
	senders := map[int]*rules.Sender{}
	for {
		batch, err := dec.ReadBatch()
		if errors.Is(err, io.EOF) {
			if len(dec.UnknownFields) > 0 { // the simulator reads standard output only
				fmt.Fprintln(os.Stderr, "simhost: fields skipped, by verb:", dec.UnknownFields)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := handleBatch(batch, senders, enc); err != nil {
			return err
		}
		if err := enc.EndReply(); err != nil {
			return err
		}
	}
}

// handleBatch runs one step of each instance that the batch has items for, in the order of their first items. If an
// instance is killed within the batch, its earlier events are dropped. If it starts again, its new sender gets the
// events that follow.
func handleBatch(batch *simwire.Batch, senders map[int]*rules.Sender, enc *simwire.Encoder) error {
	var instances []int // in the order of their first items
	events := map[int][]rules.Event{}
	for _, item := range batch.Items {
		if _, seen := events[item.Instance]; !seen {
			events[item.Instance] = []rules.Event{}
			instances = append(instances, item.Instance)
		}
		switch {
		case item.Start != nil:
			senders[item.Instance] = rules.New(*item.Start)
			events[item.Instance] = []rules.Event{}
		case senders[item.Instance] == nil:
			msg := fmt.Sprintf("event for instance %d, which is not running", item.Instance)
			return &simwire.Error{Line: item.Line, Msg: msg}
		case item.Killed:
			delete(senders, item.Instance)
			events[item.Instance] = []rules.Event{}
		case item.Event != nil:
			events[item.Instance] = append(events[item.Instance], item.Event)
		}
	}
	for _, instance := range instances {
		sender := senders[instance]
		if sender == nil {
			continue
		}
		actions, panicText := step(sender, batch, events[instance])
		if panicText != "" {
			if err := enc.ReportCrash(instance, panicText); err != nil {
				return err
			}
			continue
		}
		if err := enc.WriteActions(instance, actions); err != nil {
			return err
		}
	}
	return nil
}

// step runs one step of a sender. If the sender panics, step returns the panic's text instead of actions.
func step(s *rules.Sender, b *simwire.Batch, events []rules.Event) (actions []rules.Action, panicText string) {
	defer func() {
		if p := recover(); p != nil {
			actions, panicText = nil, fmt.Sprint(p)
		}
	}()
	return s.Step(b.Now, events), ""
}
