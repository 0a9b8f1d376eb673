// Command simhost hosts the decision module on the simulator's wire: one Sender an instance, nothing shared.
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

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec, enc := simwire.NewDecoder(in), simwire.NewEncoder(out)
	senders := map[int]*rules.Sender{}
	for {
		batch, err := dec.ReadBatch()
		if errors.Is(err, io.EOF) {
			if len(dec.UnknownFields) > 0 { // standard error is the adapter's own
				fmt.Fprintln(os.Stderr, "simhost: fields skipped, by verb:", dec.UnknownFields)
			}
			return nil
		}
		if err != nil {
			return err
		}
		if err := answer(batch, senders, enc); err != nil {
			return err
		}
		if err := enc.EndReply(); err != nil {
			return err
		}
	}
}

// answer steps each instance that the batch has events for, in the order in which they first appear.
// A kill within the batch ends what came before it; the events after a new start go to the new sender.
func answer(batch *simwire.Batch, senders map[int]*rules.Sender, enc *simwire.Encoder) error {
	var order []int
	events := map[int][]rules.Event{}
	for _, it := range batch.Items {
		if _, seen := events[it.Instance]; !seen {
			events[it.Instance] = []rules.Event{}
			order = append(order, it.Instance)
		}
		switch {
		case it.Start != nil:
			senders[it.Instance] = rules.New(*it.Start)
			events[it.Instance] = []rules.Event{}
		case senders[it.Instance] == nil:
			return &simwire.Error{Line: it.Line, Msg: fmt.Sprintf("event for instance %d, which is not running", it.Instance)}
		case it.Killed:
			delete(senders, it.Instance)
			events[it.Instance] = []rules.Event{}
		case it.Event != nil:
			events[it.Instance] = append(events[it.Instance], it.Event)
		}
	}
	for _, inst := range order {
		sender := senders[inst]
		if sender == nil {
			continue
		}
		actions, fault := step(sender, batch, events[inst])
		if fault != "" {
			if err := enc.ReportCrash(inst, fault); err != nil {
				return err
			}
			continue
		}
		if err := enc.WriteActions(inst, actions); err != nil {
			return err
		}
	}
	return nil
}

// step runs one decision; a panic in it comes back as text.
func step(s *rules.Sender, b *simwire.Batch, events []rules.Event) (actions []rules.Action, fault string) {
	defer func() {
		if p := recover(); p != nil {
			actions, fault = nil, fmt.Sprint(p)
		}
	}()
	return s.Step(b.Now, events), ""
}
