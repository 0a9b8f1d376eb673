// This file owns the form of calls and answers on the wire. It must never give an outcome that the answer does not
// bear out: what cannot be read counts as what may have run.

package outbound

import (
	"cmp"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/http1"
	"eiderhaven/internal/message"
	"eiderhaven/rules"
)

const (
	maxAnswer = 64 << 10
	maxKept   = 16 << 10 // a larger buffer is not kept for the next call
)

// appendCall encodes a call.
func appendCall(buf []byte, call *exchange.Call) []byte {
	fields := http1.Header{{Name: "Host", Value: call.To.Addr},
		{Name: "Req-Deadline-Ms", Value: strconv.FormatInt(max(1, call.Timeout.Milliseconds()), 10)}}
	if len(call.Items) == 1 {
		m := call.Items[0]
		fields = append(fields, http1.Field{Name: "Req-Id", Value: m.ID})
		if m.IdempotencyKey != "" {
			fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: m.IdempotencyKey})
		}
		return http1.AppendRequest(buf, "POST", "/receive", fields, m.Body)
	}
	return http1.AppendRequest(buf, "POST", "/receive-many", fields, frames(call.Items))
}

// frames is the body of a call with several messages: for each a line with its name, its key and its length, then
// its bytes.
func frames(list []*message.Message) []byte {
	var body []byte
	for _, m := range list {
		body = append(body, m.ID...)
		body = append(body, ' ')
		body = append(body, cmp.Or(m.IdempotencyKey, "-")...)
		body = append(body, ' ')
		body = strconv.AppendInt(body, int64(len(m.Body)), 10)
		body = append(body, "\r\n"...)
		body = append(body, m.Body...)
		body = append(body, "\r\n"...)
	}
	return body
}

// same gives every message of a call the same result.
func same(call *exchange.Call, r exchange.ItemResult) []exchange.ItemResult {
	out := make([]exchange.ItemResult, len(call.Items))
	for i := range out {
		out[i] = r
	}
	return out
}

// outcomes reads an answer. lost is the outcome where none came: it may have run. So may what got a spoilt answer,
// whatever its first line says: a refusal that cannot be read whole proves nothing. Only a 200 to a call with one
// message stands. A wait is told by any answer whose header came whole, spoilt behind it or not. fresh tells that it is the
// connection's first answer.
//
// A 503 that ends a fresh connection turns away the connection, not the call: the endpoint holds as many as it can
// (the protocol's "too many connections"), and to the module that is no connection had. Guards against taking a full
// table for a limit on calls, which cuts paces and leaves idle connections where they are. Wrong where a peer closes
// after each answer and refuses the first call for its load: then the module sees failures where a pace would do.
func outcomes(call *exchange.Call, resp *http1.Response, err error, lost rules.Outcome, fresh bool) []exchange.ItemResult {
	single := len(call.Items) == 1
	if resp == nil {
		return same(call, exchange.ItemResult{Outcome: lost})
	}
	r := exchange.ItemResult{Outcome: lost, RetryAfter: told(resp.Header)}
	if err != nil {
		if single && resp.Status == 200 {
			r.Outcome = rules.OK
		}
		return same(call, r)
	}
	r.Report = report(resp.Header)
	switch resp.Status {
	case 200:
		if !single {
			return each(call, string(resp.Body), r)
		}
		r.Outcome = rules.OK
	case 429:
		r.Outcome = rules.Refused
	case 503:
		switch {
		case resp.Header.Get("Slots-Taken") == "1":
			r.Outcome, r.NoFreeSlot = rules.NotSent, true
		case fresh && resp.Close:
			r.Outcome, r.ConnectionLimitReached = rules.ConnectError, true
		default:
			r.Outcome = rules.Refused
		}
	case 504:
		r.Outcome = rules.NotSent
	case 410:
		r.Outcome, r.Finished = rules.NotSent, true
	default:
		r.Outcome = rules.Errored
		if !single && (resp.Status == 400 || resp.Status == 413) {
			r.Outcome = rules.NotSent
		}
	}
	return same(call, r)
}

// end is what the word in an answer to several messages says of one of them.
func end(word string) (r exchange.ItemResult, known bool) {
	switch word {
	case "accepted":
		return exchange.ItemResult{Outcome: rules.OK}, true
	case "fault":
		return exchange.ItemResult{Outcome: rules.Errored}, true
	case "deferred":
		return exchange.ItemResult{Outcome: rules.Refused}, true
	case "expired":
		return exchange.ItemResult{Outcome: rules.NotSent, Finished: true}, true
	case "no_more":
		return exchange.ItemResult{Outcome: rules.NotSent}, true
	}
	return exchange.ItemResult{}, false
}

// each reads the answer to a call with several messages: a line for each. If any line cannot be read, names no message
// of the call or one twice, or is missing, the answer is spoilt and all of them may have run.
func each(call *exchange.Call, body string, common exchange.ItemResult) []exchange.ItemResult {
	lost := common
	lost.Outcome = rules.Reset
	told := map[string]string{}
	for line := range strings.Lines(body) {
		words := strings.Fields(line)
		if len(words) != 2 || told[words[0]] != "" {
			return same(call, lost)
		}
		told[words[0]] = words[1]
	}
	out := same(call, common)
	for i, m := range call.Items {
		r, known := end(told[m.ID])
		if !known {
			return same(call, lost)
		}
		out[i].Outcome, out[i].Finished = r.Outcome, r.Finished
	}
	if len(told) != len(call.Items) {
		return same(call, lost)
	}
	return out
}

// mostWait is the longest wait believed: more is a slip of the other side's, which would shut a destination for good.
const mostWait = time.Hour

// told is the wait that an answer asks for, 0 if none: the longest of those told, in whole or decimal milliseconds. What is
// not such a number tells none and takes nothing from another.
func told(h http1.Header) (longest time.Duration) {
	for _, f := range h {
		if !strings.EqualFold(f.Name, "Wait-Ms") || strings.Trim(f.Value, "0123456789.") != "" {
			continue
		}
		ms, _ := strconv.ParseFloat(f.Value, 64) // 0 for no number, infinite for one beyond all range
		longest = max(longest, time.Duration(min(ms*float64(time.Millisecond), float64(mostWait))))
	}
	return longest
}

// report is what an answer tells of the destination's limit. One that cannot be read whole tells nothing.
func report(h http1.Header) rules.Report {
	var fields map[string]float64
	if text := h.Get("Srv-Load"); text == "" || json.Unmarshal([]byte(text), &fields) != nil {
		return rules.Report{}
	}
	for _, v := range fields {
		if v < 0 {
			return rules.Report{}
		}
	}
	return rules.Report{Remaining: fields["x0"], Limit: fields["x1"]}
}
