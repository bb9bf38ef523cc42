package config

import (
	"context"
	"sync"

	"github.com/comfreyspindle/comfreyspindle/membership"
)

// maxConcurrentCalls bounds the number of hosts that InForce calls at the same
// time.
const maxConcurrentCalls = 32

// HostGeneration is the generation of a document in force on one host.
type HostGeneration struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	Generation uint64 `json:"generation"`
	// Unreachable is the error of a call that got no reply; empty if the host
	// replied.
	Unreachable string `json:"unreachable,omitempty"`
}

// InForce lists the hosts on which a generation of a document is in force, and
// those on which it is not.
type InForce struct {
	InForce []HostGeneration `json:"in_force"`
	// Behind lists the hosts with a lower generation and those that did not
	// reply.
	Behind []HostGeneration `json:"behind"`
}

// InForce calls all known hosts and reports on which of them the given
// generation of a document, or a higher one, is in force.
func (d *Distributor) InForce(ctx context.Context, name string, generation uint64) InForce {
	hosts := append(d.Hosts.Local(), d.Hosts.Remote()...)
	results := make([]HostGeneration, len(hosts))
	limiter := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, h := range hosts {
		limiter <- struct{}{}
		wg.Go(func() {
			defer func() { <-limiter }()
			results[i] = d.generationOn(ctx, h, name)
		})
	}
	wg.Wait()
	var out InForce
	for _, a := range results {
		if a.Unreachable == "" && a.Generation >= generation {
			out.InForce = append(out.InForce, a)
		} else {
			out.Behind = append(out.Behind, a)
		}
	}
	return out
}

func (d *Distributor) generationOn(ctx context.Context, h membership.Host, name string) HostGeneration {
	a := HostGeneration{Host: h.Name, DataCentre: h.DataCentre}
	if self := d.Hosts.Self(); h.Name == self.Name && h.DataCentre == self.DataCentre {
		a.Generation = d.Set.holder.Current().Generation(name)
		return a
	}
	if err := d.call(ctx, h.PeerAddress, methodGeneration, name, &a.Generation); err != nil {
		a.Unreachable = err.Error()
	}
	return a
}
