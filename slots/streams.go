package slots

import (
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/replica"
)

// streamRetention is how long it is remembered which software version began a
// stream. Callers resume a stream within seconds or not at all.
const streamRetention = 30 * time.Second

// StreamVersion is the software version of the replica that began a stream. Only
// replicas of this version may resume it.
type StreamVersion struct {
	// Stream is the ID of the request whose response brought the first event.
	Stream          string
	SoftwareVersion string
}

// streamVersions holds the software versions of recent streams, by stream. Entries
// are kept for streamRetention at least and twice that at most. It is safe for
// concurrent use.
type streamVersions struct {
	mu               sync.Mutex
	current, earlier map[string]string
	currentSince     time.Time
}

func newStreamVersions() *streamVersions {
	return &streamVersions{current: make(map[string]string)}
}

func (s *streamVersions) record(now time.Time, streams ...StreamVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.currentSince) > streamRetention {
		s.earlier, s.current, s.currentSince = s.current, make(map[string]string), now
	}
	for _, v := range streams {
		s.current[v.Stream] = v.SoftwareVersion
	}
}

func (s *streamVersions) lookUp(stream string) (softwareVersion string, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if softwareVersion, ok = s.current[stream]; !ok {
		softwareVersion, ok = s.earlier[stream]
	}
	return softwareVersion, ok
}

// all returns all streams that are remembered.
func (s *streamVersions) all() []StreamVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := make([]StreamVersion, 0, len(s.earlier)+len(s.current))
	for stream, version := range s.earlier {
		streams = append(streams, StreamVersion{stream, version})
	}
	for stream, version := range s.current {
		streams = append(streams, StreamVersion{stream, version})
	}
	return streams
}

// versionHistory holds the software versions that the replicas of each service
// have or had lately.
type versionHistory struct {
	// since is when the first records were received.
	since time.Time
	// removedAt holds when the last replica of a version was removed, by service and
	// version; zero while there is one.
	removedAt map[string]map[string]time.Time
}

// update records the software versions of the present replicas.
func (h *versionHistory) update(now time.Time, replicas map[string]replica.Replica) {
	if h.removedAt == nil {
		h.since, h.removedAt = now, make(map[string]map[string]time.Time)
	}
	for _, versions := range h.removedAt {
		for version, at := range versions {
			switch {
			case at.IsZero():
				versions[version] = now
			case now.Sub(at) >= streamRetention:
				delete(versions, version)
			}
		}
	}
	for _, r := range replicas {
		if h.removedAt[r.Service] == nil {
			h.removedAt[r.Service] = make(map[string]time.Time)
		}
		h.removedAt[r.Service][r.SoftwareVersion] = time.Time{}
	}
}

// only returns the software version that a service has, if it has had no other
// while a stream can be resumed.
func (h *versionHistory) only(now time.Time, service string) StreamVersionReply {
	var reply StreamVersionReply
	for version, at := range h.removedAt[service] {
		if !at.IsZero() && now.Sub(at) >= streamRetention {
			continue
		}
		reply = reply.merge(StreamVersionReply{SoftwareVersion: version, Confidence: Probable})
	}
	if reply.Confidence == Probable && now.Sub(h.since) >= streamRetention {
		reply.Confidence = Certain
	}
	return reply
}

// mixedServices returns the number of services with several software versions.
func (h *versionHistory) mixedServices(now time.Time) int {
	n := 0
	for service := range h.removedAt {
		if h.only(now, service).Confidence == Ambiguous {
			n++
		}
	}
	return n
}
