package slots

import (
	"time"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/quota"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// DemandMessage is a Demand as sent between hosts. It holds the time left until
// the items are due, since the clocks of hosts differ.
type DemandMessage struct {
	Service string
	Items   int
	DueIn   time.Duration
	// Shares splits the demand by shares, if the configuration has customers. Brokers of
	// older builds use the totals alone.
	Shares []ShareDemandMessage
}

// ShareDemandMessage is a ShareDemand as sent between hosts.
type ShareDemandMessage struct {
	Share Share
	Items int
	DueIn time.Duration
}

func (m DemandMessage) demand(now time.Time) Demand {
	d := Demand{Service: m.Service, Items: m.Items, Due: now.Add(m.DueIn)}
	for _, s := range m.Shares {
		d.Shares = append(d.Shares, ShareDemand{Share: s.Share, Items: s.Items, Due: now.Add(s.DueIn)})
	}
	return d
}

// GrantMessage is a Grant as sent between hosts, with durations in place of
// times, since the clocks of hosts differ.
type GrantMessage struct {
	ID         GrantID
	Class      Class
	Replica    replica.Replica
	Content    quarantine.Content
	Age, DueIn time.Duration
	Share      Share
}

// PollArgs is the argument of Poll. Holds are the grants that the host uses,
// and Wants is its demand for batch items.
type PollArgs struct {
	Host string
	// CutOff reports that the host finds itself cut off from the replicas.
	CutOff bool
	Holds  []GrantMessage
	Wants  []DemandMessage
	// Partial reports that Holds leaves out online requests.
	Partial bool
	// Version is the version of the replica records that the host has, or
	// skipRecords.
	Version int64
	// Quota states to which broker the host is attached.
	Quota quota.Attachment
	// Loads holds what replicas have said of their load since the last call that did.
	Loads []LoadReport
	// Free holds what the host knows of other data centres.
	Free []FreeSlots
	// NoWait asks for a reply at once. A poll that is sent a second time, since its connection
	// is silent, has no time left to wait.
	NoWait bool
}

// PollReply is the reply to Poll.
type PollReply struct {
	Granted []Grant
	Revoked []GrantID
	// Version is the version of the broker's replica records. Replicas is set
	// when the host has another version. Known reports that the broker has
	// records.
	Version  int64
	Replicas []replica.Replica
	Known    bool
	// RecordsRev is a revision of the store whose changes the broker's records include. Zero
	// means that none is known, as in the replies of builds without the field.
	RecordsRev txn.Rev
	Notice     Notice
	// Quota is sent back with the host's next poll.
	Quota quota.Stamp
	// Free holds what the broker knows of other data centres from its hosts.
	Free []FreeSlots
}

// Notice describes the state of a broker, so that other hosts need not watch
// the store.
type Notice struct {
	// ConfigVersion is the version of the configuration in force at the broker.
	ConfigVersion int64
	// HostsVersion changes whenever the set of hosts known to the broker
	// changes.
	HostsVersion int64
	// Current reports that the store answers the broker.
	Current bool
	// StoreAge is the time since the store last answered the broker, and zero in the replies
	// of builds without the field.
	StoreAge time.Duration
	// ConfirmedVersion was the newest version of the configuration at some moment not
	// before ConfirmedAge before the reply. It may differ from ConfigVersion, which the
	// broker reads at another moment. Zero means that nothing is confirmed, as in the
	// replies of builds without the field.
	ConfirmedVersion int64
	ConfirmedAge     time.Duration
}

// WantArgs is the argument of Want.
type WantArgs struct {
	Host string
	Want DemandMessage
}
