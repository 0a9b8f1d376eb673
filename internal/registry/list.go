// This file reads a list in discovery's JSON form, entry by entry as it arrives. It must never hold the text of a whole
// list, nor allocate memory for a Content-Length alone.

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
	maxValueBytes = 64 << 10 // of one entry with the space before it, or of a field beside the entries
	maxFields     = 64       // beside the entries

	// maxTextRatio is how many bytes of text are read for each byte of memory that a list may take. The text of a list
	// is at most that much longer.
	maxTextRatio = 4
)

// TooLargeError reports a list that exceeds the memory limit.
type TooLargeError struct {
	Entries         int
	Bytes, MaxBytes int64 // memory of the entries read so far, and the limit
	TextBytes       int64 // read so far, or the Content-Length
}

func (e *TooLargeError) Error() string {
	return fmt.Sprintf("list too large: %d entries read so far take %d bytes of memory, the text has %d bytes or more; "+
		"the limits, which follow from memory_mb, are %d bytes of memory and %d of text",
		e.Entries, e.Bytes, e.TextBytes, e.MaxBytes, e.MaxBytes*maxTextRatio)
}

var errLongValue = errors.New("an entry or field is longer than 64 KiB")

// listEntry is one endpoint in discovery's form.
type listEntry struct {
	Host   string        `json:"host"`
	Dial   string        `json:"dial"`
	Site   scratchString `json:"site"`
	Class  scratchString `json:"class"`
	Block  int           `json:"block"`
	Health scratchString `json:"health"`
	Share  float64       `json:"share"`
}

const noBlock = math.MinInt // the entry has no block

// host converts an entry.
func (e *listEntry) host(names *settings.Names) (exchange.Host, error) {
	h := exchange.Host{
		Peer: exchange.Peer{Name: e.Host, Addr: e.Dial},
		Kind: e.Class.indexIn(names.Kinds),
		Zone: e.Site.indexIn(names.Zones),
		Rate: e.Share,
	}
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
		return h, fmt.Errorf("host %q, dial %q: host or block is missing, or dial is no valid address", e.Host, e.Dial)
	}
	if e.Block != noBlock {
		h.Dest = e.Block
	}
	return h, nil
}

// scratchString is a text that is only compared. Its memory is used again for the next entry.
type scratchString []byte

// UnmarshalJSON implements [json.Unmarshaler].
func (s *scratchString) UnmarshalJSON(text []byte) error {
	needsDecoding := func(b byte) bool { return b == '\\' || b >= 0x80 } // an escape or a byte beyond ASCII
	if len(text) > 1 && text[0] == '"' && !slices.ContainsFunc(text, needsDecoding) {
		*s = append((*s)[:0], text[1:len(text)-1]...)
		return nil
	}
	var decoded string
	err := json.Unmarshal(text, &decoded)
	*s = append((*s)[:0], decoded...)
	return err
}

// indexIn returns the index of the text among the names, or len(names) if it is not there.
func (s scratchString) indexIn(names []string) int {
	for i, name := range names {
		if name == string(s) {
			return i
		}
	}
	return len(names)
}

func validAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	n, portErr := strconv.Atoi(port)
	return err == nil && net.ParseIP(host) != nil && portErr == nil && n > 0 && n < 1<<16
}

// ignoredValue decodes any value and keeps nothing of it.
type ignoredValue struct{}

// UnmarshalJSON implements [json.Unmarshaler].
func (ignoredValue) UnmarshalJSON([]byte) error { return nil }

// boundedReader limits the whole text of a list, and what the decoder buffers for one value that does not end.
type boundedReader struct {
	src     io.Reader
	read    int64 // bytes passed on
	decoded int64 // bytes of those that have been decoded
	max     int64 // limit of read
}

// Read implements [io.Reader].
func (r *boundedReader) Read(p []byte) (int, error) {
	if r.read-r.decoded > maxValueBytes {
		return 0, errLongValue
	}
	if r.read > r.max {
		return 0, &TooLargeError{TextBytes: r.read}
	}
	n, err := r.src.Read(p[:min(len(p), maxValueBytes)])
	r.read += int64(n)
	return n, err
}

// listReader reads one list.
type listReader struct {
	boundedReader
	dec        *json.Decoder
	names      *settings.Names
	maxBytes   int64 // memory that the list may take
	bytes      int64 // memory that its entries take so far
	textBytes  int64 // length of the whole text, 0 if unknown
	seq        *int64
	foundHosts bool
	list       exchange.Listing
}

// ParseList reads a list that is in memory already. A single invalid entry makes the whole list invalid.
func ParseList(text []byte, names *settings.Names) (seq int64, l exchange.Listing, err error) {
	return readList(bytes.NewReader(text), int64(len(text)), names, math.MaxInt64/maxTextRatio)
}

// readList reads a list as it arrives. textBytes is the length of the text, or negative if unknown. A single invalid
// entry makes the whole list invalid. A list that takes more than maxBytes of memory is a TooLargeError.
func readList(src io.Reader, textBytes int64, names *settings.Names, maxBytes int64) (seq int64, l exchange.Listing,
	err error) {
	r := &listReader{
		boundedReader: boundedReader{src: src, max: maxBytes * maxTextRatio},
		names:         names,
		maxBytes:      maxBytes,
		textBytes:     max(textBytes, 0),
	}
	if r.textBytes > r.max { // read none of it
		return 0, l, &TooLargeError{MaxBytes: maxBytes, TextBytes: r.textBytes}
	}
	r.dec = json.NewDecoder(&r.boundedReader)
	if err := r.readAll(); err != nil {
		var tooLarge *TooLargeError
		if errors.As(err, &tooLarge) {
			return 0, l, &TooLargeError{
				Entries:   len(r.list.Hosts),
				Bytes:     r.bytes,
				MaxBytes:  maxBytes,
				TextBytes: max(r.textBytes, r.read),
			}
		}
		return 0, l, fmt.Errorf("invalid list: %w", err)
	}
	return *r.seq, r.list, nil
}

// readAll reads the JSON object of the list to the end of the text.
func (r *listReader) readAll() error {
	if t, err := r.dec.Token(); err != nil || t != json.Delim('{') {
		return errorOr(err, "not a JSON object")
	}
	for n := 0; r.dec.More(); n++ {
		if n == maxFields {
			return fmt.Errorf("more than %d fields", maxFields)
		}
		if err := r.readField(); err != nil {
			return err
		}
		r.decoded = r.dec.InputOffset()
	}
	if _, err := r.dec.Token(); err != nil { // the end of the object, or why it is missing
		return errorOr(err, "")
	}
	if _, err := r.dec.Token(); !errors.Is(err, io.EOF) {
		return errorOr(err, "data after the end of the JSON object")
	}
	if r.seq == nil || !r.foundHosts {
		return errors.New(`field "seq" or "hosts" is missing`)
	}
	return nil
}

// errorOr returns err, with io.EOF turned into io.ErrUnexpectedEOF, or an error with this text if err is nil.
func errorOr(err error, text string) error {
	switch {
	case err == nil:
		return errors.New(text)
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	}
	return err
}

// readField reads a field's name and value.
func (r *listReader) readField() error {
	name, err := r.dec.Token()
	if err != nil {
		return errorOr(err, "")
	}
	key, _ := name.(string) // the decoder allows nothing else here
	switch {
	case strings.EqualFold(key, "seq"):
		return r.dec.Decode(&r.seq)
	case strings.EqualFold(key, "whole"):
		return r.dec.Decode(&r.list.Whole)
	case strings.EqualFold(key, "hosts"):
		return r.readHosts()
	}
	return r.dec.Decode(&ignoredValue{})
}

// readHosts reads the array of entries; null counts as an absent field.
func (r *listReader) readHosts() error {
	r.list.Hosts, r.bytes, r.foundHosts = nil, 0, false
	t, err := r.dec.Token()
	if err == nil && t == nil {
		return nil
	}
	if err != nil || t != json.Delim('[') {
		return errorOr(err, `field "hosts" is not an array`)
	}
	var e listEntry
	for r.dec.More() {
		e = listEntry{Site: e.Site[:0], Class: e.Class[:0], Health: e.Health[:0], Block: noBlock}
		if err := r.dec.Decode(&e); err != nil {
			return err
		}
		r.decoded = r.dec.InputOffset()
		h, err := e.host(r.names)
		if err != nil {
			return fmt.Errorf("entry %d: %w", len(r.list.Hosts), err)
		}
		if r.bytes += hostBytes(h); r.bytes > r.maxBytes {
			return &TooLargeError{}
		}
		r.appendHost(h)
	}
	r.foundHosts = true
	_, err = r.dec.Token()
	return err
}

// hostBytes is how much memory an endpoint takes.
func hostBytes(h exchange.Host) int64 {
	return int64(unsafe.Sizeof(h)) + int64(len(h.Name)+len(h.Addr))
}

// Growth of the list of entries while it is read.
const (
	minGrowth      = 16   // entries
	estimateFrom   = 64   // entries, from which on the mean length of an entry is known well enough
	estimateMargin = 1.02 // factor on the estimated number of entries that are still to come
)

// appendHost appends an entry. The list grows by what has come: by a quarter, or where the length of the text is known
// by the estimated rest, but to four times its length at most.
func (r *listReader) appendHost(h exchange.Host) {
	if n := len(r.list.Hosts); n == cap(r.list.Hosts) {
		growth := max(n/4, minGrowth)
		if n >= estimateFrom && r.textBytes > 0 {
			perEntry := float64(r.decoded) / float64(n+1)
			estimate := int(float64(r.textBytes-r.decoded)/perEntry*estimateMargin) + 2
			growth = max(minGrowth, min(3*n, estimate))
		}
		hosts := make([]exchange.Host, n, n+growth)
		copy(hosts, r.list.Hosts)
		r.list.Hosts = hosts
	}
	r.list.Hosts = append(r.list.Hosts, h)
}
