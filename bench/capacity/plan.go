package capacity

// eventsPerRequest is the number of events that one request records.
const eventsPerRequest = 3

// ringEvents is the number of events that a host keeps by default.
const ringEvents = 16384

// Plan works out the cost of each role at a design size.
func Plan(d Design, s Slopes) []Row {
	hostsPerPlace := d.Hosts / d.DataCentres
	upstreams := d.Replicas / d.Services
	return []Row{
		gatewayRow(d, s),
		routingRow(d, s),
		membershipRow(hostsPerPlace, s),
		configRow(d, s, upstreams),
		dispatcherRow(d, s),
		ledgerRow(d, s),
		timelineRow(d, s),
	}
}

func gatewayRow(d Design, s Slopes) Row {
	requests, tokens := d.Requests/d.Hosts, d.Tokens/d.Hosts
	return Row{
		Role: "gateway", State: "running requests and streams", Data: true,
		CPU:       requests*s.RequestCPU + tokens*s.TokenCPU,
		Bytes:     requests * d.HeldSeconds * s.HeldBytes,
		Mechanism: "every host serves callers; the balancer spreads them",
	}
}

func routingRow(d Design, s Slopes) Row {
	requests := d.Requests / d.Hosts
	return Row{
		Role: "routing and keys", State: "subset of replicas; key digests of all callers", Data: true,
		CPU:       requests * (s.ChoiceCPU.At(d.Subset) + s.AuthCPU.At(d.Callers)),
		Bytes:     0,
		Mechanism: "deterministic subsets; load reports ride on answers",
	}
}

func membershipRow(hostsPerPlace float64, s Slopes) Row {
	return Row{
		Role: "membership, relay and idle work", State: "hosts of the data centre; states of upstreams",
		CPU: s.IdleCPU.Flat(hostsPerPlace), Bytes: s.IdleBytes.At(hostsPerPlace), Traffic: s.IdleTraffic.At(hostsPerPlace),
		Reads:     0,
		Mechanism: "probes of random peers with piggybacked updates; cost a host does not follow the number of hosts",
	}
}

// configRow has one document applied on every host for each change. Watches
// are counted as reads: those of one data centre do not follow its hosts.
func configRow(d Design, s Slopes, upstreams float64) Row {
	changes := d.Changes / secondsPerDay
	return Row{
		Role: "configuration", State: "all documents in force",
		CPU:       changes * s.DocumentCPU.At(upstreams),
		Bytes:     d.Services * s.SnapshotBytes.At(upstreams),
		Traffic:   changes * s.DocumentBytes.At(upstreams),
		Writes:    changes,
		Reads:     d.DataCentres * s.IdleReads.At(d.Hosts/d.DataCentres),
		Mechanism: "relays of a data centre hold the watches and pass documents on to the other hosts",
	}
}

func dispatcherRow(d Design, s Slopes) Row {
	items := d.Items / secondsPerDay
	dispatchers := d.Replicas / d.Dispatch
	return Row{
		Role: "dispatcher", State: "claimed segments and their results not yet written",
		Bytes:     items / dispatchers * d.HeldSeconds * s.ItemBytes,
		Writes:    items * s.ItemCalls,
		Mechanism: "a dispatcher claims whole segments and writes results in chunks",
	}
}

// ledgerRow bounds the swaps of a shard by the rate at which its writer sends
// them, and by the claims that there are.
func ledgerRow(d Design, s Slopes) Row {
	claims := d.Requests * d.OnceShare
	perShard := claims / (d.Services * d.Shards)
	calls := min(s.ClaimCalls, perShard)
	return Row{
		Role: "ledger writer", State: "heads of the shards",
		Writes:    calls * d.Services * d.Shards,
		Mechanism: "claims of many requests go out in one swap of a shard's head",
	}
}

func timelineRow(d Design, s Slopes) Row {
	events := d.Requests / d.Hosts * eventsPerRequest
	return Row{
		Role: "time line", State: "a ring of events", CPU: events * s.EventCPU, Bytes: ringEvents * s.EventBytes,
		Mechanism: "a bounded ring in each process, collected only when an operator asks",
	}
}

// Total adds up the rows of control.
func Total(rows []Row) Row {
	sum := Row{Role: "all control of one host"}
	for _, r := range rows {
		sum.Writes += r.Writes
		sum.Reads += r.Reads
		if r.Data {
			continue
		}
		sum.CPU += r.CPU
		sum.Bytes += r.Bytes
		sum.Traffic += r.Traffic
	}
	return sum
}

// Misses names the budgets that a total passes.
func Misses(total Row, b Budgets) []string {
	var out []string
	for _, row := range []struct {
		name  string
		value float64
		bound float64
	}{
		{"processor time", total.CPU, b.CPU},
		{"memory", total.Bytes, b.Bytes},
		{"traffic", total.Traffic, b.Traffic},
		{"platform writes", total.Writes, b.Writes},
		{"platform reads", total.Reads, b.Reads},
	} {
		if row.value > row.bound {
			out = append(out, row.name)
		}
	}
	return out
}
