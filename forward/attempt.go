package forward

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/shutdown"
	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/upstream/pool"
)

// attempt sends the request to one replica and reports whether to retry it on
// another one.
func (s *requestState) attempt(ctx context.Context) (retry bool, err error) {
	g, err := s.acquire(ctx)
	if err != nil {
		return false, s.refusalError(err)
	}
	if s.grant = g; !s.charged {
		s.charged, s.chargedGrant = true, g
	}
	args := s.sendArgs(ctx, g)
	s.connection = pool.Connection{}
	args.Seen = &s.connection
	s.giveUp, s.askedAfter = args.GiveUp, args.LastEventID
	s.timer, s.longestWrite = slots.RunTimer{Began: s.Clock.Now()}, 0
	res, err := s.Upstream.Send(ctx, s.req, args)
	if err != nil {
		return s.handleSendError(ctx, g, err)
	}
	if res.NotRun || res.Misdirected {
		return s.handleNotRun(ctx, g, res)
	}
	s.mayHaveRunCount++
	outcome, err := s.relay(res)
	if outcome == slots.Done && res.Framing == pool.FramingClose {
		outcome = slots.Ended
	}
	if err != nil && errors.Is(context.Cause(ctx), shutdown.ErrHostEnds) {
		outcome = slots.Unused
	}
	res.Close()
	g.Run = s.timer.Run()
	s.Slots.Release(g, outcome)
	s.logResponse(g, res, outcome, err)
	if err == nil {
		return false, nil
	}
	if !errors.Is(err, errEndNotConfirmed) && !errors.Is(err, pool.ErrCarrier) {
		s.avoid = append(s.avoid, g.Replica.ID)
	}
	return s.mayRetry(ctx) && !errors.Is(err, errCallerDisconnected) && !errors.Is(err, errPartlySent), err
}

// acquire returns the slot that is reserved for the next attempt, or acquires one.
func (s *requestState) acquire(ctx context.Context) (slots.Grant, error) {
	if s.reserved == nil {
		return s.Slots.Acquire(ctx, s.acquireArgs(), s.slotTimeout())
	}
	g := *s.reserved
	s.reserved = nil
	return g, nil
}

// reserve acquires a slot of another replica than the silent one, if one is free
// now. Without one the attempt goes on: the replica may only be slow, and a
// response that was given up could not be continued.
func (s *requestState) reserve(ctx context.Context, silent slots.Grant) bool {
	args := s.acquireArgs()
	args.Avoid = append(slices.Clone(s.avoid), silent.Replica.ID)
	g, err := s.Slots.Acquire(ctx, args, 0)
	if err != nil {
		return ctx.Err() != nil
	}
	s.reserved = &g
	return true
}

func (s *requestState) releaseReserved() {
	if s.reserved != nil {
		s.Slots.Release(*s.reserved, slots.Unused)
	}
}

func (s *requestState) acquireArgs() slots.AcquireArgs {
	args := slots.AcquireArgs{
		Request: s.req.ID, Content: s.req.content(), Host: s.Host, Service: s.req.Service, Priority: s.req.Route.Priority, Avoid: s.avoid,
		Pinned: s.pinned, SoftwareVersion: s.softwareVersion, Stream: s.req.Stream(),
	}
	if c := s.req.Customer; c != nil {
		args.Customer, args.CustomerPriority, args.ConfigVersion, args.Charged = c.Name, c.Priority, s.req.ConfigVersion, s.charged
	}
	if s.req.Route.Objective > 0 && !s.begun {
		args.FirstEventWithin = max(s.req.Arrived.Add(s.req.Route.Objective).Sub(s.Clock.Now()), 0)
	}
	if s.pinned {
		// Resuming a stream comes before requests whose callers have received
		// nothing yet.
		args.Priority = -1
	}
	return args
}

// slotTimeout returns how long the request may wait for a slot.
func (s *requestState) slotTimeout() time.Duration {
	now := s.Clock.Now()
	if s.ending.IsUnconfirmed(s.lastEventID()) {
		return min(confirmSlotTimeout, s.req.Deadline.Sub(now))
	}
	if s.mayHaveRunCount > 0 || s.req.Route.Objective <= 0 {
		return min(fallbackSlotTimeout, s.req.Deadline.Sub(now))
	}
	wait := s.req.Arrived.Add(s.req.Route.Objective - startMargin).Sub(now)
	return max(wait, 0)
}

// sendArgs returns the arguments of the next attempt. Time-outs for the replica
// are set only if a further attempt could follow.
func (s *requestState) sendArgs(ctx context.Context, g slots.Grant) SendArgs {
	args := SendArgs{Replica: g.Replica, TimeLeft: s.req.Deadline.Sub(s.Clock.Now())}
	if s.resumable() {
		args.LastEventID = s.lastEventID()
	}
	if s.req.Route.Repeatable() && s.mayHaveRunCount+1 < s.req.Route.MaxAttempts {
		args.FirstByteTimeout = max(minFirstByteTimeout, s.req.Route.Objective/2)
		args.GapTimeout = s.req.Route.MaxGap / 2
		args.GiveUp = func() bool { return s.reserve(ctx, g) }
	}
	return args
}

// resumable reports whether another run may go on after the last event of the response.
func (s *requestState) resumable() bool { return idRule(s.req.Route) == ConsecutiveIDs }

// lastEventID returns the id of the last event that the caller has received, or
// an empty string.
func (s *requestState) lastEventID() string {
	return cmp.Or(s.events.LastID, s.req.LastEventID)
}

// mayRetry reports whether the request may be sent to one more replica. Once part of a
// response was sent, a second run may only bring its rest, which some routes allow.
func (s *requestState) mayRetry(ctx context.Context) bool {
	if s.begun && !s.resumable() {
		return false
	}
	return ctx.Err() == nil && s.req.Deadline.Sub(s.Clock.Now()) > minTimeLeft &&
		s.mayHaveRunCount < s.req.Route.MaxAttempts && s.notRunCount < maxNotRunAttempts && (s.mayHaveRunCount == 0 || s.req.Route.Repeatable())
}

// logResponse logs the end of an attempt that had a response.
func (s *requestState) logResponse(g slots.Grant, res *Response, outcome slots.Outcome, err error) {
	entry := s.attemptEntry(g, outcome).WithFields(logrus.Fields{
		"status": res.Status, "framing": string(res.Framing), "partial_event_bytes": len(s.events.Remainder()),
		"asked_after": s.askedAfter, "first_event": s.events.FirstID, "connection_use": res.ConnectionUse, "skipped_answers": res.Skipped,
	})
	logAttemptEnd(entry, err)
}

// logAttempt logs the end of an attempt that had no response to relay.
func (s *requestState) logAttempt(g slots.Grant, outcome slots.Outcome, err error) {
	logAttemptEnd(s.attemptEntry(g, outcome), err)
}

func (s *requestState) attemptEntry(g slots.Grant, outcome slots.Outcome) *logrus.Entry {
	now := s.Clock.Now()
	entry := s.Log
	if s.ReplicasSilentFor != nil {
		if silentFor, ok := s.ReplicasSilentFor(); ok {
			entry = entry.WithField("replicas_silent_ms", silentFor.Milliseconds())
		}
	}
	return entry.WithFields(logrus.Fields{
		"connection_new": s.connection.New, "connection_via": s.connection.Via,
		"request": s.req.ID, "fingerprint": s.req.Fingerprint.String(), "prompt_parts": s.req.PromptParts, "config_version": s.req.ConfigVersion, "route": s.req.Route.Name, "replica": g.Replica.ID, "address": g.Replica.Address, "broker": g.Broker,
		"software_version": g.Replica.SoftwareVersion, "resumes": s.req.Resumes, "customer": s.req.customerName(),
		"ran": s.mayHaveRunCount, "not_run": s.notRunCount, "outcome": outcome.String(), "after_ms": now.Sub(s.req.Arrived).Milliseconds(),
		"waited_ms": g.Since.Sub(s.req.Arrived).Milliseconds(), "held_ms": now.Sub(g.Since).Milliseconds(), "last_event": s.events.LastID,
	})
}

func logAttemptEnd(entry *logrus.Entry, err error) {
	if err != nil {
		entry.WithError(err).Warn("attempt failed")
		return
	}
	entry.Info("request answered")
}
