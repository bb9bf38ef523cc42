package quota

import (
	"slices"
	"time"

	"github.com/comfreyspindle/comfreyspindle/peer"
)

var _ peer.Repeatable = ExchangeArgs{}

// WaitLimit implements peer.Repeatable.
func (ExchangeArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable. Tokens that are returned are left out, since the first
// message may have returned them. Those that both messages are granted are partly lost.
func (a ExchangeArgs) Repeated() any {
	a.Wants = slices.Clone(a.Wants)
	for i := range a.Wants {
		a.Wants[i].Tokens = max(a.Wants[i].Tokens, 0)
	}
	return a
}
