// Command eiderhaven is one sender: it takes messages from clients and delivers them to endpoints, as the decision
// module in package rules says. This package owns the process: configuration, limits, signals and the phases from
// start to exit (service.go). It must never touch a message.
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

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "eiderhaven:", err)
		os.Exit(1)
	}
}

func run() error {
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	hangups := make(chan os.Signal, 1) // one that waits stands for all: the file is read when it is taken up
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, err := loadConfig(os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.cores))))
	debug.SetMemoryLimit(cfg.heap())
	debug.SetGCPercent(300) // little is live: fewer collections for a part of a core, and the limit above still holds
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: cfg.logLevel})).With("name", cfg.name)
	s, err := newService(cfg, log)
	if err != nil {
		return err
	}
	return s.run(signals, hangups)
}
