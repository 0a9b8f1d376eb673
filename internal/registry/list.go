// This file reads a list in discovery's form, entry by entry as it comes. It must never hold the text of a list, nor claim
// memory by a length that is only told.

package registry

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"unsafe"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/settings"
)

const (
	maxValue    = 64 << 10 // bytes of one entry with the space before it, or of what stands beside the entries
	maxFields   = 64       // beside the entries
	textPerList = 4        // bytes of text that are read for each that a list may take: its form is that much longer at most
)

// TooLargeError tells of a list that does not fit.
type TooLargeError struct {
	Entries         int
	Bytes, MaxBytes int64 // bytes of memory for the entries so far, and how many a list may take
	TextBytes       int64 // bytes read, or the length that was told
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("a list that does not fit: %d entries of it take %d bytes, its text has %d or more; a list may take %d, by "+
		"memory_mb, and %d of text", e.Entries, e.Bytes, e.TextBytes, e.MaxBytes, e.MaxBytes*textPerList)
}

var errLongValue = errors.New("bad list: an entry of more than 64 KiB")

// listed is one endpoint as it is told.
type listed struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   word    `json:"site"`
	Class  word    `json:"class"`
	Block  int     `json:"block"`
	Health word    `json:"health"`
	Share  float64 `json:"share"`
}

const noBlock = math.MinInt

// host is the entry in the exchange's terms.
func (e *listed) host(names *settings.Names) (exchange.Host, error) {
	h := exchange.Host{Peer: exchange.Peer{Name: e.Host, Addr: e.Dial}, Kind: e.Class.position(names.Kinds),
		Zone: e.Site.position(names.Zones), Rate: e.Share}
	switch string(e.Health) {
	case "Ready":
	case "Terminating":
		h.Draining = true
	case "Gone":
		h.Gone = true
	default:
		return h, fmt.Errorf("unknown health %q", e.Health)
	}
	if h.Name == "" || !h.Gone && (e.Block == noBlock || !validAddr(h.Addr)) {
		return h, errors.New("a name, a block or an address is missing")
	}
	if e.Block != noBlock {
		h.Dest = e.Block
	}
	return h, nil
}

// word is a text that is compared and not kept.
type word []byte

// UnmarshalJSON implements [json.Unmarshaler].
func (w *word) UnmarshalJSON(text []byte) error {
	if len(text) > 1 && text[0] == '"' && !slices.ContainsFunc(text, func(b byte) bool { return b == '\\' || b >= 0x80 }) {
		*w = append((*w)[:0], text[1:len(text)-1]...)
		return nil
	}
	var s string
	err := json.Unmarshal(text, &s)
	*w = append((*w)[:0], s...)
	return err
}

// position is where a name stands in the settings, past the end if it does not.
func (w word) position(names []string) int {
	for i, name := range names {
		if name == string(w) {
			return i
		}
	}
	return len(names)
}

func validAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, bad := strconv.Atoi(port)
	return err == nil && net.ParseIP(host) != nil && bad == nil && n > 0 && n < 1<<16
}

// skip reads a value and keeps nothing of it.
type skip struct{}

// UnmarshalJSON implements [json.Unmarshaler].
func (skip) UnmarshalJSON([]byte) error { return nil }

// gauge hands on the text of a list. It bounds what gathers for a value that does not end, and the whole.
type gauge struct {
	from             io.Reader
	read, done, most int64 // bytes: handed on, those of them whose values are read, and at most
}

// Read implements [io.Reader].
func (g *gauge) Read(p []byte) (int, error) {
	if g.read-g.done > maxValue {
		return 0, errLongValue
	}
	if g.read > g.most {
		return 0, &TooLargeError{TextBytes: g.read}
	}
	n, err := g.from.Read(p[:min(len(p), maxValue)])
	g.read += int64(n)
	return n, err
}

// reading is the reading of one list.
type reading struct {
	gauge
	dec   *json.Decoder
	names *settings.Names
	most  int64 // bytes that the list may take in memory
	text  int64 // bytes of the whole as far as it is told, else 0
	taken int64
	seq   *int64
	found bool // the entries
	list  exchange.Listing
}

// Parse reads a list that is in memory already. One faulty entry makes the whole of it void.
func ParseList(text []byte, names *settings.Names) (seq int64, l exchange.Listing, err error) {
	return readList(bytes.NewReader(text), int64(len(text)), names, math.MaxInt64/textPerList)
}

// readList reads a list as it comes. One faulty entry makes the whole of it void, and so does one that does not fit.
func readList(from io.Reader, text int64, names *settings.Names, most int64) (seq int64, l exchange.Listing, err error) {
	r := &reading{gauge: gauge{from: from, most: most * textPerList}, names: names, most: most, text: max(text, 0)}
	if r.text > r.gauge.most { // not a byte of it is read
		return 0, l, &TooLargeError{MaxBytes: most, TextBytes: r.text}
	}
	r.dec = json.NewDecoder(&r.gauge)
	if err := r.all(); err != nil {
		var large *TooLargeError
		if errors.As(err, &large) {
			return 0, l, &TooLargeError{Entries: len(r.list.Hosts), Bytes: r.taken, MaxBytes: most, TextBytes: max(r.text, r.read)}
		}
		return 0, l, fmt.Errorf("bad list: %w", err)
	}
	return *r.seq, r.list, nil
}

func (r *reading) all() error {
	if t, err := r.dec.Token(); err != nil || t != json.Delim('{') {
		return orNot(err, "not an object")
	}
	for n := 0; r.dec.More(); n++ {
		if n == maxFields {
			return errors.New("too many fields")
		}
		if err := r.field(); err != nil {
			return err
		}
		r.done = r.dec.InputOffset()
	}
	if _, err := r.dec.Token(); err != nil { // the object's end, or why there is none
		return orNot(err, "")
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return orNot(err, "something behind its end")
	}
	if r.seq == nil || !r.found {
		return errors.New("no seq or no hosts")
	}
	return nil
}

// orNot is an error that says so if there is no other; an end where more should follow is none that one may expect.
func orNot(err error, otherwise string) error {
	switch {
	case err == nil:
		return errors.New(otherwise)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// field reads a name and its value.
func (r *reading) field() error {
	name, err := r.dec.Token()
	if err != nil {
		return orNot(err, "")
	}
	key, _ := name.(string) // in an object nothing else can come here
	switch {
	case strings.EqualFold(key, "seq"):
		return r.dec.Decode(&r.seq)
	case strings.EqualFold(key, "whole"):
		return r.dec.Decode(&r.list.Whole)
	case strings.EqualFold(key, "hosts"):
		return r.hosts()
	}
	return r.dec.Decode(&skip{})
}

func (r *reading) hosts() error {
	r.list.Hosts, r.taken, r.found = nil, 0, false
	t, err := r.dec.Token()
	if err == nil && t == nil {
		return nil // null, as if there were none
	}
	if err != nil || t != json.Delim('[') {
		return orNot(err, "the entries are no array")
	}
	var e listed
	for r.dec.More() {
		e = listed{Site: e.Site[:0], Class: e.Class[:0], Health: e.Health[:0], Block: noBlock}
		if err := r.dec.Decode(&e); err != nil {
			return err
		}
		r.done = r.dec.InputOffset()
		h, err := e.host(r.names)
		if err != nil {
			return fmt.Errorf("entry %d: %w", len(r.list.Hosts), err)
		}
		if r.taken += taken(h); r.taken > r.most {
			return &TooLargeError{}
		}
		r.add(h)
	}
	r.found = true
	_, err = r.dec.Token()
	return err
}

// taken is how many bytes an endpoint takes.
func taken(h exchange.Host) int64 { return int64(unsafe.Sizeof(h)) + int64(len(h.Name)+len(h.Addr)) }

// add appends an entry. Room is made by what has come: up to four times of it, and no more than the told length lets expect.
func (r *reading) add(h exchange.Host) {
	if n := len(r.list.Hosts); n == cap(r.list.Hosts) {
		room := max(n/4, 16)
		if n >= 64 && r.text > 0 {
			perEntry := float64(r.done) / float64(n+1)
			room = max(16, min(3*n, int(float64(r.text-r.done)/perEntry*1.02)+2))
		}
		hosts := make([]exchange.Host, n, n+room)
		copy(hosts, r.list.Hosts)
		r.list.Hosts = hosts
	}
	r.list.Hosts = append(r.list.Hosts, h)
}
