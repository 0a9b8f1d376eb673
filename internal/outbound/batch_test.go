package outbound

import (
	"fmt"
	"strings"
	"testing"

	"eiderhaven/internal/exchange"
	"eiderhaven/internal/message"
)

// TestBatchedBytesIsTheLengthOfTheBody guards against calls that are longer than the messages in them were reckoned to be.
func TestBatchedBytesIsTheLengthOfTheBody(t *testing.T) {
	var all []*message.Message
	sum := 0
	for i, length := range []int{0, 1, 9, 10, 999, 1000, 65_536} {
		m := &message.Message{ID: fmt.Sprint("m", 1<<(4*i)), Body: []byte(strings.Repeat("x", length))}
		if i%2 == 0 {
			m.IdempotencyKey = fmt.Sprint("key-", i)
		}
		all = append(all, m)
		sum += exchange.BatchedBytes(m)
	}
	if got := len(batchBody(all)); got != sum {
		t.Errorf("a body of %d bytes, reckoned as %d", got, sum)
	}
}
