package slots

import (
	"sync"
	"time"

	"github.com/comfreyspindle/comfreyspindle/replica"
	"github.com/comfreyspindle/comfreyspindle/versions"
)

// streamRetention is how long it is remembered which software version began a stream.
const streamRetention = versions.StreamRetention

// StreamVersion is the software version of the replica that began a stream. Only
// replicas of this version may resume it.
type StreamVersion struct {
	// Stream is the ID of the request whose response brought the first event.
	Stream          string
	SoftwareVersion string
	// Began reports that an event of the stream has come from a replica of the version. If
	// not, a slot of such a replica was granted: the attempt may have failed, and another
	// one may have begun the stream at another version.
	Began bool
}

// streamVersions holds what is known of the software versions of recent streams, by stream.
// Entries are kept for streamRetention at least and twice that at most. It is safe for
// concurrent use.
type streamVersions struct {
	mu               sync.Mutex
	current, earlier map[string]StreamVersion
	currentSince     time.Time
}

func newStreamVersions() *streamVersions {
	return &streamVersions{current: make(map[string]StreamVersion)}
}

func (s *streamVersions) record(now time.Time, streams ...StreamVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.currentSince) > streamRetention {
		s.earlier, s.current, s.currentSince = s.current, make(map[string]StreamVersion), now
	}
	for _, v := range streams {
		if known, ok := s.get(v.Stream); !ok || v.Began || !known.Began {
			s.current[v.Stream] = v
		}
	}
}

func (s *streamVersions) lookUp(stream string) (StreamVersion, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(stream)
}

// get returns what is known of a stream. s.mu must be held.
func (s *streamVersions) get(stream string) (StreamVersion, bool) {
	if v, ok := s.current[stream]; ok {
		return v, true
	}
	v, ok := s.earlier[stream]
	return v, ok
}

// all returns all streams that are remembered.
func (s *streamVersions) all() []StreamVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	streams := make([]StreamVersion, 0, len(s.earlier)+len(s.current))
	for _, v := range s.earlier {
		streams = append(streams, v)
	}
	for _, v := range s.current {
		streams = append(streams, v)
	}
	return streams
}

// versionHistory holds the software versions that the replicas of each service
// have or had lately.
type versionHistory struct {
	// removedAt holds when the last replica of a version was removed, by service and
	// version; zero while there is one.
	removedAt map[string]map[string]time.Time
}

// update records the software versions of the present replicas.
func (h *versionHistory) update(now time.Time, replicas map[string]replica.Replica) {
	if h.removedAt == nil {
		h.removedAt = make(map[string]map[string]time.Time)
	}
	for _, removedAt := range h.removedAt {
		for version, at := range removedAt {
			switch {
			case at.IsZero():
				removedAt[version] = now
			case now.Sub(at) >= streamRetention:
				delete(removedAt, version)
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

// isMixed reports whether a service has replicas of several versions, or had them while a
// stream can be resumed.
func (h *versionHistory) isMixed(now time.Time, service string) bool {
	n := 0
	for _, at := range h.removedAt[service] {
		if at.IsZero() || now.Sub(at) < streamRetention {
			n++
		}
	}
	return n > 1
}

// mixedServices returns the number of services with several software versions.
func (h *versionHistory) mixedServices(now time.Time) int {
	n := 0
	for service := range h.removedAt {
		if h.isMixed(now, service) {
			n++
		}
	}
	return n
}
