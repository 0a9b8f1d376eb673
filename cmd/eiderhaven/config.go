// This file owns the configuration: where it comes from, at the start and when it is read again, and what it must
// hold. It must never supply a limit or setting that the configuration lacks.

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"strconv"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/registry"
	"eiderhaven/internal/settings"
	"eiderhaven/rules"
)

// config is what the sender is told at its start.
type config struct {
	name, listen, discovery, state string

	cores    float64
	memory   int64 // bytes
	sockets  int
	disk     int64 // bytes
	settings *rules.Settings
	names    *settings.Names
	known    exchange.Listing
	knownSeq int64
	logLevel slog.Level
	lacking  []string // what the settings allow or ask for and the platform has no way to do
}

// configFile is the form of the file that LB_CONFIG names.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
		DiskMB   float64 `json:"disk_mb"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

const (
	megabyte   = 1_000_000 // the smaller reading of the limits' unit
	leastDisk  = 512 << 10 // the ledger's segments must hold a message each
	fewSockets = 32
)

// loadConfig reads the configuration by the environment's word. Name and addresses in the environment win.
func loadConfig(getenv func(string) string) (*config, error) {
	path := getenv("LB_CONFIG")
	if path == "" {
		return nil, errors.New("LB_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c := &config{name: f.Name, listen: f.Listen, discovery: f.Discovery, state: getenv("LB_STATE"),
		cores: f.Limits.Cores, memory: int64(f.Limits.MemoryMB * megabyte), sockets: f.Limits.Sockets,
		disk: int64(f.Limits.DiskMB * megabyte)}
	for name, field := range map[string]*string{"LB_NAME": &c.name, "LB_LISTEN": &c.listen, "LB_DISCOVERY": &c.discovery} {
		if v := getenv(name); v != "" {
			*field = v
		}
	}
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if level := getenv("LB_LOG_LEVEL"); level != "" {
		if err := c.logLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("LB_LOG_LEVEL: %w; debug, info, warn or error is expected", err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: bad seed", path)
	}
	if c.settings, c.names, err = settings.DecodeChecked(f.Settings, seed); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	c.lacking = lacking(c.settings)
	if c.knownSeq, c.known, err = registry.ParseList(f.Known, c.names); err != nil {
		return nil, fmt.Errorf("%s: known: %w", path, err)
	}
	return c, nil
}

// reloadConfig reads the configuration again. The address of discovery in the environment is the one at the start:
// now the file's word wins.
func reloadConfig(getenv func(string) string) (*config, error) {
	return loadConfig(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// lacking switches off what the settings allow and the platform has no way to do, and says what that is. Nothing that a
// rule needs is among it: notes are hints, and messages without a key are free of order.
func lacking(set *rules.Settings) (without []string) {
	if set.MayShareHints {
		set.MayShareHints = false
		without = append(without, "allowed.peers: senders have no way to talk to each other here, no notes are sent")
	}
	if slices.ContainsFunc(set.Classes, func(c rules.Class) bool { return c.KeepOrder }) {
		without = append(without, "request_classes[].keep_order: clients hand in no order key here, so messages are not in order")
	}
	return without
}

// heap is the runtime's limit in bytes: files count as memory, and a quarter of the rest is for the kernel's buffers.
func (c *config) heap() int64 { return (c.memory - c.disk) / 4 * 3 }

// maxList is how many bytes of memory a list of endpoints may take as it is read: besides it there are the old one, what the module
// is told of the new one, and what it makes of it. Some 9,000 endpoints always fit: below that memory_mb is a slip.
func (c *config) maxList() int64 { return max(c.heap()/4, 1<<20) }

func (c *config) check() error {
	for _, addr := range []string{c.listen, c.discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("bad address: %w", err)
		}
	}
	if c.state == "" {
		return errors.New("LB_STATE is not set")
	}
	if c.cores <= 0 || c.memory <= 0 || c.sockets < fewSockets || c.disk < leastDisk {
		return errors.New("limits lack cores, memory, sockets or disk, or are too small")
	}
	return nil
}
