package slots

// Confidence says how sure a broker is of the software version of a stream.
// Higher values outweigh lower ones of other brokers.
type Confidence uint8

// Values of Confidence.
const (
	// Unknown means that the broker knows neither the stream nor the service.
	Unknown Confidence = iota
	// Probable means that all replicas of the service have had one version for as
	// long as the broker has known them.
	Probable
	// Ambiguous means that the service has replicas of several versions, or had
	// them lately, and that the broker does not know the stream.
	Ambiguous
	// Certain means that the broker knows the stream, or that the service has had
	// no other version while streams can be resumed.
	Certain
)

// StreamVersionArgs is the argument of StreamVersion.
type StreamVersionArgs struct {
	Service string
	// Stream is the ID of the request that brought the first event; empty if the
	// caller does not say.
	Stream string
}

// StreamVersionReply is the reply to StreamVersion. SoftwareVersion is set if the
// confidence is Probable or Certain.
type StreamVersionReply struct {
	SoftwareVersion string
	Confidence      Confidence
}

// merge returns the reply that outweighs the other. Two brokers that are sure of
// different versions contradict each other.
func (r StreamVersionReply) merge(other StreamVersionReply) StreamVersionReply {
	switch {
	case r.Confidence < other.Confidence:
		return other
	case r.Confidence == Probable && other.Confidence == Probable && r.SoftwareVersion != other.SoftwareVersion:
		return StreamVersionReply{Confidence: Ambiguous}
	}
	return r
}

// StreamVersion reports which software version may resume a stream.
func (b *Broker) StreamVersion(args StreamVersionArgs, reply *StreamVersionReply) error {
	if version, ok := b.streams.lookUp(args.Stream); ok {
		*reply = StreamVersionReply{SoftwareVersion: version, Confidence: Certain}
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	*reply = b.versions.only(b.clock.Now(), args.Service)
	if reply.Confidence == Certain && b.storeAvailable != nil && !b.storeAvailable() {
		// The records may be out of date: another version may serve by now.
		reply.Confidence = Probable
	}
	return nil
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
	if b.isMixed(args.Service) {
		b.copyStreams(v)
	}
}

func (b *Broker) isMixed(service string) bool {
	return b.versions.only(b.clock.Now(), service).Confidence == Ambiguous
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
