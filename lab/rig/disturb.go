// This file owns what a seed draws beside faults and signals: folders that fail, IDs that come again, and clients that
// leave. All of it overlaps with the faults and signals. It must never hand in an ID that no client has used before.

package rig

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
	"unsafe"

	"eiderhaven/internal/http1"
	"eiderhaven/lab/live"
	"eiderhaven/lab/random"
)

// Ranges of what a seed draws.
const (
	minFolderFailure   = 200 * time.Millisecond
	folderFailureRange = 2500 * time.Millisecond
	repeatDelayRange   = 3 * time.Second // from a message's acceptance until its ID comes again
	repeatTimeout      = 2 * time.Second // for the answer to it
	maxLeaverRequests  = 40              // written at once by a client that leaves
	maxLeaverStay      = 5 * time.Millisecond
	leaverDeadline     = 4 * time.Second // of the messages of a client that leaves
	maxAnswerBytes     = 64 << 10
)

// repeatedID is the second submission of an accepted message.
type repeatedID struct {
	request live.RequestRecord // the first one
	begun   time.Time
	status  int // 0 without an answer
}

// disturber plays the disturbances of one run.
type disturber struct {
	fleet *fleet
	wg    sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	repeated []repeatedID
	left     []live.RequestRecord
	counts   DisturbanceCounts
}

// DisturbanceCounts are the disturbances that were played.
type DisturbanceCounts struct {
	FolderFailures int `json:"folder_failures"`
	RepeatedIDs    int `json:"repeated_ids"`
	LeavingClients int `json:"leaving_clients"`
}

func newDisturber(f *fleet) *disturber {
	return &disturber{fleet: f, random: random.Stream(f.opts.Seed, "rig disturb", 0)}
}

// start plays what the plan draws, until the context ends.
func (d *disturber) start(ctx context.Context, started time.Time) {
	draw := &d.fleet.plan.Draw
	at := func() time.Time {
		d.mu.Lock()
		defer d.mu.Unlock()
		return started.Add(draw.From.D() + time.Duration(d.random.Float64()*float64(draw.To.D()-draw.From.D())))
	}
	play := func(n int, disturb func(context.Context)) {
		for range n {
			due := at()
			d.wg.Go(func() {
				if sleepContext(ctx, time.Until(due)) {
					disturb(ctx)
				}
			})
		}
	}
	play(draw.FolderFailures, d.failFolder)
	play(draw.Leavers, func(context.Context) { d.leave() })
}

// float returns a random number, at least 0 and below 1.
func (d *disturber) float() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64()
}

// drawDaemon returns one of the senders.
func (d *disturber) drawDaemon() *daemon {
	return d.fleet.daemons[int(d.float()*float64(len(d.fleet.daemons)))]
}

// failFolder makes every write of one sender's process fail for a while. The next process of that sender is not affected.
func (d *disturber) failFolder(ctx context.Context) {
	daemon := d.drawDaemon()
	daemon.mu.Lock()
	process := daemon.cmd.Process
	daemon.mu.Unlock()
	if limitFileSize(process.Pid, 0) != nil { // it has just ended
		return
	}
	d.mu.Lock()
	d.counts.FolderFailures++
	d.mu.Unlock()
	sleepContext(ctx, minFolderFailure+time.Duration(d.float()*float64(folderFailureRange)))
	_ = limitFileSize(process.Pid, ^uint64(0)) // it may have been killed meanwhile
}

// limitFileSize sets the size at which writes to a file fail for a process.
func limitFileSize(pid int, bytes uint64) error {
	limit := syscall.Rlimit{Cur: bytes, Max: ^uint64(0)}
	_, _, errno := syscall.Syscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_FSIZE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// onRequestEnd hands in the ID of an accepted message again, for the share of them that the plan draws.
func (d *disturber) onRequestEnd(ctx context.Context, r live.RequestRecord) {
	if !accepted(r) || d.float() >= d.fleet.plan.Draw.Repeats {
		return
	}
	delay := time.Duration(d.float() * float64(repeatDelayRange))
	d.wg.Go(func() {
		if !sleepContext(ctx, delay) {
			return
		}
		again := repeatedID{request: r, begun: time.Now()}
		again.status = d.submitAgain(r)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.repeated = append(d.repeated, again)
		d.counts.RepeatedIDs++
	})
}

// submitAgain hands in an ID once more on a connection of its own, and returns the status of the answer, 0 for none.
func (d *disturber) submitAgain(r live.RequestRecord) int {
	nc, err := net.DialTimeout("tcp", d.fleet.daemons[r.Sender].clientAddr, repeatTimeout)
	if err != nil {
		return 0
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(repeatTimeout)) // fails on a closed connection, whose reads fail too
	if _, err := nc.Write(d.request(r.ID, r.Class, r.Dest, max(time.Until(r.Deadline), time.Second))); err != nil {
		return 0
	}
	resp, err := http1.ReadResponse(bufio.NewReader(nc), maxAnswerBytes)
	if err != nil {
		return 0
	}
	return resp.Status
}

// request encodes the submission of a message.
func (d *disturber) request(id string, class, dest int, deadline time.Duration) []byte {
	name := d.fleet.scenario.Classes[class].Name
	return http1.AppendRequest(nil, "POST", "/"+name, http1.Header{
		{Name: "Req-Id", Value: id},
		{Name: "Req-Kind", Value: name},
		{Name: "Req-Deadline-Ms", Value: fmt.Sprint(deadline.Milliseconds())},
		{Name: "Envelope", Value: fmt.Sprint("dest=", dest)},
	}, make([]byte, bodyBytes))
}

// leave writes many requests at once and closes the connection within moments, often with a reset.
func (d *disturber) leave() {
	sender := d.drawDaemon()
	nc, err := net.DialTimeout("tcp", sender.clientAddr, repeatTimeout)
	if err != nil {
		return
	}
	d.mu.Lock()
	number := d.counts.LeavingClients
	d.counts.LeavingClients++
	d.mu.Unlock()
	destinations := 0
	for _, kind := range d.fleet.scenario.Kinds {
		destinations += kind.Destinations
	}
	var text []byte
	now := time.Now()
	var records []live.RequestRecord
	for i := range 1 + int(d.float()*maxLeaverRequests) {
		class := int(d.float() * float64(len(d.fleet.scenario.Classes)))
		dest := int(d.float() * float64(destinations))
		id := fmt.Sprintf("left%d-c%d-%d.%d", d.fleet.opts.Seed, class, number, i)
		text = append(text, d.request(id, class, dest, leaverDeadline)...)
		records = append(records, live.RequestRecord{
			Sender: sender.index, ID: id, Class: class, Dest: dest, Begun: now, Deadline: now.Add(leaverDeadline), TimedOut: true,
		})
	}
	_, _ = nc.Write(text) // whether the sender has read it does not matter
	time.Sleep(time.Duration(d.float() * float64(maxLeaverStay)))
	nc.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.left = append(d.left, records...)
}

// checkRepeatedIDs checks that no accepted message was accepted again under its ID.
func (d *disturber) checkRepeatedIDs() []Violation {
	d.mu.Lock()
	defer d.mu.Unlock()
	var found []Violation
	for _, r := range d.repeated {
		if r.status != http.StatusAccepted && r.status != http.StatusOK {
			continue
		}
		found = append(found, Violation{
			Rule:   ruleAfterEnd,
			At:     r.begun,
			Sender: r.request.Sender,
			ID:     r.request.ID,
			Text:   fmt.Sprintf("accepted again %v after its acceptance", r.begun.Sub(r.request.Over).Round(time.Millisecond)),
		})
	}
	return found
}
