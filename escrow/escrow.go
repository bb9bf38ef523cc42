// Package escrow keeps hard ceilings on cost over all hosts. A ceiling for a
// period is taken in allotments from one counter by compare-and-swap; a host
// spends only what it took, so that the sum never passes the ceiling. See
// docs/design/escrow.md.
package escrow

import (
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Period is the beginning of an accounting period, in Unix milliseconds.
type Period int64

// Account spends cross-region bytes.
type Account interface {
	// Spend takes n bytes from the host's allotment and returns the period
	// that they belong to. It never waits: an error with verdict NotRun means
	// that there is no room now, and the account has begun to ask for more
	// where the ceiling allows it.
	Spend(doc *service.Document, n int64) (Period, error)
	// Refund gives back bytes that Spend took in a period and that were not
	// sent. After the period they are lost.
	Refund(doc *service.Document, p Period, n int64)
}

// None is an Account without room.
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
