package host

import (
	"context"
	"math"
	"math/rand/v2"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/klauspost/compress/zstd"
	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/internal/wait"
	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/platform"
)

// Times and sizes of fetches of the configuration.
const (
	// configFetchFraction is the fraction of the time in which a change must take effect that
	// a fetch from a peer may take. The rest is for the notice before and for a read of the
	// store after it.
	configFetchFraction = 0.15
	// defaultConfigFetchTimeout applies if no change must take effect in a bounded time.
	defaultConfigFetchTimeout = 500 * time.Millisecond
	// configRetryDelay is the mean delay after neither a peer nor the store had the
	// configuration.
	configRetryDelay = 100 * time.Millisecond
	// maxConfigBytes bounds a configuration once it is decompressed.
	maxConfigBytes = 16 << 20
	// maxPieceBytes bounds a piece of a configuration on its way.
	maxPieceBytes = 16 << 10
	// noConfigVersion is a StateArgs.ConfigVersion to which no configuration is newer.
	noConfigVersion = math.MaxInt64
)

// configFetchTimeout returns the bound of a fetch from a peer.
func configFetchTimeout(deadline time.Duration) time.Duration {
	if deadline <= 0 {
		return defaultConfigFetchTimeout
	}
	return time.Duration(configFetchFraction * float64(deadline))
}

var (
	configEncoder, _ = zstd.NewWriter(nil, zstd.WithEncoderConcurrency(1), zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithLowerEncoderMem(true))
	configDecoder, _ = zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(maxConfigBytes))
)

// ConfigArgs are the arguments of Config.
type ConfigArgs struct {
	// Version is the version of the configuration that the requesting host has, or 0.
	Version int64
	// Offset is the number of compressed bytes that the requesting host has of a newer one.
	Offset int
}

// WaitLimit implements peer.Repeatable.
func (ConfigArgs) WaitLimit() time.Duration { return 0 }

// Repeated implements peer.Repeatable.
func (a ConfigArgs) Repeated() any { return a }

// ConfigReply is the reply of Config.
type ConfigReply struct {
	// Version is that of the peer's configuration, and Size its compressed size. Both are zero
	// unless it is newer than the requesting host's.
	Version int64
	Size    int
	// Piece is what follows the offset, at most maxPieceBytes, of the configuration compressed
	// with zstd.
	Piece []byte
}

// Config returns a piece of the configuration of this host. It is compressed, since all hosts of
// a data centre may fetch it at once over the link of their broker, which may be slow; and sent in
// pieces, so that of a fetch that is given up little is still sent.
func (p *Peer) Config(args ConfigArgs, reply *ConfigReply) error {
	pack, version := p.host.config.packed()
	if version <= args.Version {
		return nil
	}
	packed := pack()
	from := min(max(args.Offset, 0), len(packed))
	*reply = ConfigReply{Version: version, Size: len(packed), Piece: packed[from:min(from+maxPieceBytes, len(packed))]}
	return nil
}

// configFetcher gets the configurations that the broker names, one at a time: from the broker
// or, if that doesn't send it in time, from the store. It is safe for concurrent use.
type configFetcher struct {
	config *Config
	store  txn.Store
	// fetch gets the configuration of a peer if it is newer than that in force.
	fetch func(ctx context.Context, address string) error
	// hasStore reports whether the store answers this host.
	hasStore func() bool
	timeout  time.Duration
	clock    clockwork.Clock
	log      *logrus.Entry
	// wake signals a version that is wanted.
	wake chan struct{}

	mu sync.Mutex
	// wanted is the newest version that was named, and address the peer that named it.
	wanted  int64
	address string
}

func (h *Host) newConfigFetcher() *configFetcher {
	return &configFetcher{
		config: h.config, store: h.store, fetch: h.fetchConfig, hasStore: h.hasStore,
		timeout: configFetchTimeout(h.settings.ConfigTimeout), clock: h.clock, log: h.log, wake: make(chan struct{}, 1),
	}
}

// want lets the fetcher get a version that a peer has in force, if it is newer than that of this
// host.
func (f *configFetcher) want(version int64, address string) {
	if _, inForce := f.config.current(); version <= inForce {
		return
	}
	f.mu.Lock()
	f.wanted, f.address = max(f.wanted, version), address
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// missing returns the version that is wanted and not yet in force, and the peer that has it. It
// reports false if there is none.
func (f *configFetcher) missing() (version int64, address string, ok bool) {
	_, inForce := f.config.current()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wanted, f.address, f.wanted > inForce
}

// Serve gets the versions that are wanted until ctx ends.
func (f *configFetcher) Serve(ctx context.Context) error {
	for {
		select {
		case <-f.wake:
		case <-ctx.Done():
			return ctx.Err()
		}
		for ctx.Err() == nil {
			version, address, ok := f.missing()
			if !ok {
				break
			}
			if !f.get(ctx, version, address) {
				// The hosts of a data centre find out at the same time.
				wait.For(ctx, f.clock, time.Duration((0.5+rand.Float64())*float64(configRetryDelay)))
			}
		}
	}
}

// String names the service in supervisor events.
func (f *configFetcher) String() string { return "configuration fetcher" }

// get gets a version from a peer or from the store, and reports whether one of them had it or
// the store has none that new.
func (f *configFetcher) get(ctx context.Context, version int64, address string) bool {
	fetchCtx, cancel := context.WithTimeout(ctx, f.timeout)
	err := f.fetch(fetchCtx, address)
	cancel()
	if _, inForce := f.config.current(); inForce >= version {
		return true
	}
	entry := f.log.WithFields(logrus.Fields{"address": address, "version": version})
	if !f.hasStore() {
		entry.WithError(err).Warn("a newer configuration can't be fetched, and the store doesn't answer this host")
		return false
	}
	entry.WithError(err).Warn("a newer configuration can't be fetched from a peer, reading the store")
	item, err := platform.ReadConfig(ctx, f.store)
	if err != nil {
		entry.WithError(err).Warn("a newer configuration can't be read from the store")
		return false
	}
	if read, err := f.config.applyRecord(platform.DecodeOperatorChange(item)); err != nil || read < version {
		entry.WithError(err).WithField("read", read).Warn("the store has no usable configuration as new as a peer names")
		f.forget(version)
	}
	return true
}

// forget gives up a version until it is named again.
func (f *configFetcher) forget(version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.wanted == version {
		f.wanted = 0
	}
}

// fetchConfig gets the configuration of a peer and puts it in force if it is newer.
func (h *Host) fetchConfig(ctx context.Context, address string) error {
	_, version := h.config.current()
	packed, err := h.fetchPacked(ctx, address, version)
	if isMissingMethod(err) {
		return h.fetchConfigOfOlderBuild(ctx, address, version)
	}
	if err != nil || len(packed) == 0 {
		return err
	}
	value, err := configDecoder.DecodeAll(packed, nil)
	if err != nil {
		return errors.Wrapf(err, "decompress the configuration of peer %s", address)
	}
	h.config.setIfNewer(value, address)
	return nil
}

// fetchPacked gets the compressed configuration of a peer, piece by piece, if it is newer than a
// version. It begins again if the peer gets another one meanwhile.
func (h *Host) fetchPacked(ctx context.Context, address string, version int64) ([]byte, error) {
	var packed []byte
	var sent int64
	for {
		var reply ConfigReply
		if err := h.peerClient.Call(ctx, address, peerName+".Config", ConfigArgs{Version: version, Offset: len(packed)}, &reply); err != nil {
			return nil, err
		}
		if reply.Version != sent && len(packed) > 0 {
			packed, sent = nil, 0
			continue
		}
		sent = reply.Version
		packed = append(packed, reply.Piece...)
		if len(packed) >= reply.Size {
			return packed, nil
		}
		if len(reply.Piece) == 0 || reply.Size > maxConfigBytes {
			return nil, errors.Newf("peer %s sent %d of %d bytes of its configuration", address, len(packed), reply.Size)
		}
	}
}

// fetchConfigOfOlderBuild is fetchConfig for a peer that sends its configuration with the rest
// of its state only.
func (h *Host) fetchConfigOfOlderBuild(ctx context.Context, address string, version int64) error {
	var reply StateReply
	err := h.peerClient.Call(ctx, address, peerName+".State", StateArgs{ConfigVersion: version, ReadsReport: true}, &reply)
	if err == nil && len(reply.Config) > 0 {
		h.config.setIfNewer(reply.Config, address)
	}
	return err
}

// isMissingMethod reports whether a peer has replied that it doesn't have the method of a call.
func isMissingMethod(err error) bool {
	var reply rpc.ServerError
	return errors.As(err, &reply) && strings.HasPrefix(string(reply), "rpc: can't find method")
}
