// This file owns the command scale, which measures real daemons under many destinations and messages. An invalid plan
// must be refused before a process is started or a folder created.

package main

import (
	"context"
	"crypto/sha256"
	"debug/buildinfo"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"

	"github.com/spf13/cobra"

	"eiderhaven/lab/scale"
)

const (
	// maxPrintedTables is the number of tables that a run prints; the folder's page holds all of them.
	maxPrintedTables = 3

	// revisionPrefixLength is the number of digits of the daemon's commit hash that the report shows.
	revisionPrefixLength = 10
)

func newScale() *cobra.Command {
	var o scale.Options
	var out string
	var redraw bool
	c := &cobra.Command{
		Use:   "scale PLAN",
		Short: "Measure real daemons at size on loopback addresses, and predict the largest point",
		Long: `scale starts real daemons beside hollow senders, which share this process, before a discovery and destinations of its
own. It plays the plan's axes one at a time, fits a line to each figure by all points but the largest and compares
that with what it predicts; then the events, with a judge. It listens on loopback addresses alone, takes at most half of
the memory, and ends all it started, also at Ctrl-C.`,
		Example: `  eiderlab scale lab/plans/scale-small.toml
  eiderlab scale lab/plans/scale-large.toml --axis destinations --out results/scale
  eiderlab scale lab/plans/scale-large.toml --axis events --out results/scale`,
		Args: exactly(1),
		RunE: func(c *cobra.Command, args []string) error {
			return runScale(c.Context(), args[0], out, o, redraw)
		},
	}
	c.Flags().StringVar(&out, "out", "", "folder for rows, charts and page (default: results/NAME of the plan)")
	c.Flags().StringSliceVar(&o.Axes, "axis", nil,
		"play these axes alone, or \"events\"; rows of others that the folder holds stay")
	c.Flags().BoolVar(&redraw, "redraw", false, "play nothing: make tables, charts and page of the folder's rows anew")
	c.Flags().StringVar(&o.Program, "program", "bin/eiderhaven", "the daemon")
	return c
}

// runScale plays the plan at path, or with redraw only reads its stored rows, and writes the folder's report.
func runScale(ctx context.Context, path, out string, o scale.Options, redraw bool) error {
	if ctx == nil {
		ctx = context.Background()
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("plan: %w", err)
	}
	p, err := scale.Parse(path, text)
	if err != nil {
		return err
	}
	machine, err := scale.ThisMachine()
	if err != nil {
		return err
	}
	if err := scale.Check(p, &o, machine); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if out == "" {
		out = filepath.Join("results", p.Name)
	}
	folder, err := scale.OpenFolder(out, p, text, o.Program)
	if err != nil {
		return err
	}
	folder.Environment = describeSetup(o.Program, machine)
	if redraw {
		return folder.Save()
	}
	o.Log = func(line string) { fmt.Println(line) }
	rows, err := scale.Run(ctx, p, o, machine)
	if errors.Is(err, context.Canceled) && len(rows) == 0 {
		return err
	}
	folder.ReplaceRows(o.Axes, rows)
	if saveErr := folder.Save(); saveErr != nil {
		return errors.Join(err, saveErr)
	}
	for _, t := range folder.Tables()[:min(maxPrintedTables, len(folder.Tables()))] {
		printTable(t)
	}
	fmt.Println("kept in", out, "- open", filepath.Join(out, "report.html"))
	return err
}

// describeSetup describes the daemon's build and the machine, for the report.
func describeSetup(program string, machine scale.Machine) string {
	build := "of unknown build"
	if info, err := buildinfo.ReadFile(program); err == nil {
		build = info.GoVersion
		for _, s := range info.Settings {
			switch {
			case s.Key == "vcs.revision":
				build += ", commit " + s.Value[:min(revisionPrefixLength, len(s.Value))]
			case s.Key == "vcs.modified" && s.Value == "true":
				build += " with changes"
			}
		}
	}
	if text, err := os.ReadFile(program); err == nil {
		build += fmt.Sprintf(", SHA-256 %.12x", sha256.Sum256(text))
	}
	return fmt.Sprintf("The daemon: %s. The machine: %d cores, %d GB, %s/%s. Measured on loopback; one play each.",
		strings.TrimSpace(build), machine.Cores, machine.Memory>>30, runtime.GOOS, runtime.GOARCH)
}
