package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/route"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Limits of relayed bodies.
const (
	// relayBufferBytes is the read size for event streams, and bounds what is
	// read of a discarded body.
	relayBufferBytes = 16 << 10
	// maxBufferedBytes bounds the part of a response that is buffered before it is
	// sent to the caller, so that the request can still be retried.
	maxBufferedBytes = 256 << 10
	// maxResponseBytes bounds a response that is no event stream.
	maxResponseBytes = 32 << 20
	// slowCallerWrite is the time for one piece of a response from which on its caller
	// counts as slow.
	slowCallerWrite = time.Second
)

// Errors of relaying a response.
var (
	errNotVerified        = errors.New("response is not signed by the replica")
	errReplicaFailed      = errors.New("replica failed to run the request")
	errCallerDisconnected = errors.New("caller disconnected")
	errTooLarge           = errors.Newf("response is larger than %d bytes", maxResponseBytes)
	errPartlySent         = errors.New("part of a response that can't be resumed was sent")
	errNotRest            = errors.New("response is not the rest of the stream")
	errEndNotConfirmed    = errors.New("end of the connection doesn't show that the stream is complete")
	errNoProgress         = errors.Mark(errors.New("event stream sends bytes but no events"), pool.ErrSilent)
)

// handleSendError releases the slot of an attempt without a response and
// reports whether to retry the request.
func (s *requestState) handleSendError(ctx context.Context, g slots.Grant, err error) (retry bool, _ error) {
	outcome := FailureOutcome(err)
	if ctx.Err() != nil {
		outcome = slots.Unused
	}
	s.Slots.Release(g, outcome)
	if errors.Is(err, pool.ErrNotSent) {
		s.notRunCount++
	} else {
		s.mayHaveRunCount++
	}
	if outcome != slots.Unused || errors.Is(err, ErrReplicaLeaving) {
		s.avoid = append(s.avoid, g.Replica.ID)
	}
	s.logAttempt(g, outcome, err)
	return s.mayRetry(ctx), err
}

// handleNotRun releases the slot of a replica that stated that it did not run
// the request, and reports whether to retry the request.
func (s *requestState) handleNotRun(ctx context.Context, g slots.Grant, res *Response) (retry bool, _ error) {
	outcome := slots.Full
	if res.Misdirected {
		outcome = slots.Replaced
	}
	s.discard(res)
	s.Slots.Release(g, outcome)
	s.notRunCount++
	s.avoid = append(s.avoid, g.Replica.ID)
	err := errors.Newf("replica %s answered with status %d and did not run the request", g.Replica.ID, res.Status)
	s.logAttempt(g, outcome, err)
	return s.mayRetry(ctx), err
}

// discard reads the short body of a response that is not relayed, so that its
// connection can be reused.
func (s *requestState) discard(res *Response) {
	if _, err := io.CopyN(io.Discard, res.Body, relayBufferBytes); err != nil && !errors.Is(err, io.EOF) {
		s.Log.WithError(err).WithField("request", s.req.ID).Debug("cannot read the body of a discarded response")
	}
	res.Close()
}

// relay sends a response to the caller. An error means that the caller has not
// received a complete response.
func (s *requestState) relay(res *Response) (slots.Outcome, error) {
	if !res.Verified {
		return slots.Failed, errNotVerified
	}
	if res.Status >= http.StatusInternalServerError && s.req.Route.Repeatable() && s.mayHaveRunCount < s.req.Route.MaxAttempts {
		s.discard(res)
		return slots.Errored, errReplicaFailed
	}
	if res.Status == http.StatusOK && pool.IsEventStream(res.Header) {
		return s.relayEventStream(res)
	}
	if s.begun || s.askedAfter != "" && isSuccess(res.Status) {
		return outcomeOfWrongRest(res.Status), errors.Wrapf(errNotRest, "status %d, content type %q", res.Status, res.Header.Get("Content-Type"))
	}
	return s.relayBody(res)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// outcomeOfWrongRest returns the outcome of an attempt that was to bring the rest of a
// stream and brought a response with this status.
func outcomeOfWrongRest(status int) slots.Outcome {
	switch {
	case isSuccess(status):
		return slots.Failed
	case status >= http.StatusInternalServerError:
		return slots.Errored
	}
	return slots.Done
}

// relayBody relays a response that is no event stream. The first part of it is
// buffered, so that the request can be retried if the response breaks off there.
func (s *requestState) relayBody(res *Response) (slots.Outcome, error) {
	share := unfinishedShare{of: s.Unfinished}
	defer share.release()
	first, err := share.readFirst(res.Body, maxBufferedBytes+1)
	if err != nil {
		return s.readErrorOutcome(err), errors.Wrap(err, "read response body")
	}
	outcome := slots.Done
	if res.Status == http.StatusInternalServerError {
		outcome = slots.Errored
	}
	if len(first) <= maxBufferedBytes {
		s.begin(res.Status, res.Header, int64(len(first)))
		return outcome, s.writeToCaller(res, first)
	}
	readErr, err := s.relayLargeBody(res, first)
	if readErr != nil {
		return s.readErrorOutcome(readErr), errors.Mark(errors.Wrap(readErr, "read response body"), errPartlySent)
	}
	if err != nil {
		return outcome, errors.Mark(err, errPartlySent)
	}
	return outcome, nil
}

// relayLargeBody sends a body of which the first part was read as it arrives, up to
// maxResponseBytes. It returns an error of reading the body apart from any other.
func (s *requestState) relayLargeBody(res *Response, first []byte) (readErr, err error) {
	s.begin(res.Status, res.Header, res.Length)
	if err := s.writeToCaller(res, first); err != nil {
		return nil, err
	}
	buf := make([]byte, relayBufferBytes)
	for total := len(first); ; {
		n, readErr := res.Body.Read(buf)
		if total += n; total > maxResponseBytes {
			return nil, verdict.Wrap(errTooLarge, verdict.Ran, verdict.CodeIncomplete, "The answer is too large.")
		}
		if err := s.writeToCaller(res, buf[:n]); err != nil {
			return nil, err
		}
		if errors.Is(readErr, io.EOF) {
			return nil, nil
		}
		if readErr != nil {
			return readErr, nil
		}
	}
}

// readErrorOutcome returns the outcome of an attempt whose response can't be
// read to its end. Replicas cut off responses that stay unread, so the end of one that a
// slow caller held up says nothing about its replica, nor does that of what carried it.
func (s *requestState) readErrorOutcome(err error) slots.Outcome {
	if s.longestWrite >= slowCallerWrite {
		return slots.Unused
	}
	return FailureOutcome(err)
}

// FailureOutcome returns what an error of an Upstream, or of reading its response, says about
// the replica.
func FailureOutcome(err error) slots.Outcome {
	switch {
	case errors.Is(err, pool.ErrCarrier):
		return slots.Unused
	case errors.Is(err, pool.ErrConnect), errors.Is(err, pool.ErrSilent):
		return slots.Unreachable
	case errors.Is(err, pool.ErrNotSent):
		return slots.Unused
	}
	return slots.Failed
}

// begin sends the status and the headers, unless an earlier attempt has sent
// them.
func (s *requestState) begin(status int, header http.Header, length int64) {
	if s.begun {
		return
	}
	s.begun = true
	s.pinToGrant()
	s.sink.Begin(status, header, length)
	s.Metrics.firstByte.Observe(s.Clock.Now().Sub(s.req.Arrived).Seconds())
}

// pinToGrant restricts the rest of the response to the software version of the
// replica that has begun it.
func (s *requestState) pinToGrant() {
	if s.pinned {
		return
	}
	s.pinned, s.softwareVersion = true, s.grant.Replica.SoftwareVersion
	if stream := s.req.Stream(); stream != "" {
		firstAttempt := s.mayHaveRunCount+s.notRunCount == 1
		s.Slots.StreamBegan(stream, s.grant, firstAttempt)
	}
}

// relayEventStream sends complete events as they arrive, so that another
// replica can resume the stream after the last one.
func (s *requestState) relayEventStream(res *Response) (slots.Outcome, error) {
	s.events.IDs = idRule(s.req.Route)
	s.events.Reset(s.lastEventID())
	buf := make([]byte, relayBufferBytes)
	progress := progress{dataLines: s.events.DataLines, at: s.Clock.Now()}
	before := s.events.DataLines
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			complete, feedErr := s.events.Feed(buf[:n])
			s.timer.Record(s.Clock.Now(), s.events.DataLines-before)
			if err := s.writeToCaller(res, complete); err != nil {
				return slots.Unused, err
			}
			if feedErr != nil {
				return slots.Failed, feedErr
			}
			if s.isStalled(&progress) {
				return slots.Unreachable, errNoProgress
			}
		}
		if errors.Is(err, io.EOF) {
			return s.endEventStream(res)
		}
		if err != nil {
			return s.readErrorOutcome(err), errors.Wrap(err, "read event stream")
		}
	}
}

// idRule returns the rule for the ids of a route's events.
func idRule(rt *route.Route) IDRule {
	switch {
	case rt.Kind != route.Stream:
		return AnyIDs
	case rt.Resumable:
		return ConsecutiveIDs
	}
	return IncreasingIDs
}

// progress is when a stream last brought data.
type progress struct {
	dataLines int
	at        time.Time
}

// isStalled reports whether to give up a stream that has brought bytes but no data for
// the longest pause that its route allows.
func (s *requestState) isStalled(p *progress) bool {
	now := s.Clock.Now()
	if s.events.DataLines > p.dataLines {
		p.dataLines, p.at = s.events.DataLines, now
		return false
	}
	if s.giveUp == nil || s.req.Route.MaxGap <= 0 || now.Sub(p.at) <= s.req.Route.MaxGap {
		return false
	}
	p.at = now
	return s.giveUp()
}

// endEventStream checks a stream whose body has ended. The end of the body alone
// doesn't show that the stream is complete: a close-delimited body also ends when
// its replica fails.
func (s *requestState) endEventStream(res *Response) (slots.Outcome, error) {
	if err := s.events.CheckEnd(res.Framing, s.askedAfter != ""); err != nil {
		return s.readErrorOutcome(err), err
	}
	if s.resumable() && !s.ending.Proves(res.Framing, s.lastEventID()) {
		return slots.Ended, errEndNotConfirmed
	}
	s.begin(res.Status, res.Header, -1)
	return slots.Done, nil
}

func (s *requestState) writeToCaller(res *Response, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	s.begin(res.Status, res.Header, -1)
	before := s.Clock.Now()
	err := s.sink.Write(p)
	s.longestWrite = max(s.longestWrite, s.Clock.Now().Sub(before))
	return errors.Mark(err, errCallerDisconnected)
}
