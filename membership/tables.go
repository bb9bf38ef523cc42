package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest returns a checksum of the records of a data centre's hosts that have
// neither failed nor left. It doesn't depend on their order.
func (m *stateMachine) digest(dataCentre string) uint64 {
	sum := uint64(1)
	add := func(r *hostRecord) {
		if r.DataCentre != dataCentre || r.state() == Gone {
			return
		}
		b := append([]byte(r.Name), 0, byte(r.Flags))
		b = binary.BigEndian.AppendUint64(b, r.Incarnation)
		b = binary.BigEndian.AppendUint32(b, r.Refutation)
		sum ^= xxhash.Sum64(b)
	}
	add(&m.self)
	for _, r := range m.local {
		add(r)
	}
	for _, r := range m.remote {
		add(r)
	}
	return sum
}

// tableDigest returns a checksum of everything that is synchronized between the
// members of a data centre: the records of all hosts that have neither failed nor
// left, and all claims about upstreams.
func (m *stateMachine) tableDigest() uint64 {
	sum := m.claims.digest()
	seen := map[string]struct{}{m.self.DataCentre: {}}
	sum ^= m.digest(m.self.DataCentre)
	for i := range m.remote {
		if _, done := seen[i.dataCentre]; !done {
			seen[i.dataCentre] = struct{}{}
			sum ^= m.digest(i.dataCentre)
		}
	}
	return sum
}

// appendTable adds the records of the own data centre to a message, and with all
// set also those of other data centres. Records of suspected hosts aren't sent to
// other data centres.
func (m *stateMachine) appendTable(msg *message, all bool, toDataCentre string) {
	msg.Hosts = append(msg.Hosts, m.wireUpdate(&m.self, toDataCentre))
	for _, r := range m.local {
		if toDataCentre == m.self.DataCentre || r.Doubt != doubtSuspect {
			msg.Hosts = append(msg.Hosts, m.wireUpdate(r, toDataCentre))
		}
	}
	if !all {
		return
	}
	for _, r := range m.remote {
		msg.Hosts = append(msg.Hosts, m.wireUpdate(r, toDataCentre))
	}
}
