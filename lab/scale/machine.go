// This file owns what a run may take of the machine, and reads of processes what the kernel says. Its estimates are for
// refusing a plan that cannot fit, never for a result.

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

// Machine is what a machine has.
type Machine struct {
	Memory      int64 // bytes
	Descriptors int   // this process may open
	Cores       int
}

// maxProcesses a run starts at most, itself included.
const maxProcesses = 200

// Rough needs, on the high side, from first measurements. A plan beyond them is refused before anything starts.
const (
	realBaseBytes             = 40 << 20 // bytes of a process that knows and holds nothing
	realDestinationBytes      = 2500     // bytes of a process for a destination: the runtime lets garbage grow to some times what is live
	realMessageBytes          = 6000     // bytes of a process for a message held
	simulatedDestinationBytes = 1600     // bytes of a hollow sender for a destination
	discoveryDestinationBytes = 700      // bytes of the stand-in of discovery for a destination
	baseDescriptors           = 400      // descriptors: listeners, clients' connections, logs, room
	simulatedDescriptors      = 6        // a gate's listener, both ends of a connection, and one anew of each
	realDescriptors           = 150      // gate, connections to discovery, clients' and calls' ends here, the log's pipe
)

// ThisMachine reads what this machine has.
func ThisMachine() (Machine, error) {
	m := Machine{Cores: runtime.NumCPU()}
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return m, err
	}
	for line := range strings.Lines(string(text)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemTotal:" {
			kb, err := strconv.ParseInt(f[1], 10, 64)
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

// memory is the estimate of a step's need in bytes.
func (s setup) memoryEstimate() int64 {
	real := int64(s.real) * (realBaseBytes + int64(s.destinations)*realDestinationBytes + int64(s.held+s.unfinished)*realMessageBytes)
	return real + int64(s.simulated)*int64(s.destinations)*simulatedDestinationBytes + int64(s.destinations)*discoveryDestinationBytes
}

func (s setup) descriptorEstimate() int {
	return baseDescriptors + s.simulated*simulatedDescriptors + s.real*realDescriptors
}

// Fits tells why a plan cannot be played on a machine: one line with the key and its value, nil if it can.
func (p *Plan) CheckResources(m Machine, axes []string) error {
	try := func(key string, value int, s setup) error {
		switch {
		case s.real+1 > maxProcesses:
			return fmt.Errorf("%s: %d, which needs %d processes; a run may have %d", key, value, s.real+1, maxProcesses)
		case s.memoryEstimate() > m.Memory/2:
			return fmt.Errorf("%s: %d, which needs some %d MB; half of this machine's memory is %d MB", key, value, s.memoryEstimate()>>20, m.Memory/2>>20)
		case s.descriptorEstimate() > m.Descriptors:
			return fmt.Errorf("%s: %d, which needs %d descriptors; the limit is %d (ulimit -n)", key, value, s.descriptorEstimate(), m.Descriptors)
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
			if err := try(key, value, s); err != nil {
				return err
			}
			continue
		}
		for _, v := range p.axisValues(axis) {
			if err := try("axes."+axis, v, p.pointSetup(axis, v)); err != nil {
				return err
			}
		}
	}
	return nil
}

// usage is what the kernel says of a process.
type processUsage struct {
	resident, peak int64         // bytes
	cpu            time.Duration // user and system
}

const clockTick = 10 * time.Millisecond // of /proc/PID/stat on Linux

// usageOf reads a process.
func readUsage(pid int) (u processUsage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, _ := strings.Cut(string(stat), ") ") // the name before may hold anything
	f := strings.Fields(rest)
	if len(f) < 13 {
		return u, fmt.Errorf("/proc/%d/stat is short", pid)
	}
	for _, text := range f[11:13] {
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
		f := strings.Fields(line)
		if len(f) < 2 || f[0] != "VmRSS:" && f[0] != "VmHWM:" {
			continue
		}
		kb, err := strconv.ParseInt(f[1], 10, 64)
		if err != nil {
			return u, err
		}
		if f[0] == "VmRSS:" {
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
