package slots

import (
	"context"
	"time"
)

// versionReadTimeout bounds the read of the software versions of a service in the store.
const versionReadTimeout = 500 * time.Millisecond

// VersionRecords reads the recorded software versions of services. See package versions.
type VersionRecords interface {
	// Only returns the software version at which all streams of a service began that can be
	// resumed now, if there is only one. The record is read after the call.
	Only(ctx context.Context, service string) (version string, ok bool, err error)
}

// Confidence is how sure brokers of older builds are of a software version. It comes partly
// from what they see of the replicas, which may be incomplete or out of date.
type Confidence uint8

// Certain is what this build sends to older ones if it knows the software version.
const Certain Confidence = 3

// StreamVersionArgs is the argument of StreamVersion.
type StreamVersionArgs struct {
	Service string
	// Stream is the ID of the request that brought the first event; empty if the
	// caller does not say.
	Stream string
	// ReadRecord asks for the recorded software versions too: the calling host can't read
	// them.
	ReadRecord bool
}

// StreamVersionReply is the reply to StreamVersion. SoftwareVersion is set if Began or
// Granted is.
type StreamVersionReply struct {
	SoftwareVersion string
	// Confidence is for callers of older builds.
	Confidence Confidence
	// Began reports that the stream began at this version.
	Began bool
	// Granted reports that the broker knows only that a slot of a replica of this version was
	// granted to the stream, see StreamVersion.
	Granted bool
}

func knownStreamVersion(version string, began bool) StreamVersionReply {
	return StreamVersionReply{SoftwareVersion: version, Confidence: Certain, Began: began, Granted: !began}
}

// chooseStreamVersion returns the software version that began a stream, by the replies of
// brokers. Grants count if the caller says so and nobody knows more. Replies that contradict
// each other say nothing, nor do those of older builds.
func chooseStreamVersion(replies []StreamVersionReply, grantsCount bool) (version string, ok bool) {
	began, granted := make(map[string]struct{}), make(map[string]struct{})
	for _, r := range replies {
		switch {
		case r.Began:
			began[r.SoftwareVersion] = struct{}{}
		case r.Granted:
			granted[r.SoftwareVersion] = struct{}{}
		}
	}
	if len(began) > 0 || !grantsCount {
		return onlyKey(began)
	}
	return onlyKey(granted)
}

func onlyKey(set map[string]struct{}) (key string, ok bool) {
	for key = range set {
	}
	return key, len(set) == 1
}

// StreamVersion reports which software version may resume a stream. What the broker sees of
// the replicas says nothing about that: it may be incomplete or out of date.
func (b *Broker) StreamVersion(args StreamVersionArgs, reply *StreamVersionReply) error {
	if v, ok := b.streams.lookUp(args.Stream); ok {
		*reply = knownStreamVersion(v.SoftwareVersion, v.Began)
		return nil
	}
	if !args.ReadRecord {
		return nil
	}
	if version, ok, err := b.recordedVersion(args.Service); ok && err == nil {
		*reply = knownStreamVersion(version, true)
	}
	return nil
}

// recordedVersion reads the only software version of a service, if there is only one.
func (b *Broker) recordedVersion(service string) (version string, ok bool, err error) {
	if b.versionRecords == nil || b.storeAvailable != nil && !b.storeAvailable() {
		return "", false, errVersionsUnread
	}
	ctx, cancel := context.WithTimeout(context.Background(), versionReadTimeout)
	defer cancel()
	return b.versionRecords.Only(ctx, service)
}

// RecordStreamsArgs is the argument of RecordStreams.
type RecordStreamsArgs struct {
	Streams []StreamVersion
	// Copy reports that another broker sent the streams for the case that it
	// fails.
	Copy bool
}

// RecordStreams remembers which software versions began streams.
func (b *Broker) RecordStreams(args RecordStreamsArgs, _ *Empty) error {
	b.streams.record(b.clock.Now(), args.Streams...)
	if !args.Copy {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.copyStreams(args.Streams...)
	}
	return nil
}

// recordGrant remembers the software version of a stream that is about to begin.
// The lock is held.
func (b *Broker) recordGrant(args *AcquireArgs, g *Grant) {
	if args.Stream == "" {
		return
	}
	v := StreamVersion{Stream: args.Stream, SoftwareVersion: g.Replica.SoftwareVersion}
	b.streams.record(b.clock.Now(), v)
	if g.Mixed = b.isMixed(args.Service); g.Mixed {
		b.copyStreams(v)
	}
}

func (b *Broker) isMixed(service string) bool {
	return b.versions.isMixed(b.clock.Now(), service)
}

// updateVersions applies new replica records. While a service has one version, its
// streams need no copy; once it has several, all recent ones do. The lock is held.
func (b *Broker) updateVersions() {
	mixed := b.versions.mixedServices(b.clock.Now())
	b.versions.update(b.clock.Now(), b.replicas)
	if b.versions.mixedServices(b.clock.Now()) > mixed {
		b.copyStreams(b.streams.all()...)
	}
}

// copyStreams queues streams to be sent to another host. The lock is held.
func (b *Broker) copyStreams(streams ...StreamVersion) {
	b.uncopied = append(b.uncopied, streams...)
	select {
	case b.uncopiedChanged <- struct{}{}:
	default:
	}
}

// takeUncopied removes and returns the streams that are to be sent to another
// host.
func (b *Broker) takeUncopied() []StreamVersion {
	b.mu.Lock()
	defer b.mu.Unlock()
	streams := b.uncopied
	b.uncopied = nil
	return streams
}
