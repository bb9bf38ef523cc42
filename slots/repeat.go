package slots

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

// All calls of a broker may be repeated: the next poll reports which grants the host uses, and
// AcquireArgs.Call names a call that takes a token.
var (
	_ peer.Repeatable = PollArgs{}
	_ peer.Repeatable = AcquireArgs{}
	_ peer.Repeatable = ReleaseArgs{}
	_ peer.Repeatable = WantArgs{}
	_ peer.Repeatable = StreamVersionArgs{}
	_ peer.Repeatable = RecordStreamsArgs{}
	_ peer.Repeatable = ProbeArgs{}
)

// WaitLimit implements peer.Repeatable.
func (PollArgs) WaitLimit() time.Duration { return pollWait }

// Repeated implements peer.Repeatable.
func (a PollArgs) Repeated() any {
	a.NoWait = true
	return a
}

// WaitLimit implements peer.Repeatable.
func (a AcquireArgs) WaitLimit() time.Duration { return a.MaxWait }

// Repeated implements peer.Repeatable.
func (a AcquireArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (ReleaseArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a ReleaseArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (WantArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a WantArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (a StreamVersionArgs) WaitLimit() time.Duration {
	if a.ReadRecord {
		return versionReadTimeout
	}
	return 0
}

// Repeated implements peer.Repeatable.
func (a StreamVersionArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable.
func (RecordStreamsArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a RecordStreamsArgs) Repeated() any { return a }

// WaitLimit implements peer.Repeatable. A host probes the replica first and others then.
func (ProbeArgs) WaitLimit() time.Duration { return 2 * crashProbeTimeout }

// Repeated implements peer.Repeatable.
func (a ProbeArgs) Repeated() any { return a }
