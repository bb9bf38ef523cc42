package batch

import (
	"context"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// rpcName is the name under which receiver is registered.
const rpcName = "Batch"

// StopArgs holds the arguments of Stop.
type StopArgs struct {
	Job string
	// Callers holds the caller names, by service, of the identity that requests
	// the stop. The receiver stops only jobs of these callers. It is empty if
	// the sender has checked that the job belongs to the identity.
	Callers map[string]string
}

// StopReply holds the result of Stop.
type StopReply struct {
	// Running is the number of running items that were cancelled.
	Running int
}

// BusyArgs holds the arguments of Busy: the replica on which the sender's online
// requests burst or wait.
type BusyArgs struct {
	Service  string
	Upstream string
}

// ReleasedArgs holds the arguments of Released: the jobs of which segments have
// become free.
type ReleasedArgs struct{ Jobs []string }

// ReleasedReply is empty.
type ReleasedReply struct{}

// Released makes this host poll jobs for free segments at once.
func (r *receiver) Released(args *ReleasedArgs, _ *ReleasedReply) error {
	r.manager.worker.PollNow(args.Jobs)
	r.manager.wakeControl()
	return nil
}

// BusyReply is empty.
type BusyReply struct{}

// receiver serves the RPC methods that peers call.
type receiver struct{ manager *Manager }

// Stop stops a job on this host.
func (r *receiver) Stop(args *StopArgs, reply *StopReply) error {
	rec, known := r.manager.worker.LastRecord(args.Job)
	if len(args.Callers) > 0 && (!known || args.Callers[rec.Service] != rec.Caller) {
		return nil
	}
	reply.Running = r.manager.worker.Stop(args.Job)
	r.manager.wakeControl()
	return nil
}

// Busy removes all batch slots of a replica in favour of online requests.
func (r *receiver) Busy(args *BusyArgs, _ *BusyReply) error {
	r.manager.dispatcher.handleBusy(args.Service, args.Upstream)
	return nil
}

// maxParallelStops bounds the number of concurrent calls of Stop.
const maxParallelStops = 16

// stopOnHosts stops a job on this host and on those with the given addresses. It
// waits for their replies for at most notifyTimeout.
func (m *Manager) stopOnHosts(ctx context.Context, args *StopArgs, addresses []string) {
	if err := (&receiver{m}).Stop(args, &StopReply{}); err != nil {
		m.o.Log.WithError(err).Warn("cannot stop job on this host")
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	semaphore := make(chan struct{}, maxParallelStops)
	var group sync.WaitGroup
	for _, address := range addresses {
		if address == "" || address == m.o.Owner.Address {
			continue
		}
		semaphore <- struct{}{}
		group.Go(func() {
			defer func() { <-semaphore }()
			var reply StopReply
			if err := m.o.Peers.Call(ctx, address, rpcName+".Stop", args, &reply); err != nil {
				m.o.Log.WithError(err).WithField("job", args.Job).Info("cannot notify host to stop job; it can start items until its leases expire")
			}
		})
	}
	group.Wait()
}

// notifyReleased notifies the peers of this data centre that segments of jobs
// have become free.
func (m *Manager) notifyReleased(ctx context.Context, jobs []string) {
	if len(jobs) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, h := range m.o.Hosts.Local() {
		if h.Name == m.o.Hosts.Self().Name {
			continue
		}
		group.Go(func() {
			err := m.o.Peers.Call(ctx, h.PeerAddress, rpcName+".Released", &ReleasedArgs{Jobs: jobs}, &ReleasedReply{})
			if err != nil {
				m.o.Log.WithError(err).Debug("cannot notify peer of released segments")
			}
		})
	}
	group.Wait()
}

// allHostAddresses returns the addresses of all known hosts, this one included.
func (m *Manager) allHostAddresses() []string {
	var out []string
	for _, hosts := range [][]membership.Host{m.o.Hosts.Local(), m.o.Hosts.Remote()} {
		for _, h := range hosts {
			out = append(out, h.PeerAddress)
		}
	}
	return out
}

// processTracker keeps track of the incarnations of hosts, to detect owners whose
// process has ended.
type processTracker struct {
	hosts        membership.View
	mu           sync.Mutex
	incarnations map[string]uint64
}

// ended reports whether an owner's process is known to have ended: its host has a
// later incarnation, or was a member with the owner's incarnation or a later one
// and no longer is.
func (t *processTracker) ended(o store.Owner) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, hosts := range [][]membership.Host{t.hosts.Local(), t.hosts.Remote()} {
		for _, h := range hosts {
			t.incarnations[h.Name] = max(t.incarnations[h.Name], h.Incarnation)
			if h.Name == o.Host {
				return h.Incarnation > o.Incarnation
			}
		}
	}
	return t.incarnations[o.Host] >= o.Incarnation && t.incarnations[o.Host] > 0
}
