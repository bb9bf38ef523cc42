package membership

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

// HintKeys is the prefix of the store keys under which the platform lists the
// upstreams: one key for each service, holding a JSON list of Hint.
const HintKeys = "platform/upstreams/"

const (
	hintWatchTimeout = 30 * time.Second
	hintRetryDelay   = time.Second
	// hintReadersPerDataCentre is the number of hosts in a data centre that
	// read the lists; the others receive the result by gossip.
	hintReadersPerDataCentre = 2
)

// Hint is an entry of the platform's list of the upstreams of a service.
type Hint struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// HintReader reads the platform's lists of upstreams and passes their entries to
// GossipUpstreams.Hint. Only a few hosts of a data centre read the lists; the
// resulting claims reach the other hosts by gossip.
type HintReader struct {
	Store     kv.Store
	Hosts     View
	Upstreams *GossipUpstreams
	// Services returns the names of the services whose lists are read.
	Services func() []string
	Clock    clockwork.Clock
	Log      *logrus.Entry

	// newest holds the version of each list that was last applied, by key, so
	// that the same or an older version isn't applied again.
	newest map[string]kv.Version
}

// String names the service in supervisor events.
func (r *HintReader) String() string { return "upstream hints" }

// Serve reads the lists while this host is selected as a reader, until ctx ends.
func (r *HintReader) Serve(ctx context.Context) error {
	ctx = kv.WithPurpose(ctx, kv.PurposeConfig)
	for ctx.Err() == nil {
		changed := r.Hosts.Changed()
		if !r.selected() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		if err := r.readAndWatch(ctx); err != nil && ctx.Err() == nil {
			r.Log.WithError(err).Debug("cannot read the platform's upstream lists, will retry")
			select {
			case <-r.Clock.After(hintRetryDelay):
			case <-ctx.Done():
			}
		}
	}
	return ctx.Err()
}

func (r *HintReader) selected() bool {
	self := r.Hosts.Self().Name
	for _, h := range Rendezvous(r.Hosts.Local(), "membership/hints", hintReadersPerDataCentre) {
		if h.Name == self {
			return true
		}
	}
	return false
}

// readAndWatch reads all lists and then watches them until an error occurs or this
// host is no longer selected as a reader.
func (r *HintReader) readAndWatch(ctx context.Context) error {
	begin, err := r.Store.Watch(ctx, kv.Watch{Key: HintKeys, Prefix: true})
	if err != nil {
		return err
	}
	for _, service := range r.Services() {
		e, err := r.Store.Get(ctx, HintKeys+service)
		if errors.Is(err, kv.ErrNotFound) {
			continue
		}
		if err != nil {
			return err
		}
		r.apply(e)
	}
	through := begin.Through
	for r.selected() {
		c, err := r.Store.Watch(ctx, kv.Watch{Key: HintKeys, Prefix: true, After: through, Wait: hintWatchTimeout})
		if err != nil {
			return err
		}
		for _, e := range c.Events {
			if !e.Deleted {
				r.apply(e.Entry)
			}
		}
		through = c.Through
	}
	return nil
}

func (r *HintReader) apply(e kv.Entry) {
	if e.Version <= r.newest[e.Key] {
		return
	}
	if r.newest == nil {
		r.newest = make(map[string]kv.Version)
	}
	r.newest[e.Key] = e.Version
	var list []Hint
	if err := json.Unmarshal(e.Value, &list); err != nil {
		r.Log.WithError(err).WithField("key", e.Key).Warn("ignored a malformed upstream list of the platform")
		return
	}
	service := strings.TrimPrefix(e.Key, HintKeys)
	for _, h := range list {
		r.Upstreams.Hint(UpstreamKey{Service: service, Name: h.Name}, h.State)
	}
}
