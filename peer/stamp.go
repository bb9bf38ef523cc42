package peer

import (
	"net/rpc"

	"github.com/comfreyspindle/comfreyspindle/timeline"
)

// WithClock stamps every message sent with the time of a hybrid logical clock and
// advances the clock past the stamps of messages received, so that events of both
// hosts are in causal order.
func WithClock(c *timeline.Clock) Option { return func(o *options) { o.clock = c } }

// requestHeader is the wire form of rpc.Request, with a stamp added.
type requestHeader struct {
	ServiceMethod string
	Seq           uint64
	Stamp         timeline.Stamp
}

// responseHeader is the wire form of rpc.Response, with a stamp added.
type responseHeader struct {
	ServiceMethod string
	Seq           uint64
	Error         string
	Stamp         timeline.Stamp
}

// stamper stamps messages. Without a clock, it sends zero stamps and ignores
// those received.
type stamper struct {
	clock *timeline.Clock
}

func (s stamper) now() timeline.Stamp {
	if s.clock == nil {
		return timeline.Stamp{}
	}
	return s.clock.Now()
}

func (s stamper) observe(remote timeline.Stamp) {
	if s.clock != nil && remote != (timeline.Stamp{}) {
		s.clock.Observe(remote)
	}
}

func (s stamper) request(r *rpc.Request) *requestHeader {
	return &requestHeader{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Stamp: s.now()}
}

func (s stamper) response(r *rpc.Response) *responseHeader {
	return &responseHeader{ServiceMethod: r.ServiceMethod, Seq: r.Seq, Error: r.Error, Stamp: s.now()}
}
