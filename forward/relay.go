package forward

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Bounds of relayed bodies.
const (
	relayBufferBytes = 16 << 10
	// maxBufferedBytes bounds an answer that is gathered before it goes out.
	maxBufferedBytes = 32 << 20
)

// Errors of an answer.
var (
	errNotVerified        = errors.New("the answer isn't signed by the replica")
	errReplicaFailed      = errors.New("the replica failed to run the request")
	errCallerDisconnected = errors.New("the caller has gone")
)

// handleSendError decides after an exchange without an answer.
func (s *requestState) handleSendError(ctx context.Context, g slots.Grant, err error) (retry bool, _ error) {
	outcome := slots.Failed
	switch {
	case ctx.Err() != nil:
		outcome = slots.Unused
	case errors.Is(err, pool.ErrConnect), errors.Is(err, pool.ErrSilent):
		outcome = slots.Unreachable
	case errors.Is(err, pool.ErrNotSent):
		outcome = slots.Unused
	}
	s.Slots.Release(g, outcome)
	if errors.Is(err, pool.ErrNotSent) {
		s.notRunCount++
	} else {
		s.mayHaveRunCount++
	}
	if outcome != slots.Unused {
		s.avoid = append(s.avoid, g.Replica.ID)
	}
	s.logAttempt(g, outcome, err)
	return s.mayRetry(ctx), err
}

// handleNotRun decides after a replica stated that it didn't run the request.
func (s *requestState) handleNotRun(ctx context.Context, g slots.Grant, res *Response) (retry bool, _ error) {
	outcome := slots.Full
	if res.Misdirected {
		outcome = slots.Replaced
	}
	s.discard(res)
	s.Slots.Release(g, outcome)
	s.notRunCount++
	s.avoid = append(s.avoid, g.Replica.ID)
	err := errors.Newf("replica %s answered %d and did not run the request", g.Replica.ID, res.Status)
	s.logAttempt(g, outcome, err)
	return s.mayRetry(ctx), err
}

// discard reads the short body of an answer that isn't passed on, so that its
// connection can be kept.
func (s *requestState) discard(res *Response) {
	if _, err := io.CopyN(io.Discard, res.Body, relayBufferBytes); err != nil && !errors.Is(err, io.EOF) {
		s.Log.WithError(err).WithField("request", s.req.ID).Debug("refusal without its whole body")
	}
	res.Close()
}

// relay passes an answer on. An error means that the request has no whole
// answer yet.
func (s *requestState) relay(res *Response) (slots.Outcome, error) {
	if !res.Verified {
		return slots.Failed, errNotVerified
	}
	if res.Status >= http.StatusInternalServerError && s.req.Route.Repeatable() && s.mayHaveRunCount < s.req.Route.Attempts {
		s.discard(res)
		return slots.Errored, errReplicaFailed
	}
	if res.Status == http.StatusOK && isEventStream(res.Header) {
		return s.relayEventStream(res)
	}
	if s.begun {
		return slots.Done, errReplicaFailed
	}
	return s.relayBuffered(res)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayBuffered gathers an answer before it goes out, so that one that breaks off
// can be asked for again.
func (s *requestState) relayBuffered(res *Response) (slots.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(res.Body, maxBufferedBytes+1))
	if err != nil {
		return readErrorOutcome(err), errors.Wrap(err, "read answer")
	}
	if len(body) > maxBufferedBytes {
		return slots.Done, verdict.New(verdict.Ran, verdict.CodeIncomplete, "The answer is too large.")
	}
	outcome := slots.Done
	if res.Status == http.StatusInternalServerError {
		outcome = slots.Errored
	}
	s.begin(res.Status, res.Header, int64(len(body)))
	if len(body) > 0 {
		if err := s.sink.Write(body); err != nil {
			return outcome, errors.Mark(err, errCallerDisconnected)
		}
	}
	return outcome, nil
}

func readErrorOutcome(err error) slots.Outcome {
	if errors.Is(err, pool.ErrSilent) {
		return slots.Unreachable
	}
	return slots.Failed
}

func (s *requestState) begin(status int, header http.Header, length int64) {
	if s.begun {
		return
	}
	s.begun = true
	s.sink.Begin(status, header, length)
	s.Metrics.firstByte.Observe(s.Clock.Now().Sub(s.req.Arrived).Seconds())
}

// relayEventStream passes whole events on as they come, so that another replica can
// go on after the last one.
func (s *requestState) relayEventStream(res *Response) (slots.Outcome, error) {
	s.events.pending = nil
	buf := make([]byte, relayBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if err := s.writeToCaller(res, s.events.Feed(buf[:n])); err != nil {
				return slots.Unused, err
			}
		}
		if errors.Is(err, io.EOF) {
			s.begin(res.Status, res.Header, -1)
			return slots.Done, s.writeToCaller(res, s.events.Remainder())
		}
		if err != nil {
			return readErrorOutcome(err), errors.Wrap(err, "read events")
		}
	}
}

func (s *requestState) writeToCaller(res *Response, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	s.begin(res.Status, res.Header, -1)
	return errors.Mark(s.sink.Write(p), errCallerDisconnected)
}
