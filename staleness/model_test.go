package staleness_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	// Fixes the seed.
	_ "github.com/comfreyspindle/comfreyspindle/internal/rapidtest"
	"github.com/comfreyspindle/comfreyspindle/staleness"
)

// In the model each version of the configuration lacks one key more than the version
// before: version v accepts the keys from v on, and key v is removed by version v+1.

// modelHost is one run of a host.
type modelHost struct {
	// offset is the difference between the host's clock and the true time.
	offset  time.Duration
	bound   *staleness.Bound
	inForce int64
	// cutOff hosts don't reach the store.
	cutOff bool
	// suspended hosts do nothing, but messages to and from them stay on their way.
	suspended bool
}

// message is a read of the store, or a call to another host, in one of three states: it is
// sent, then it has been executed there, then its reply is delivered or lost.
type message struct {
	from, to *modelHost // to is nil for the store
	sent     time.Duration
	executed bool
	// The reply holds the newest version or the one in force, and the confirmation.
	version   int64
	confirmed int64
	age       time.Duration
	hasAge    bool
}

// request is a caller's request whose key is checked with the configuration that was in
// force when it arrived.
type request struct {
	host    *modelHost
	sent    time.Duration
	version int64
}

type model struct {
	t     *rapid.T
	now   time.Duration
	hosts []*modelHost
	// newest is the newest version in the store, and acknowledged the time at which each
	// version was acknowledged, by version.
	newest       int64
	acknowledged map[int64]time.Duration
	messages     []*message
	requests     []request
	accepted     int
}

func (m *model) newHost() *modelHost {
	h := &modelHost{offset: time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(m.t, "offset"))}
	h.cutOff = rapid.Bool().Draw(m.t, "cut off")
	h.bound = staleness.NewBound(maxAge, func() time.Duration { return m.now + h.offset })
	return h
}

func (m *model) host() *modelHost { return rapid.SampledFrom(m.hosts).Draw(m.t, "host") }

// running returns a host that isn't suspended, or false.
func (m *model) running() (*modelHost, bool) {
	h := m.host()
	return h, !h.suspended
}

func (h *modelHost) putInForce(version int64) {
	if version > h.inForce {
		h.inForce = version
		h.bound.SetInForce(version)
	}
}

// pass lets time pass: less than a call takes, or about as long as confirmations count.
func (m *model) pass(label string) {
	m.now += rapid.SampledFrom([]time.Duration{
		20 * time.Millisecond, 50 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, time.Second, maxAge * 9 / 10,
	}).Draw(m.t, label)
}

func (m *model) advance() { m.pass("advance") }

func (m *model) commit() { m.newest++ }

func (m *model) acknowledge() {
	for v := m.newest; v > 0; v-- {
		if _, ok := m.acknowledged[v]; !ok {
			m.acknowledged[v] = m.now
		}
	}
}

func (m *model) read() {
	if h, ok := m.running(); ok && !h.cutOff {
		m.messages = append(m.messages, &message{from: h, sent: m.now + h.offset})
	}
}

func (m *model) call() {
	h, ok := m.running()
	if to := m.host(); ok && h != to {
		m.messages = append(m.messages, &message{from: h, to: to, sent: m.now + h.offset})
	}
}

// message returns a message that was executed, or one that was not.
func (m *model) message(executed bool) (*message, bool) {
	var candidates []*message
	for _, msg := range m.messages {
		if msg.executed == executed {
			candidates = append(candidates, msg)
		}
	}
	if len(candidates) == 0 {
		return nil, false
	}
	return rapid.SampledFrom(candidates).Draw(m.t, "message"), true
}

func (m *model) execute() {
	msg, ok := m.message(false)
	if !ok || msg.to != nil && msg.to.suspended {
		return
	}
	msg.executed = true
	if msg.to == nil {
		msg.version, msg.confirmed, msg.hasAge = m.newest, m.newest, true
		return
	}
	msg.version = msg.to.inForce
	msg.confirmed, msg.age, msg.hasAge = msg.to.bound.Age()
}

// deliver delivers a reply. With a poll, the version comes into force only by a later
// fetch, which may fail.
func (m *model) deliver() {
	msg, ok := m.message(true)
	if !ok || msg.from.suspended {
		return
	}
	m.keep(func(other *message) bool { return other != msg })
	if msg.to == nil || rapid.Bool().Draw(m.t, "with configuration") {
		msg.from.putInForce(msg.version)
	}
	switch {
	case msg.to == nil:
		msg.from.bound.Confirm(msg.confirmed, msg.sent)
	case msg.hasAge:
		msg.from.bound.ConfirmAged(msg.confirmed, msg.sent, msg.age)
	}
}

func (m *model) lose() {
	if msg, ok := m.message(true); ok {
		m.keep(func(other *message) bool { return other != msg })
	}
}

func (m *model) keep(wanted func(*message) bool) {
	m.messages = slices.DeleteFunc(m.messages, func(msg *message) bool { return !wanted(msg) })
}

// watch puts a version in force, not necessarily the newest one, without a confirmation.
func (m *model) watch() {
	if h, ok := m.running(); ok && !h.cutOff {
		h.putInForce(rapid.Int64Range(1, m.newest).Draw(m.t, "version"))
	}
}

// suspend suspends a host for some time, in which nothing else happens, or for longer.
func (m *model) suspend() {
	h := m.host()
	h.suspended = true
	m.pass("suspend")
	h.suspended = rapid.Bool().Draw(m.t, "longer")
}

func (m *model) resume() { m.host().suspended = false }

// restart replaces a host by a new run, which takes over its role. Replies to the former
// run are lost.
func (m *model) restart() {
	i := rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "host")
	former := m.hosts[i]
	m.hosts[i] = m.newHost()
	m.keep(func(msg *message) bool { return msg.from != former && msg.to != former })
	m.requests = slices.DeleteFunc(m.requests, func(r request) bool { return r.host == former })
}

// arrive lets a request arrive that is sent now and checked later.
func (m *model) arrive() {
	if h, ok := m.running(); ok {
		m.requests = append(m.requests, request{host: h, sent: m.now, version: h.inForce})
	}
}

// check checks the requests that have arrived.
func (m *model) check() {
	var waiting []request
	for _, r := range m.requests {
		if r.host.suspended {
			waiting = append(waiting, r)
		} else {
			m.decide(r)
		}
	}
	m.requests = waiting
}

// decide decides on a request, with all keys that its version knows.
func (m *model) decide(r request) {
	if !r.host.bound.Usable(r.version) {
		return
	}
	m.accepted++
	for removedBy := r.version + 1; removedBy <= m.newest; removedBy++ {
		if at, ok := m.acknowledged[removedBy]; ok && r.sent >= at+maxAge {
			m.t.Fatalf("version %d, acknowledged at %s, removed a key that a request sent at %s is accepted with by version %d", removedBy, at, r.sent, r.version)
		}
	}
}

// A removed key must be accepted by no host maxAge after the acknowledgement of its
// removal, whatever is lost, late or suspended.
func TestRemovedKeyIsNotAcceptedAfterTheBound(t *testing.T) {
	const steps = 1500
	accepted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, now: time.Hour, newest: 1, acknowledged: map[int64]time.Duration{}}
		for range 3 {
			m.hosts = append(m.hosts, m.newHost())
		}
		actions := []func(){
			m.advance, m.advance, m.advance, m.commit, m.acknowledge, m.read, m.read, m.call, m.call, m.call, m.call, m.call,
			m.execute, m.execute, m.execute, m.execute, m.execute, m.execute, m.deliver, m.deliver, m.deliver, m.deliver, m.deliver,
			m.deliver, m.lose, m.watch, m.suspend, m.resume, m.resume, m.restart, m.arrive, m.check,
		}
		for range steps {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			for _, h := range m.hosts {
				if !h.suspended {
					m.decide(request{host: h, sent: m.now, version: h.inForce})
				}
			}
		}
		accepted += m.accepted
	})
	t.Logf("requests accepted in all schedules: %d", accepted)
	require.Positive(t, accepted)
}
