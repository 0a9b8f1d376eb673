// This file owns the format of calls and responses on the wire. It must never return an outcome that the response does
// not prove: with a response that cannot be read, the call may have run.

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
	maxResponseBytes   = 64 << 10 // body of a response
	maxKeptBufferBytes = 16 << 10 // a connection keeps no larger buffer for its next call
)

// Status codes of responses that say the most.
const (
	statusOK                 = 200
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
)

// appendCall appends the request that makes a call. closes asks the endpoint to close the connection after it.
func appendCall(buf []byte, call *exchange.Call, closes bool) []byte {
	fields := http1.Header{
		{Name: "Host", Value: call.To.Addr},
		{Name: "Req-Deadline-Ms", Value: strconv.FormatInt(max(1, call.Timeout.Milliseconds()), 10)},
	}
	if closes {
		fields = append(fields, http1.Field{Name: "Connection", Value: "close"})
	}
	if len(call.Items) == 1 {
		m := call.Items[0]
		fields = append(fields, http1.Field{Name: "Req-Id", Value: m.ID})
		if m.IdempotencyKey != "" {
			fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: m.IdempotencyKey})
		}
		return http1.AppendRequest(buf, "POST", "/receive", fields, m.Body)
	}
	return http1.AppendRequest(buf, "POST", "/receive-many", fields, batchBody(call.Items))
}

// batchBody returns the body of a call with several messages: for each message a line with its ID, its idempotency key
// ("-" for none) and its length, then its bytes.
func batchBody(messages []*message.Message) []byte {
	var body []byte
	for _, m := range messages {
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

// sameResults returns the same result for every message of a call.
func sameResults(call *exchange.Call, r exchange.ItemResult) []exchange.ItemResult {
	results := make([]exchange.ItemResult, len(call.Items))
	for i := range results {
		results[i] = r
	}
	return results
}

// itemResults returns the results of a call's messages from its response. lost is the outcome without a response: the
// call may have run. It also applies to an invalid or truncated response, whatever its status line says, because a
// refusal that was not received completely proves nothing; the one exception is a 200 to a call with one message. A
// retry-after counts as soon as the header was received completely, even if the body is invalid. first reports whether
// this is the first response on its connection: on a later one, a 200 that was not received completely proves nothing
// either, as it may be another call's. named reports that a valid response names each message of a call with several.
//
// A 503 that closes a connection with its first response refuses the connection, not the call: the endpoint has reached
// its limit of connections (the protocol's "too many connections"), and the module is told that no connection could be
// opened. Otherwise that limit would be taken for a limit on calls, which lowers the rates of calls and leaves idle
// connections open. The rule is wrong for an endpoint that closes after every response and refuses the first call
// because of its load: the module then sees failures where a lower rate would do.
func itemResults(call *exchange.Call, resp *http1.Response, err error, lost rules.Outcome, first bool) (
	results []exchange.ItemResult, named bool) {
	single := len(call.Items) == 1
	if resp == nil {
		return sameResults(call, exchange.ItemResult{Outcome: lost}), false
	}
	r := exchange.ItemResult{Outcome: lost, RetryAfter: retryAfter(resp.Header)}
	if err != nil {
		if single && first && resp.Status == statusOK {
			r.Outcome = rules.OK
		}
		return sameResults(call, r), false
	}
	r.Report = loadReport(resp.Header)
	switch resp.Status {
	case statusOK:
		if !single {
			return batchResults(call, string(resp.Body), r)
		}
		r.Outcome = rules.OK
	case statusTooManyRequests:
		r.Outcome = rules.Refused
	case statusServiceUnavailable:
		switch {
		case resp.Header.Get("Slots-Taken") == "1":
			r.Outcome, r.NoFreeSlot = rules.NotSent, true
		case first && resp.Close:
			r.Outcome, r.ConnectionLimitReached = rules.ConnectError, true
		default:
			r.Outcome = rules.Refused
		}
	case 504: // no attempts left
		r.Outcome = rules.NotSent
	case 410: // the message has already ended at the endpoint
		r.Outcome, r.Finished = rules.NotSent, true
	default:
		r.Outcome = rules.Errored
		// a batch that is refused for its format or size has not run
		if !single && (resp.Status == 400 || resp.Status == 413) {
			r.Outcome = rules.NotSent
		}
	}
	return sameResults(call, r), false
}

// batchItemResult returns the result that a status word stands for in the response to a call with several messages.
func batchItemResult(status string) (r exchange.ItemResult, known bool) {
	switch status {
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

// batchResults reads the response to a call with several messages: a line with ID and status word for each. If a line
// cannot be read, is missing, or has an ID twice or one that is not in the call, the response is invalid and every
// message may have run; named is then false.
func batchResults(call *exchange.Call, body string, common exchange.ItemResult) (
	results []exchange.ItemResult, named bool) {
	lost := common
	lost.Outcome = rules.Reset
	statuses := map[string]string{} // by message ID
	for line := range strings.Lines(body) {
		words := strings.Fields(line)
		if len(words) != 2 || statuses[words[0]] != "" {
			return sameResults(call, lost), false
		}
		statuses[words[0]] = words[1]
	}
	results = sameResults(call, common)
	for i, m := range call.Items {
		r, known := batchItemResult(statuses[m.ID])
		if !known {
			return sameResults(call, lost), false
		}
		results[i].Outcome, results[i].Finished = r.Outcome, r.Finished
	}
	if len(statuses) != len(call.Items) {
		return sameResults(call, lost), false
	}
	return results, true
}

// maxRetryAfter limits the retry-after of an endpoint. A longer one is taken for a mistake of the endpoint, which would
// otherwise block the destination for good.
const maxRetryAfter = time.Hour

// retryAfter returns the time after which a response allows the next call, 0 if it gives none. Wait-Ms holds whole or
// decimal milliseconds; of several fields the longest counts, and fields with anything else are ignored.
func retryAfter(h http1.Header) (longest time.Duration) {
	for _, f := range h {
		if !strings.EqualFold(f.Name, "Wait-Ms") || strings.Trim(f.Value, "0123456789.") != "" {
			continue
		}
		ms, _ := strconv.ParseFloat(f.Value, 64) // on an error 0, or infinity if out of range; both are fine
		longest = max(longest, time.Duration(min(ms*float64(time.Millisecond), float64(maxRetryAfter))))
	}
	return longest
}

// loadReport returns what a response reports of the destination's limit: nothing if the report is not fully valid.
func loadReport(h http1.Header) rules.Report {
	var fields map[string]float64
	if text := h.Get("Srv-Load"); text == "" || json.Unmarshal([]byte(text), &fields) != nil {
		return rules.Report{}
	}
	for _, value := range fields {
		if value < 0 {
			return rules.Report{}
		}
	}
	return rules.Report{Remaining: fields["x0"], Limit: fields["x1"]}
}
