package forward

import (
	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// refusalError returns the error of a request that is refused a slot.
func (s *requestState) refusalError(err error) error {
	var refusal *slots.RefusedError
	if s.mayHaveRunCount > 0 || !errors.As(err, &refusal) {
		return err
	}
	if refusal.OverQuota {
		return s.overQuotaError(refusal)
	}
	s.Log.WithFields(logrus.Fields{
		"request": s.req.ID, "fingerprint": s.req.Fingerprint.String(), "prompt_parts": s.req.PromptParts, "config_version": s.req.ConfigVersion, "route": s.req.Route.Name, "service": s.req.Service, "expected_wait": refusal.Wait.String(),
		"replicas": refusal.Replicas, "rate_limited": refusal.RateLimited, "suspect": refusal.Suspect, "quarantined": refusal.Quarantined, "retry_after": refusal.RetryAfter.String(), "verdict": verdict.NotRun.String(),
		"customer": s.req.customerName(), "share": refusal.Share.Share, "share_used": refusal.Share.Used, "displaced": refusal.Share.Displaced,
	}).Warn("request refused")
	if refusal.Quarantined {
		return verdict.New(verdict.NotRun, verdict.CodeQuarantined, "Replicas ended each time they ran this request.").WithRetryAfter(refusal.RetryAfter)
	}
	return verdict.New(verdict.NotRun, verdict.CodeNoUpstream, "No replica is free in time.").WithRetryAfter(refusal.RetryAfter)
}

// overQuotaError returns the error of a request whose customer's quota is used up.
func (s *requestState) overQuotaError(refusal *slots.RefusedError) error {
	q := refusal.Quota
	s.Log.WithFields(logrus.Fields{
		"request": s.req.ID, "route": s.req.Route.Name, "customer": s.req.Customer.Name, "per_second": q.Limit.PerSecond, "burst": q.Limit.Burst,
		"tokens_left": q.Level, "retry_after": refusal.RetryAfter.String(), "config_version": q.ConfigVersion, "verdict": verdict.NotRun.String(),
	}).Warn("request refused: quota used up")
	return verdict.New(verdict.NotRun, verdict.CodeCallerLimit, "The customer's quota is used up.").WithRetryAfter(refusal.RetryAfter)
}
