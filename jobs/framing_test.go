package jobs

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/forward"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

const headerAfter = "After"

// tcpReplica is a forward.Upstream that sends each item to one address over TCP.
type tcpReplica struct {
	pool    *pool.Pool
	address string
	asked   []string
}

func (r *tcpReplica) Send(ctx context.Context, req *forward.Request, s forward.SendArgs) (*forward.Response, error) {
	r.asked = append(r.asked, s.LastEventID)
	out, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+req.Target, strings.NewReader(string(req.Body)))
	if err != nil {
		return nil, err
	}
	out.Header.Set(headerAfter, s.LastEventID)
	res, err := r.pool.Send(ctx, pool.Exchange{Address: r.address, Request: out, DialTimeout: time.Second, FirstByte: s.FirstByteTimeout, Gap: s.GapTimeout})
	if err != nil {
		return nil, err
	}
	return &forward.Response{
		Status: res.Status, Header: res.Header, Length: res.Length, Framing: res.Framing, Body: res.Body,
		ConnectionUse: res.Exchanges, Verified: true, Close: res.Close,
	}, nil
}

// newTCPReplica answers the nth request with the bytes that answers[n] returns, given the
// event after which the run is to go on, and ends the connection then. It reads each
// request to its end, so that the kernel ends the connection with FIN.
func newTCPReplica(t *testing.T, answers []func(after int) string) *tcpReplica {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for _, answer := range answers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			answerTCP(c, answer)
		}
	}()
	return &tcpReplica{pool: pool.New(func() {}), address: l.Addr().String()}
}

func answerTCP(c net.Conn, answer func(after int) string) {
	defer func() { _ = c.Close() }()
	req, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	after := 0
	_, _ = fmt.Sscan(req.Header.Get(headerAfter), &after)
	_, _ = io.WriteString(c, answer(after))
}

const closeDelimitedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// closeDelimitedUpTo answers with the events after the last one up to the given one, and
// the end of the connection after them.
func closeDelimitedUpTo(last int) func(after int) string {
	return func(after int) string { return closeDelimitedHead + events(after+1, last) }
}

// withLengthUpTo is closeDelimitedUpTo with a stated length.
func withLengthUpTo(last int) func(after int) string {
	return func(after int) string {
		body := events(after+1, last)
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// chunkedUpTo is closeDelimitedUpTo in chunks, without the last chunk if cut is true.
func chunkedUpTo(last int, cut bool) func(after int) string {
	return func(after int) string {
		head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		var b strings.Builder
		for n := after + 1; n <= last; n++ {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", len(events(n, n)), events(n, n))
		}
		if !cut {
			b.WriteString("0\r\n\r\n")
		}
		return head + b.String()
	}
}

// A replica process is killed between two events: the kernel ends its connection in order.
// Without a length or chunks the part of the output looks like the whole.
func TestOrderlyEndOfAConnectionDoesNotCompleteAnItem(t *testing.T) {
	rows := []struct {
		name    string
		answers []func(after int) string
		// asked are the events after which the runs are to go on.
		asked []string
	}{
		{"killed, then framed", []func(int) string{closeDelimitedUpTo(2), withLengthUpTo(3)}, []string{"", "2"}},
		{"killed, then in chunks", []func(int) string{closeDelimitedUpTo(2), chunkedUpTo(3, false)}, []string{"", "2"}},
		{"killed in chunks, then framed", []func(int) string{chunkedUpTo(2, true), withLengthUpTo(3)}, []string{"", "2"}},
		{"killed twice, then framed", []func(int) string{closeDelimitedUpTo(1), closeDelimitedUpTo(2), withLengthUpTo(3)}, []string{"", "1", "2"}},
		{"killed, then the rest, confirmed", []func(int) string{closeDelimitedUpTo(2), closeDelimitedUpTo(3), closeDelimitedUpTo(3)}, []string{"", "2", "3"}},
		{"whole, confirmed", []func(int) string{closeDelimitedUpTo(3), closeDelimitedUpTo(3)}, []string{"", "3"}},
		{"whole, confirmed by a framed response", []func(int) string{closeDelimitedUpTo(3), withLengthUpTo(3)}, []string{"", "3"}},
		{"killed in chunks, killed before an event, then framed", []func(int) string{chunkedUpTo(2, true), closeDelimitedUpTo(0), withLengthUpTo(3)}, []string{"", "2", "2"}},
		{"killed before the first event, then framed", []func(int) string{closeDelimitedUpTo(0), withLengthUpTo(3)}, []string{"", ""}},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			replica := newTCPReplica(t, row.answers)
			a.Upstream = replica
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			for range row.answers {
				a.flushNow(t)
				require.Empty(t, c.results("a", 0))
				a.grantNext(t)
			}
			a.flushNow(t)
			require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
			require.Equal(t, row.asked, replica.asked)
		})
	}
}

// A replica in trouble sends the output with a status that is none of HTTP: that is no result
// of the item, and no failed attempt of it.
func TestStatusThatIsNoneOfHTTPIsNoResultOfAnItem(t *testing.T) {
	for _, status := range []string{"000", "099", "600", "999"} {
		for name, whole := range map[string]func(int) string{"length": withLengthUpTo(3), "chunked": chunkedUpTo(3, false)} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, "a")
				a := c.hosts["a"]
				trouble := func(after int) string { return strings.Replace(whole(after), "200 OK", status+" Trouble", 1) }
				a.Upstream = newTCPReplica(t, []func(int) string{trouble, whole})
				require.NoError(t, a.Submit(t.Context(), submission(1)))
				a.grantNext(t)
				a.flushNow(t)
				require.Empty(t, c.results("a", 0))
				a.mu.Lock()
				failures := a.jobs["job"].items[0].failures
				a.mu.Unlock()
				require.Zero(t, failures)
				a.grantNext(t)
				a.flushNow(t)
				require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
			})
		}
	}
}

// The run that confirms the end of an output is no further attempt after a failed one.
func TestEndOfAnOutputIsConfirmedWithoutDelay(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	a.Upstream = newTCPReplica(t, []func(int) string{closeDelimitedUpTo(3), closeDelimitedUpTo(3)})
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	a.grantSlot()
	require.Len(t, a.Demand(false), 1)
	a.mu.Lock()
	it := a.jobs["job"].items[0]
	failures, consecutive := it.failures, it.consecutiveFailures
	a.mu.Unlock()
	require.Zero(t, failures)
	require.Zero(t, consecutive)
}

// The end of an output is not confirmed by a replica of another software version: its
// output is another one.
func TestEndOfAnOutputIsConfirmedByTheSameSoftwareVersion(t *testing.T) {
	c := newCluster(t, "a")
	a := c.hosts["a"]
	replica := newTCPReplica(t, []func(int) string{closeDelimitedUpTo(2), closeDelimitedUpTo(3), withLengthUpTo(3)})
	a.Upstream = replica
	require.NoError(t, a.Submit(t.Context(), submission(1)))
	for _, version := range []string{"v1", "v2", "v2"} {
		require.Eventually(t, func() bool { return len(a.Demand(false)) > 0 }, 3*time.Second, time.Millisecond)
		a.grantSlotOf(version)
	}
	a.flushNow(t)
	require.Equal(t, []Result{{ID: "i0", Done: true, Output: output}}, c.results("a", 0))
	require.Equal(t, []string{"", "", "3"}, replica.asked)
}

// The crash of a replica ends a close-delimited response in order too: the broker is to look
// whether the replica is still there.
func TestEndOfAConnectionIsReportedToTheBroker(t *testing.T) {
	rows := map[string]struct {
		answer  func(int) string
		outcome slots.Outcome
	}{
		"close-delimited": {closeDelimitedUpTo(2), slots.Ended},
		"with a length":   {withLengthUpTo(3), slots.Done},
		"in chunks":       {chunkedUpTo(3, false), slots.Done},
	}
	for name, row := range rows {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, "a")
			a := c.hosts["a"]
			a.Upstream = newTCPReplica(t, []func(int) string{row.answer})
			require.NoError(t, a.Submit(t.Context(), submission(1)))
			require.Equal(t, row.outcome, a.grantSlot())
		})
	}
}
