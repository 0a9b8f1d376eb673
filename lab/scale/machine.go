// This file owns the limits on what a run may use of the machine, and reads the resource usage of processes from /proc.
// Its estimates are only for refusing a plan that does not fit; they must never become a result.

package scale

import (
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Machine holds the resources of a machine.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int   // limit of open descriptors of this process
	Cores       int
}

// maxProcesses is the limit of processes of a run, this one included.
const maxProcesses = 200

// Rough resource needs, on the high side. A plan that exceeds the machine by them is refused before
// anything starts.
const (
	realBaseBytes             = 40 << 20 // a process without destinations and messages
	realDestinationBytes      = 2500     // a process, for each destination: garbage may be a multiple of live memory
	realMessageBytes          = 6000     // a process, for each message held
	simulatedDestinationBytes = 1600     // a simulated sender, for each destination
	discoveryDestinationBytes = 700      // the stand-in discovery, for each destination

	baseDescriptors      = 400 // listeners, clients' connections, logs and a reserve
	simulatedDescriptors = 6   // the gateway's listener and both ends of a connection, each twice while it is renewed
	realDescriptors      = 150 // gateway, connections to discovery, this side of clients' connections and calls, log
)

// ThisMachine returns the resources of this machine.
func ThisMachine() (Machine, error) {
	m := Machine{Cores: runtime.NumCPU()}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemTotal:" {
			kb, err := strconv.ParseInt(fields[1], 10, 64)
			if err != nil {
				return m, err
			}
			m.Memory = kb << 10
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return m, err
	}
	m.Descriptors = int(min(limit.Cur, 1<<30))
	if m.Memory == 0 {
		return m, errors.New("/proc/meminfo has no MemTotal")
	}
	return m, nil
}

// memoryEstimate estimates how much memory a step needs, in bytes.
func (s setup) memoryEstimate() int64 {
	destinations, messages := int64(s.destinations), int64(s.held+s.unfinished)
	real := int64(s.real) * (realBaseBytes + destinations*realDestinationBytes + messages*realMessageBytes)
	simulated := int64(s.simulated) * destinations * simulatedDestinationBytes
	return real + simulated + destinations*discoveryDestinationBytes
}

// descriptorEstimate estimates how many descriptors a step opens in this process.
func (s setup) descriptorEstimate() int {
	return baseDescriptors + s.simulated*simulatedDescriptors + s.real*realDescriptors
}

// CheckResources returns an error of one line, with the key and its value, if the given axes of a plan exceed a
// machine.
func (p *Plan) CheckResources(m Machine, axes []string) error {
	check := func(key string, value int, s setup) error {
		switch {
		case s.real+1 > maxProcesses:
			return fmt.Errorf("%s: %d, which needs %d processes; a run may have %d", key, value, s.real+1, maxProcesses)
		case s.memoryEstimate() > m.Memory/2:
			return fmt.Errorf("%s: %d, which needs some %d MB; half of this machine's memory is %d MB",
				key, value, s.memoryEstimate()>>20, m.Memory/2>>20)
		case s.descriptorEstimate() > m.Descriptors:
			return fmt.Errorf("%s: %d, which needs %d descriptors; the limit is %d (ulimit -n)",
				key, value, s.descriptorEstimate(), m.Descriptors)
		}
		return nil
	}
	if n := p.Senders.Real; n+1 > maxProcesses {
		return fmt.Errorf("senders.real: %d, which needs %d processes; a run may have %d", n, n+1, maxProcesses)
	}
	for _, axis := range p.playedAxes() {
		if !slices.Contains(axes, axis) {
			continue
		}
		if axis == EventsAxis {
			s := p.eventSetup()
			key, value := "events.hollow", s.simulated
			if s.real+1 > maxProcesses {
				key, value = "events.real", s.real
			}
			if err := check(key, value, s); err != nil {
				return err
			}
			continue
		}
		for _, v := range p.axisValues(axis) {
			if err := check("axes."+axis, v, p.pointSetup(axis, v)); err != nil {
				return err
			}
		}
	}
	return nil
}

// processUsage is the resource usage of a process as the kernel reports it.
type processUsage struct {
	resident, peak int64         // resident memory now and at its peak, bytes
	cpu            time.Duration // user and system
}

// clockTick is the unit of processor time in /proc/PID/stat on Linux.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat, counted from the one after the command's name.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// readUsage reads the usage of a process.
func readUsage(pid int) (u processUsage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the command's name before may contain spaces
	statFields := strings.Fields(rest)
	if len(statFields) <= statSystemTime {
		return u, fmt.Errorf("/proc/%d/stat has too few fields", pid)
	}
	for _, text := range statFields[statUserTime : statSystemTime+1] {
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return u, err
		}
		u.cpu += time.Duration(n) * clockTick
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "VmRSS:" && fields[0] != "VmHWM:" {
			continue
		}
		kb, err := strconv.ParseInt(fields[1], 10, 64)
		if err != nil {
			return u, err
		}
		if fields[0] == "VmRSS:" {
			u.resident = kb << 10
		} else {
			u.peak = kb << 10
		}
	}
	if u.resident == 0 {
		return u, fmt.Errorf("process %d has ended", pid)
	}
	return u, nil
}
