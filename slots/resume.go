package slots

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

const (
	// streamLookUpTimeout bounds the question to one broker for a stream. A call can move from
	// a silent connection to another one within this time.
	streamLookUpTimeout = 250 * time.Millisecond
	// streamCopyDelay collects the streams that are copied in one call.
	streamCopyDelay = 20 * time.Millisecond
)

// ErrVersionUnknown means that it is not known which software version began a
// stream.
var ErrVersionUnknown = errors.New("software version of the stream is not known")

// errVersionsUnread means that the recorded software versions can't be read now.
var errVersionsUnread = errors.New("the recorded software versions can't be read")

// StreamVersion returns the software version that may resume a stream: the one at which it
// is known to have begun, or the only one at which streams of the service began. It reads
// the recorded versions before it asks brokers, so that a service of one version, as most
// are, costs no calls to them. An error is ErrVersionUnknown.
func (c *Client) StreamVersion(ctx context.Context, service, stream string) (string, error) {
	own, known := c.Broker.streams.lookUp(stream)
	if known && own.Began {
		return own.SoftwareVersion, nil
	}
	version, ok, err := c.Broker.recordedVersion(service)
	if ok && err == nil {
		return version, nil
	}
	if err != nil {
		c.Log.WithError(err).WithField("service", service).Info("can't read the recorded software versions; asking brokers")
	}
	args := StreamVersionArgs{Service: service, Stream: stream, ReadRecord: err != nil}
	replies, complete := c.askAllStreamVersion(ctx, args)
	if known {
		replies = append(replies, knownStreamVersion(own.SoftwareVersion, false))
	}
	// While several versions are recorded, a granted slot doesn't tell which of them began the
	// stream. While the record can't be read, it does if no other broker granted another one.
	if version, ok := chooseStreamVersion(replies, err != nil && complete); ok {
		return version, nil
	}
	return "", errors.Wrapf(ErrVersionUnknown, "stream %q of service %s", stream, service)
}

// askAllStreamVersion asks all hosts that may be brokers at the same time. It returns the
// replies, and whether all hosts replied.
func (c *Client) askAllStreamVersion(ctx context.Context, args StreamVersionArgs) (replies []StreamVersionReply, complete bool) {
	timeout := streamLookUpTimeout
	if args.ReadRecord {
		timeout += versionReadTimeout
	}
	var (
		mu    sync.Mutex
		asked sync.WaitGroup
	)
	complete = true
	for _, h := range c.RecordHolders() {
		asked.Go(func() {
			reply, err := c.askStreamVersion(ctx, h, timeout, args)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				complete = false
				return
			}
			replies = append(replies, reply)
		})
	}
	asked.Wait()
	return replies, complete
}

func (c *Client) askStreamVersion(ctx context.Context, h membership.Host, timeout time.Duration, args StreamVersionArgs) (StreamVersionReply, error) {
	var reply StreamVersionReply
	err := c.call(ctx, h, timeout, "StreamVersion", args, &reply)
	if err != nil {
		c.Log.WithError(err).WithField("peer", h.Name).WithField("stream", args.Stream).Debug("can't ask for the software version of a stream")
	}
	return reply, err
}

// StreamBegan remembers the software version of the replica that has sent the
// first event of a stream. The broker of the own data centre is told of it while the
// service has several versions, and if it doesn't know the replica from its last grant:
// an earlier attempt was granted another one, or the grant is from another data centre.
func (c *Client) StreamBegan(stream string, g Grant, firstAttempt bool) {
	v := StreamVersion{Stream: stream, SoftwareVersion: g.Replica.SoftwareVersion, Began: true}
	c.Broker.streams.record(c.Clock.Now(), v)
	if own := c.View.Self().DataCentre; g.Mixed || !firstAttempt || g.Replica.DataCentre != own {
		go c.sendStreams(context.Background(), RecordStreamsArgs{Streams: []StreamVersion{v}})
	}
}

// sendStreams sends streams to the broker of the own data centre or, if they are
// copies, to the host that takes over if this one fails. A failure is not
// repeated: other hosts may know the streams too.
func (c *Client) sendStreams(ctx context.Context, args RecordStreamsArgs) {
	for _, h := range c.brokers(c.View.Self().DataCentre) {
		if args.Copy && h.Name == c.View.Self().Name {
			continue
		}
		if err := c.call(ctx, h, callMargin, "RecordStreams", args, new(Empty)); err != nil {
			c.Log.WithError(err).WithField("peer", h.Name).WithField("streams", len(args.Streams)).Info("can't send the software versions of streams")
		}
		return
	}
}

// copyStreams sends the streams that this host granted as a broker to another
// host, so that they can still be resumed if this one fails.
func (c *Client) copyStreams(ctx context.Context) {
	for {
		select {
		case <-c.Broker.uncopiedChanged:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, c.Clock, streamCopyDelay)
		if streams := c.Broker.takeUncopied(); len(streams) > 0 {
			c.sendStreams(ctx, RecordStreamsArgs{Streams: streams, Copy: true})
		}
	}
}
