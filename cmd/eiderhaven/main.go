// Command eiderhaven is one sender: it accepts messages from clients and delivers them to endpoints, as the decision
// module in package rules decides. This package owns the process: configuration, resource limits, signals and the
// phases from start to exit (service.go). It must never touch a message.
package main

import (
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
)

// gcPercent is higher than the default 100: the live heap is small, so rarer collections save a part of a core. The
// memory limit still holds.
const gcPercent = 300

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "eiderhaven:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	hangups := make(chan os.Signal, 1) // one is enough for several SIGHUPs: the file is read after it was received
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := loadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.cores))))
	debug.SetMemoryLimit(cfg.heapLimit())
	debug.SetGCPercent(gcPercent)
	lines := newAsyncWriter(os.Stderr)
	defer lines.Close()
	log := slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: cfg.logLevel})).With("name", cfg.name)
	s, err := newService(cfg, log)
	if err != nil {
		return err
	}
	return s.run(signals, hangups)
}
