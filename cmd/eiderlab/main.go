// Command eiderlab plays the decision module against simulated receivers in virtual time, and running daemons against
// stand-ins for discovery, receivers and clients on sockets. It is separate from the daemon so that the daemon links
// none of its libraries.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailed      = 1   // the command failed, or a run broke a rule (for run only with --strict)
	exitUsage       = 2   // the command line is invalid
	exitInterrupted = 130 // interrupted by a signal
)

// gcPercent is the garbage collector's target unless GOGC is set. A run allocates much and retains little; at the
// default of 100 it spends a quarter of its time on collection.
const gcPercent = 400

// usageError is an error in the command line.
type usageError struct{ error }

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newRoot().ExecuteContext(ctx)
	os.Exit(reportError(err))
}

// reportError prints an error, if there is one, and returns the exit code of the process.
func reportError(err error) int {
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, "eiderlab:", err)
	var usage usageError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, context.Canceled):
		return exitInterrupted
	}
	return exitFailed
}

// newRoot returns the command line with all its commands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "eiderlab",
		Short: "Try the sender's decisions on a model of receivers",
		Long: `eiderlab plays days of a scenario file in virtual time: clients, senders that each hold the real
decision module, a network, and receivers with limits, queues and outages. The same scenario and seed
give the same bytes of result. All figures of run, sweep, compare, hunt and replay are simulated.`,
		Example: `  eiderlab run lab/scenarios/mixed.toml --policy rules,oracle --out results/mixed
  eiderlab sweep lab/scenarios/fleet.toml --vary senders.count=1,3,10,30 --seeds 5 --out results/fleet
  eiderlab hunt lab/scenarios/mixed.toml --days 100`,
		SilenceUsage: true, SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(c *cobra.Command, err error) error {
		return usageError{fmt.Errorf("%w; see '%s --help'", err, c.CommandPath())}
	})
	root.AddCommand(
		newRun(),
		newSweep(),
		newCompare(),
		newHunt(),
		newReplay(),
		newPlot(),
		newReceivers(),
		newLoad(),
		newScale(),
		newRig(),
		newScenario(),
		newTroubles(),
		newPolicies(),
	)
	return root
}

// exactly is like cobra.ExactArgs but returns a usageError.
func exactly(n int) cobra.PositionalArgs {
	return func(c *cobra.Command, args []string) error {
		if len(args) != n {
			return usageError{fmt.Errorf("%s takes %d arguments, got %d; see '%s --help'",
				c.Name(), n, len(args), c.CommandPath())}
		}
		return nil
	}
}
