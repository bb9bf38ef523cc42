package host

import (
	"sync"
	"time"
)

// configLag knows for how long a host has known that the configuration in force is not the
// newest one. Its zero value is a host without a configuration that has heard of none. It is
// safe for concurrent use.
type configLag struct {
	mu sync.Mutex
	// current is the version in force, and newest the newest one that another host has named.
	current, newest int64
	// since is when a version newer than current was first named; zero if none was.
	since time.Time
}

// name records that another host has a version in force.
func (l *configLag) name(version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, version)
	if l.newest > l.current && l.since.IsZero() {
		l.since = time.Now()
	}
}

// inForce records that a version has come into force, and returns for how long this host had
// known that an older one was outdated.
func (l *configLag) inForce(version int64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.known()
	l.current = version
	if l.newest <= version {
		l.since = time.Time{}
	}
	return known
}

// behind returns for how long this host has known that the configuration in force is outdated,
// or zero.
func (l *configLag) behind() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known()
}

// known returns the time since a newer version was first named. The lock is held.
func (l *configLag) known() time.Duration {
	if l.since.IsZero() {
		return 0
	}
	return time.Since(l.since)
}
