package forward

import (
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/slots"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// overQuotaError returns the error of a request whose customer's quota is used up.
func (s *requestState) overQuotaError(refusal *slots.RefusedError) error {
	q := refusal.Quota
	s.Log.WithFields(logrus.Fields{
		"request": s.req.ID, "route": s.req.Route.Name, "customer": s.req.Customer.Name, "per_second": q.Limit.PerSecond, "burst": q.Limit.Burst,
		"level": q.Level, "retry_after": refusal.RetryAfter.String(), "config_version": q.ConfigVersion, "verdict": verdict.NotRun.String(),
	}).Warn("request refused: quota used up")
	return verdict.New(verdict.NotRun, verdict.CodeCallerLimit, "The customer's quota is used up.").WithRetryAfter(refusal.RetryAfter)
}
