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

// HintKeys is the prefix of the platform's lists of upstreams, one key for
// each service with a JSON list of Hint.
const HintKeys = "platform/upstreams/"

const (
	hintWatchTimeout = 30 * time.Second
	hintRetryDelay   = time.Second
	// hintReadersPerDataCentre is the number of hosts in a data centre that read the lists.
	hintReadersPerDataCentre = 2
)

// Hint is an entry of the platform's list.
type Hint struct {
	Name  string `json:"name"`
	State State  `json:"state"`
}

// HintReader takes the platform's lists as hints. Only a few hosts of a data
// centre read them; what they learn is spread like any report.
type HintReader struct {
	Store     kv.Store
	Hosts     View
	Upstreams *GossipUpstreams
	// Services returns the names of the services whose lists are read.
	Services func() []string
	Clock    clockwork.Clock
	Log      *logrus.Entry

	// newest holds the newest version newest of each list, so that reading a list
	// again gives no new hint.
	newest map[string]kv.Version
}

// String names the service in supervisor events.
func (r *HintReader) String() string { return "upstream hints" }

// Serve reads the lists, while this host is a relay, until ctx ends.
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
			r.Log.WithError(err).Debug("platform's list not read")
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

// readAndWatch reads all lists and then watches them, until an error or until this
// host is no relay any more.
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
		r.Log.WithError(err).WithField("key", e.Key).Warn("platform's list ignored")
		return
	}
	service := strings.TrimPrefix(e.Key, HintKeys)
	for _, h := range list {
		r.Upstreams.Hint(UpstreamKey{Service: service, Name: h.Name}, h.State)
	}
}
