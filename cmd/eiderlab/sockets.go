// This file owns the commands on sockets: receivers and load.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"eiderhaven/lab/chart"
	"eiderhaven/lab/live"
	"eiderhaven/lab/scenario"
)

func newReceivers() *cobra.Command {
	var l loading
	var discovery, listen, config, out string
	var seed uint64
	var length time.Duration
	c := &cobra.Command{
		Use:   "receivers SCENARIO",
		Short: "Play discovery and receivers on sockets, for a running daemon",
		Long: `receivers listens on loopback addresses: discovery, and a port for each endpoint of the scenario. They serve, refuse,
hang, drain and come back as the model's receivers do, and the scenario's troubles happen in real time, but for
those of clients (see load) and of senders. With --config it writes a configuration with which the daemon runs
against them. It ends at --for, or with Ctrl-C, and shows what it saw.`,
		Example: `  eiderlab receivers lab/scenarios/calm.toml --config /tmp/eiderhaven.json
  mkdir -p /tmp/eiderhaven-state
  LB_CONFIG=/tmp/eiderhaven.json LB_STATE=/tmp/eiderhaven-state bin/eiderhaven
  eiderlab load lab/scenarios/calm.toml --target 127.0.0.1:9000`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := l.load(args[0])
			if err != nil {
				return err
			}
			v, err := live.NewReceivers(s, seed, discovery, func(line string) { fmt.Println(line) })
			if err != nil {
				return err
			}
			fmt.Printf("discovery on %s, %d endpoints of %d destinations\n", v.DiscoveryAddr(), v.ListenerCount(), s.DestinationCount())
			if skipped := live.SkippedTroubles(s); len(skipped) > 0 {
				fmt.Println("not played here:", strings.Join(skipped, ", "))
			}
			if config != "" {
				text, err := live.Config(s, "n1", listen, v.DiscoveryAddr())
				if err != nil {
					return err
				}
				if err := os.WriteFile(config, append(text, '\n'), 0o600); err != nil {
					return err
				}
				fmt.Printf("a configuration for the daemon is in %s; it will listen on %s\n", config, listen)
			}
			ctx := c.Context()
			if length > 0 {
				var stop context.CancelFunc
				ctx, stop = context.WithTimeout(ctx, length)
				defer stop()
			}
			v.Run(ctx)
			return showCounts(v.Counts(), out)
		},
	}
	l.flags(c)
	c.Flags().StringVar(&discovery, "discovery", "127.0.0.1:8500", "where discovery listens")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:9000", "with --config: where the daemon is to listen")
	c.Flags().StringVar(&config, "config", "", "write a configuration for the daemon to this file")
	c.Flags().StringVar(&out, "out", "", "write what was seen to this file, as JSON")
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of the day")
	c.Flags().DurationVar(&length, "for", 0, "end after this time (default: at Ctrl-C)")
	return c
}

func showCounts(n live.Counts, out string) error {
	t := chart.Table{Head: []string{"receivers saw", ""}}
	add := func(name string, x int) { t.Rows = append(t.Rows, []string{name, strconv.Itoa(x)}) }
	add("connections", n.Connections)
	add("of them refused", n.ConnectionsRefused)
	add("calls", n.Calls)
	for _, name := range []string{"served", "turned away", "failed", "reset", "served, answer lost", "given up"} {
		add("calls "+name, n.Outcomes[name])
	}
	add("messages that took effect", n.Messages)
	add("repeats of such", n.Repeats)
	add("effects doubled that must not be", n.DuplicateEffects)
	add("notices: dead", n.Dead)
	add("notices: bounced", n.Bounced)
	add("units fallen over", n.UnitsOverloaded)
	printTable(t)
	return writeJSON(out, n)
}

func writeJSON(path string, v any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

func newLoad() *cobra.Command {
	var l loading
	var o live.LoadOptions
	var out string
	c := &cobra.Command{
		Use:   "load SCENARIO",
		Short: "Hand messages in to a running daemon by an open-loop schedule",
		Long: `load plays the clients of a scenario against daemons on loopback addresses. Requests are begun when they are planned,
however late earlier answers are, and times count from the plan. Clients come again after a refusal as the
scenario says. Troubles of clients (surge, hot, clump) are played.`,
		Example: `  eiderlab load lab/scenarios/calm.toml --target 127.0.0.1:9000
  eiderlab load lab/scenarios/calm.toml --target 127.0.0.1:9000 --set traffic.rate=2000 --set run.length=20s --out results/load`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := l.load(args[0])
			if err != nil {
				return err
			}
			o.Log = func(line string) { fmt.Println(line) }
			load, err := live.NewLoad(s, o)
			if err != nil {
				return usageError{err}
			}
			ctx, stop := context.WithCancel(c.Context())
			defer stop()
			go showProgress(ctx, s)
			r := load.Run(c.Context())
			stop()
			return showLoad(s, r, out)
		},
	}
	l.flags(c)
	c.Flags().StringSliceVar(&o.Targets, "target", []string{"127.0.0.1:9000"}, "addresses of senders, on loopback")
	c.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of the day")
	c.Flags().IntVar(&o.BodyBytes, "body", 200, "bytes of a message")
	c.Flags().IntVar(&o.MaxConns, "conns", 256, "connections to one target at most")
	c.Flags().DurationVar(&o.AnswerTimeout, "answer-within", 400*time.Millisecond, "how long a client waits for its answer")
	c.Flags().StringVar(&out, "out", "", "folder for figures and charts")
	return c
}

func showProgress(ctx context.Context, s *scenario.Scenario) {
	length := int(s.Run.Length.D().Seconds())
	b := bar(max(length, 1), "load, s")
	defer b.Finish()
	for i := range length {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Second):
			_ = b.Set(i + 1)
		}
	}
}

func showLoad(s *scenario.Scenario, r *live.LoadResult, out string) error {
	t := chart.Table{Title: "Load", Head: []string{"load", ""}}
	add := func(name, format string, x any) { t.Rows = append(t.Rows, []string{name, fmt.Sprintf(format, x)}) }
	add("first tries", "%d", r.FirstTries)
	add("later tries", "%d", r.LaterTries)
	add("taken (202)", "%d", r.Accepted)
	add("taken a second", "%.0f", float64(r.Accepted)/max(r.Seconds, 1e-9))
	add("refused (429, 503)", "%d", r.Refused)
	add("other answers", "%d", r.Failed)
	add("no answer in time", "%d", r.NoAnswer)
	add("connections opened", "%d", r.ConnectionsOpened)
	add("p50, ms", "%.2f", r.P50)
	add("p90, ms", "%.2f", r.P90)
	add("p99, ms", "%.2f", r.P99)
	add("p99.9, ms", "%.2f", r.P999)
	add("longest, ms", "%.2f", r.Max)
	add("requests begun late by (p99), ms", "%.2f", r.StartDelayP99)
	printTable(t)
	if r.StartDelayP99 > 5 {
		fmt.Println("requests were begun late: this machine could not keep the schedule, and times hold its share too")
	}
	if out == "" {
		return nil
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	if err := writeJSON(filepath.Join(out, "load.json"), r); err != nil {
		return err
	}
	charts := loadCharts(s, r)
	for _, c := range charts {
		if err := c.Save(filepath.Join(out, "charts"), chart.FileName(c.Title)); err != nil {
			return err
		}
	}
	page := &chart.Page{Title: s.Name + ": load", About: "Real sockets on loopback, simulated clients; times count from when a request was planned.",
		Tables: []chart.Table{t}, Charts: charts}
	html, err := page.HTML()
	if err != nil {
		return err
	}
	fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
	return os.WriteFile(filepath.Join(out, "report.html"), html, 0o644)
}

func loadCharts(s *scenario.Scenario, r *live.LoadResult) []*chart.Chart {
	line := func(name string, of func(live.LoadWindow) float64) chart.Line {
		l := chart.Line{Name: name}
		for i, w := range r.Series {
			l.X, l.Y = append(l.X, float64(i)), append(l.Y, of(w))
		}
		return l
	}
	return []*chart.Chart{
		{Title: s.Name + ": answers", XLabel: "time, s", YLabel: "requests a second", YFromZero: true, Bands: bands(s), Lines: []chart.Line{
			line("planned", func(w live.LoadWindow) float64 { return float64(w.Planned) }),
			line("taken", func(w live.LoadWindow) float64 { return float64(w.Accepted) }),
			line("refused", func(w live.LoadWindow) float64 { return float64(w.Refused) }),
			line("unheard or failed", func(w live.LoadWindow) float64 { return float64(w.NoAnswer + w.Failed) })}},
		{Title: s.Name + ": time to the answer", XLabel: "time, s", YLabel: "ms, from the planned time", LogY: true, Bands: bands(s), Lines: []chart.Line{
			line("p50", func(w live.LoadWindow) float64 { return w.P50 }),
			line("p99", func(w live.LoadWindow) float64 { return w.P99 })}},
	}
}
