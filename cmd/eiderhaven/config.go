// This file owns the configuration: where it is read from, at the start and on a reload, and what it must contain. It
// must never supply a limit or setting that the configuration lacks.

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

// config is the configuration of one sender process.
type config struct {
	name, listen, discovery, state string

	cores       float64
	memory      int64 // bytes
	sockets     int
	disk        int64 // bytes
	settings    *rules.Settings
	names       *settings.Names
	known       exchange.Listing // the endpoint list in the configuration
	knownSeq    int64            // its version
	logLevel    slog.Level
	unsupported []string // settings that have no effect here, with the reasons
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
	megabyte    = 1_000_000 // bytes; of the two meanings of MB in the limits, the smaller one
	minDisk     = 512 << 10 // bytes; each segment of the ledger must hold a message
	minSockets  = 32
	minListSize = 1 << 20 // bytes of memory, about 9,000 endpoints
)

// loadConfig reads the file that LB_CONFIG names. Name and addresses in the environment take precedence over the file.
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
	c := &config{
		name:      f.Name,
		listen:    f.Listen,
		discovery: f.Discovery,
		state:     getenv("LB_STATE"),
		cores:     f.Limits.Cores,
		memory:    int64(f.Limits.MemoryMB * megabyte),
		sockets:   f.Limits.Sockets,
		disk:      int64(f.Limits.DiskMB * megabyte),
	}
	overrides := map[string]*string{"LB_NAME": &c.name, "LB_LISTEN": &c.listen, "LB_DISCOVERY": &c.discovery}
	for variable, field := range overrides {
		if v := getenv(variable); v != "" {
			*field = v
		}
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if level := getenv("LB_LOG_LEVEL"); level != "" {
		if err := c.logLevel.UnmarshalText([]byte(level)); err != nil {
			return nil, fmt.Errorf("LB_LOG_LEVEL: %w; want debug, info, warn or error", err)
		}
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("%s: seed %q is not a hexadecimal number of up to 64 bits", path, f.Seed)
	}
	if c.settings, c.names, err = settings.DecodeChecked(f.Settings, seed); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", path, err)
	}
	c.unsupported = disableUnsupported(c.settings)
	if c.knownSeq, c.known, err = registry.ParseList(f.Known, c.names); err != nil {
		return nil, fmt.Errorf("%s: known: %w", path, err)
	}
	return c, nil
}

// reloadConfig reads the configuration again. It ignores LB_DISCOVERY, which is the address at the start, so that the
// address in the file takes effect.
func reloadConfig(getenv func(string) string) (*config, error) {
	return loadConfig(func(name string) string {
		if name == "LB_DISCOVERY" {
			return ""
		}
		return getenv(name)
	})
}

// disableUnsupported switches off settings that the platform has no means for, and returns what they are. No rule
// depends on them: hints between senders are optional, and messages without an order key may be sent in any order.
func disableUnsupported(set *rules.Settings) (unsupported []string) {
	if set.MayShareHints {
		set.MayShareHints = false
		unsupported = append(unsupported,
			"allowed.peers: senders have no way to talk to each other here, so no notes are sent")
	}
	if slices.ContainsFunc(set.Classes, func(c rules.Class) bool { return c.KeepOrder }) {
		unsupported = append(unsupported,
			"request_classes[].keep_order: clients submit no order key here, so messages are not kept in order")
	}
	return unsupported
}

// heapLimit is the memory limit of the Go runtime in bytes. Files count as memory, and a quarter of the rest is left to
// the buffers of the kernel.
func (c *config) heapLimit() int64 { return (c.memory - c.disk) / 4 * 3 }

// maxListBytes is how much memory a list of endpoints may take while it is read. It is a quarter of the heap, as there
// are also the old list, the update that the decision module is given, and what the module makes of it. About 9,000
// endpoints are always allowed: where memory_mb is too small for these, it must be a mistake.
func (c *config) maxListBytes() int64 { return max(c.heapLimit()/4, minListSize) }

func (c *config) validate() error {
	for _, addr := range []string{c.listen, c.discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return fmt.Errorf("bad address: %w", err)
		}
	}
	if c.state == "" {
		return errors.New("LB_STATE is not set")
	}
	if c.cores <= 0 || c.memory <= 0 || c.sockets < minSockets || c.disk < minDisk {
		return fmt.Errorf("limits: cores and memory_mb must be above 0, sockets at least %d, disk_mb at least %g",
			minSockets, float64(minDisk)/megabyte)
	}
	return nil
}
