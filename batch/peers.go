package batch

import (
	"context"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/membership"
)

// rpcName is the name of the calls between hosts.
const rpcName = "Batch"

// StopArgs ask a host to stop a job.
type StopArgs struct {
	Job string
	// Callers are the names, by service, of the identity that asks; empty when
	// the asking host has checked that the job is its own.
	Callers map[string]string
}

// StopReply says what was stopped.
type StopReply struct {
	// Running items were cancelled.
	Running int
}

// BusyArgs tell the dispatcher of a replica of online work.
type BusyArgs struct {
	Service  string
	Upstream string
}

// ReleasedArgs tell hosts that segments of jobs are free.
type ReleasedArgs struct{ Jobs []string }

// ReleasedReply is empty.
type ReleasedReply struct{}

// Released lets this host look for free segments of jobs at once.
func (p *receiver) Released(args *ReleasedArgs, _ *ReleasedReply) error {
	p.manager.worker.PollNow(args.Jobs)
	p.manager.wakeControl()
	return nil
}

// BusyReply is empty.
type BusyReply struct{}

// receiver serves calls from other hosts.
type receiver struct{ manager *Manager }

// Stop stops a job on this host.
func (p *receiver) Stop(args *StopArgs, reply *StopReply) error {
	rec, known := p.manager.worker.LastRecord(args.Job)
	if len(args.Callers) > 0 && (!known || args.Callers[rec.Service] != rec.Caller) {
		return nil
	}
	reply.Running = p.manager.worker.Stop(args.Job)
	p.manager.wakeControl()
	return nil
}

// Busy gives a replica's batch slots back to online work.
func (p *receiver) Busy(args *BusyArgs, _ *BusyReply) error {
	p.manager.dispatcher.handleBusy(args.Service, args.Upstream)
	return nil
}

// maxParallelStops bounds the calls under way at one time.
const maxParallelStops = 16

// stopOnHosts tells hosts to stop a job, this host included, and waits for them for a
// bounded time.
func (m *Manager) stopOnHosts(ctx context.Context, args *StopArgs, addresses []string) {
	if err := (&receiver{m}).Stop(args, &StopReply{}); err != nil {
		m.o.Log.WithError(err).Warn("own part of a job not stopped")
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
				m.o.Log.WithError(err).WithField("job", args.Job).Info("owner not told; its claim's term will run out")
			}
		})
	}
	group.Wait()
}

// notifyReleased tells the other hosts of the data centre of free segments.
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
				m.o.Log.WithError(err).Debug("host not told of free segments")
			}
		})
	}
	group.Wait()
}

// allHostAddresses returns the addresses of all known hosts.
func (m *Manager) allHostAddresses() []string {
	var out []string
	for _, hosts := range [][]membership.Host{m.o.Hosts.Local(), m.o.Hosts.Remote()} {
		for _, h := range hosts {
			out = append(out, h.PeerAddress)
		}
	}
	return out
}

// processTracker tells which owners are known to have ended.
type processTracker struct {
	hosts        membership.View
	mu           sync.Mutex
	incarnations map[string]uint64
}

// ended reports whether an owner's process is known to have ended: its host has
// started anew, or was seen and is no longer there.
func (d *processTracker) ended(o store.Owner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, hosts := range [][]membership.Host{d.hosts.Local(), d.hosts.Remote()} {
		for _, h := range hosts {
			d.incarnations[h.Name] = max(d.incarnations[h.Name], h.Incarnation)
			if h.Name == o.Host {
				return h.Incarnation > o.Incarnation
			}
		}
	}
	return d.incarnations[o.Host] >= o.Incarnation && d.incarnations[o.Host] > 0
}
