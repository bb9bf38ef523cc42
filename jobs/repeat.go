package jobs

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

// All calls between the hosts of jobs may run twice: they read, they say again what was said,
// or they find that the job has ended or changed hands already.
var (
	_ peer.Repeatable = ReadArgs{}
	_ peer.Repeatable = BodyArgs{}
	_ peer.Repeatable = EndArgs{}
	_ peer.Repeatable = OwnsArgs{}
	_ peer.Repeatable = AnnounceArgs{}
	_ peer.Repeatable = AdoptArgs{}
)

// storeCallWait is how long a method that writes to the store may take before its connection
// counts as silent.
const storeCallWait = 500 * time.Millisecond

// WaitLimit implements peer.Repeatable.
func (a ReadArgs) WaitLimit() time.Duration { return a.Wait }

// Repeated implements peer.Repeatable. The time of the first call's wait is over.
func (a ReadArgs) Repeated() any {
	a.Wait = 0
	return a
}

// WaitLimit implements peer.Repeatable.
func (BodyArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a BodyArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (EndArgs) WaitLimit() time.Duration { return storeCallWait }

// Repeated implements peer.Repeatable.
func (a EndArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (OwnsArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a OwnsArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (AnnounceArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a AnnounceArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (AdoptArgs) WaitLimit() time.Duration { return storeCallWait }

// Repeated implements peer.Repeatable.
func (a AdoptArgs) Repeated() any { return a }
