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
	relayBytes = 16 << 10
	// maxBody bounds an answer that is gathered before it goes out.
	maxBody = 32 << 20
)

// Errors of an answer.
var (
	errNotGenuine = errors.New("the answer isn't signed by the replica")
	errServer     = errors.New("the replica failed to run the request")
	errCallerGone = errors.New("the caller has gone")
)

// sendFailed decides after an exchange without an answer.
func (s *run) sendFailed(ctx context.Context, g slots.Grant, err error) (again bool, _ error) {
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
		s.notRun++
	} else {
		s.ran++
	}
	if outcome != slots.Unused {
		s.avoid = append(s.avoid, g.Replica.ID)
	}
	s.log(g, outcome, err)
	return s.mayRepeat(ctx), err
}

// turnedAway decides after a replica stated that it didn't run the request.
func (s *run) turnedAway(ctx context.Context, g slots.Grant, ans *Response) (again bool, _ error) {
	outcome := slots.Full
	if ans.Misdirected {
		outcome = slots.Replaced
	}
	s.drop(ans)
	s.Slots.Release(g, outcome)
	s.notRun++
	s.avoid = append(s.avoid, g.Replica.ID)
	err := errors.Newf("replica %s answered %d and did not run the request", g.Replica.ID, ans.Status)
	s.log(g, outcome, err)
	return s.mayRepeat(ctx), err
}

// drop reads the short body of an answer that isn't passed on, so that its
// connection can be kept.
func (s *run) drop(ans *Response) {
	if _, err := io.CopyN(io.Discard, ans.Body, relayBytes); err != nil && !errors.Is(err, io.EOF) {
		s.Log.WithError(err).WithField("request", s.req.ID).Debug("refusal without its whole body")
	}
	ans.Close()
}

// relay passes an answer on. An error means that the request has no whole
// answer yet.
func (s *run) relay(ans *Response) (slots.Outcome, error) {
	if !ans.Verified {
		return slots.Failed, errNotGenuine
	}
	if ans.Status >= http.StatusInternalServerError && s.req.Route.Repeatable() && s.ran < s.req.Route.MaxAttempts {
		s.drop(ans)
		return slots.Errored, errServer
	}
	if ans.Status == http.StatusOK && isEvents(ans.Header) {
		return s.relayEvents(ans)
	}
	if s.begun {
		return slots.Done, errServer
	}
	return s.relayWhole(ans)
}

func isEvents(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayWhole gathers an answer before it goes out, so that one that breaks off
// can be asked for again.
func (s *run) relayWhole(ans *Response) (slots.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(ans.Body, maxBody+1))
	if err != nil {
		return failureOf(err), errors.Wrap(err, "read answer")
	}
	if len(body) > maxBody {
		return slots.Done, verdict.New(verdict.Ran, verdict.CodeIncomplete, "The answer is too large.")
	}
	outcome := slots.Done
	if ans.Status == http.StatusInternalServerError {
		outcome = slots.Errored
	}
	s.begin(ans.Status, ans.Header, int64(len(body)))
	if len(body) > 0 {
		if err := s.sink.Write(body); err != nil {
			return outcome, errors.Mark(err, errCallerGone)
		}
	}
	return outcome, nil
}

func failureOf(err error) slots.Outcome {
	if errors.Is(err, pool.ErrSilent) {
		return slots.Unreachable
	}
	return slots.Failed
}

func (s *run) begin(status int, header http.Header, length int64) {
	if s.begun {
		return
	}
	s.begun = true
	s.sink.Begin(status, header, length)
	s.Metrics.firstByte.Observe(s.Clock.Now().Sub(s.req.Arrived).Seconds())
}

// relayEvents passes whole events on as they come, so that another replica can
// go on after the last one.
func (s *run) relayEvents(ans *Response) (slots.Outcome, error) {
	s.events.rest = nil
	buf := make([]byte, relayBytes)
	for {
		n, err := ans.Body.Read(buf)
		if n > 0 {
			if err := s.pass(ans, s.events.Feed(buf[:n])); err != nil {
				return slots.Unused, err
			}
		}
		if errors.Is(err, io.EOF) {
			s.begin(ans.Status, ans.Header, -1)
			return slots.Done, s.pass(ans, s.events.Remainder())
		}
		if err != nil {
			return failureOf(err), errors.Wrap(err, "read events")
		}
	}
}

func (s *run) pass(ans *Response, p []byte) error {
	if len(p) == 0 {
		return nil
	}
	s.begin(ans.Status, ans.Header, -1)
	return errors.Mark(s.sink.Write(p), errCallerGone)
}
