// Package escrow enforces hard cost ceilings across all hosts. The hosts take
// allotments of a period's ceiling from one shared counter by compare-and-swap,
// and a host spends only what it took, so that the total never exceeds the
// ceiling. See docs/design/escrow.md.
package escrow

import (
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Period identifies an accounting period by its start, in Unix milliseconds.
type Period int64

// Account limits the bytes that requests send between regions.
type Account interface {
	// Spend takes n bytes from the host's allotment and returns the period
	// that they count towards. It never blocks: an error with verdict NotRun
	// means that the allotment is too small at present; the account has then
	// requested more, where the ceiling allows it.
	Spend(doc *service.Document, n int64) (Period, error)
	// Refund returns bytes that Spend took in a period and that were not
	// sent. Once the period is over, they are lost.
	Refund(doc *service.Document, p Period, n int64)
}

// None is an Account whose allotment is always empty.
type None struct{}

var _ Account = None{}

// Spend implements Account.
func (None) Spend(doc *service.Document, n int64) (Period, error) { return 0, errNoAllotment(doc, n) }

// Refund implements Account.
func (None) Refund(*service.Document, Period, int64) {}

func errNoAllotment(doc *service.Document, n int64) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeCeiling,
		"Service %s has no allotment for %d bytes between regions.", doc.Name, n)
}
