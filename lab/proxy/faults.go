// This file owns what a proxy may do to a response, and the draw of it. It must never look at a connection.

package proxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"eiderhaven/internal/http1"
)

// Faults are the shares of responses that a proxy spoils, each 0 to 1 and drawn independently, and their ranges. A
// response that tells a wait is neither delayed nor cut, as the wait counts from when the server wrote it.
type Faults struct {
	Copy       float64       // a second copy follows
	CopyFrom   time.Duration // shortest time from the response to its copy
	CopyTo     time.Duration // longest; 0 as for CopyFrom writes the copy right behind
	CopyStatus int           // status of the copy; 0: that of the response
	Split      float64       // written in two parts, with a pause of up to SplitPause
	SplitPause time.Duration
	Join       float64 // held back until the next bytes of the connection, a copy for example, but for JoinWait at most
	JoinWait   time.Duration
	Delay      float64 // written up to DelayTo later
	DelayTo    time.Duration
	Cut        float64 // only a part is written, then the connection is closed
	Inject     float64 // a response with InjectStatus follows, which is no copy, as late as a copy would be
	InjectCode int     // its status, for example 408, 503 or 100

	// Mute is the share of connections that bring nothing: what is sent on them is read, and never answered. With
	// MuteEvery above 0 that share holds for connections opened in a spell alone; a spell lasts MuteFor and begins at a
	// random moment of each MuteEvery.
	Mute      float64
	MuteEvery time.Duration
	MuteFor   time.Duration
}

// ErrInvalidFaults is wrapped by every error in a proxy's faults.
var ErrInvalidFaults = errors.New("bad proxy faults")

// Check returns an error for a share or a range that is impossible.
func (f Faults) Check() error {
	for name, share := range map[string]float64{
		"copy": f.Copy, "split": f.Split, "join": f.Join, "delay": f.Delay, "cut": f.Cut, "inject": f.Inject, "mute": f.Mute,
	} {
		if share < 0 || share > 1 {
			return fmt.Errorf("%w: %s: %v: expected 0 to 1", ErrInvalidFaults, name, share)
		}
	}
	if f.CopyFrom < 0 || f.CopyTo < f.CopyFrom {
		return fmt.Errorf("%w: copies come %v to %v late: expected a range", ErrInvalidFaults, f.CopyFrom, f.CopyTo)
	}
	if f.MuteEvery < 0 || f.MuteFor < 0 || f.MuteEvery > 0 && f.MuteFor > f.MuteEvery {
		return fmt.Errorf("%w: mute for %v of each %v: expected a part of it", ErrInvalidFaults, f.MuteFor, f.MuteEvery)
	}
	if f.Inject > 0 && (f.InjectCode < 100 || f.InjectCode > 599) {
		return fmt.Errorf("%w: inject: status %d: expected 100 to 599", ErrInvalidFaults, f.InjectCode)
	}
	return nil
}

// treatment is what happens to one response.
type treatment struct {
	copies     bool
	copyAfter  time.Duration
	splits     bool
	splitPause time.Duration
	joins      bool
	delay      time.Duration
	cuts       bool
	position   float64 // where the response is split or cut, as a share of its bytes
	injects    bool
}

// draw draws the treatment of one response. The number of draws does not depend on the faults, so that a change of one
// share leaves the draws of the others as they are.
func (f Faults) draw(r *rand.Rand, tellsWait bool) treatment {
	chance := func(share float64) bool { return r.Float64() < share }
	upTo := func(limit time.Duration) time.Duration { return time.Duration(r.Float64() * float64(limit)) }
	t := treatment{
		copies:     chance(f.Copy),
		copyAfter:  f.CopyFrom + upTo(f.CopyTo-f.CopyFrom),
		splits:     chance(f.Split),
		splitPause: upTo(f.SplitPause),
		joins:      chance(f.Join),
		cuts:       chance(f.Cut) && !tellsWait,
		position:   r.Float64(),
		injects:    chance(f.Inject),
	}
	if delayed, by := chance(f.Delay), upTo(f.DelayTo); delayed && !tellsWait {
		t.delay = by
	}
	return t
}

// drawMute draws whether a connection brings nothing that is opened so long after the proxy's start. begin, from 0 to 1,
// is where in each MuteEvery the spell begins.
func (f Faults) drawMute(r *rand.Rand, begin float64, opened time.Duration) bool {
	mute := r.Float64() < f.Mute
	if f.MuteEvery == 0 || !mute {
		return mute
	}
	at := opened % f.MuteEvery
	from := time.Duration(begin * float64(f.MuteEvery-f.MuteFor))
	return at >= from && at < from+f.MuteFor
}

// appendCopy appends the second copy of a response.
func (f Faults) appendCopy(buf []byte, response *http1.Response) []byte {
	status := response.Status
	if f.CopyStatus != 0 {
		status = f.CopyStatus
	}
	return appendResponse(buf, status, response)
}

// appendResponse appends a response with the given status and the header and body of another.
func appendResponse(buf []byte, status int, response *http1.Response) []byte {
	var fields http1.Header
	for _, field := range response.Header {
		if field.Name != "Content-Length" { // added anew
			fields = append(fields, field)
		}
	}
	return http1.AppendResponse(buf, status, fields, response.Body)
}
