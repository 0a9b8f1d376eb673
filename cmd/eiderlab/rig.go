// This file owns the command rig, which plays faults against real daemons. It must never signal a process that it did
// not start.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"github.com/spf13/cobra"

	"eiderhaven/lab/margin"
	"eiderhaven/lab/rig"
	"eiderhaven/lab/scale"
)

// maxPrintedRigViolations is the largest number of violations printed for a run; runs.jsonl holds all of them.
const maxPrintedRigViolations = 10

// errRuleBroken is returned if a run broke a rule.
var errRuleBroken = errors.New("a rule was broken")

func newRig() *cobra.Command {
	var o rig.Options
	var seeds, idleConns int
	var out string
	c := &cobra.Command{
		Use:   "rig PLAN",
		Short: "Play faults and signals against a fleet of real daemons, and judge the six rules",
		Long: `rig starts the plan's senders as processes on loopback addresses, each with a discovery and addresses of its own, before
receivers that break as the lab's do; clients keep their connections until the kill. Signals go to the processes that it
started and to no other. The judge goes by what clients and receivers saw. A run in which something breaks prints its
seed and leaves its records in --out. It ends all it started, also at Ctrl-C, and exits with 1 if a rule was broken.`,
		Example: `  eiderlab rig lab/plans/rig-slow-start.toml
  eiderlab rig lab/plans/rig-soak.toml --seed 100 --seeds 50 --out results/soak`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			p, s, err := rig.Load(args[0])
			if err != nil {
				return err
			}
			if idleConns > 0 {
				p.IdleConns = idleConns
			}
			machine, err := scale.ThisMachine()
			if err != nil {
				return err
			}
			if err := p.CheckResources(s, machine); err != nil {
				return err
			}
			o.RecordsDir = out
			if out == "" {
				o.RecordsDir = filepath.Join("results", "rig")
			}
			var brokenSeeds []uint64
			var margins []float64
			defer func() { fmt.Println(margin.Summarize(margins)) }()
			for range seeds {
				r, err := rig.Run(c.Context(), p, s, o)
				if r != nil {
					margins = append(margins, r.Margins...)
					err = errors.Join(err, recordRun(r, o.RecordsDir))
				}
				if err != nil {
					return err
				}
				if len(r.Violations) > 0 {
					brokenSeeds = append(brokenSeeds, o.Seed)
				}
				o.Seed++
			}
			fmt.Printf("%d of %d seeds broke something: %v\n", len(brokenSeeds), seeds, brokenSeeds)
			if len(brokenSeeds) > 0 {
				return errRuleBroken
			}
			return nil
		},
	}
	c.Flags().StringVar(&o.Program, "program", "bin/eiderhaven", "the daemon")
	c.Flags().StringVar(&out, "out", "", "folder for the records of what broke (default: results/rig)")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "so many seeds, one after another")
	c.Flags().IntVar(&idleConns, "crowd", 0,
		"connections held open to each sender and used for nothing (default: the plan's)")
	return c
}

// recordRun appends the result of a run to runs.jsonl and prints a summary with its first violations.
func recordRun(r *rig.Result, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	f, err := os.OpenFile(filepath.Join(dir, "runs.jsonl"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if _, err := f.Write(append(text, '\n')); err != nil {
		return err
	}
	fmt.Printf("seed %d, %d senders: %d handed in, %d taken, %d outages, %d fallen, %d breaks, signals %v, "+
		"clients late by %.1f ms (p99), receivers by %.1f ms at most\n",
		r.Seed, r.Senders, r.Submitted, r.Accepted, r.Outages, len(r.Overloads), len(r.Violations), r.Signals,
		r.ClientDelayP99Ms, r.ReceiverLagMs)
	fmt.Println(" ", margin.Summarize(slices.Clone(r.Margins)))
	for _, v := range r.Violations[:min(len(r.Violations), maxPrintedRigViolations)] {
		fmt.Printf("  %s rule %s, sender %d, message %s: %s\n",
			v.At.Format("15:04:05.000"), v.Rule, v.Sender, v.ID, v.Text)
	}
	return nil
}
