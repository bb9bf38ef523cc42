package membership

import "sort"

// isBridge reports whether this member is one of the few of its data centre that
// exchange updates with other data centres.
func (m *stateMachine) isBridge() bool {
	hosts := []Host{m.self.host()}
	for _, r := range m.local {
		hosts = append(hosts, r.host())
	}
	for _, h := range Rendezvous(hosts, "membership/bridge", bridgesPerDataCentre) {
		if h.Name == m.self.Name {
			return true
		}
	}
	return false
}

// sendToRemote sends one update to a random host of each other data centre, if
// this member is a bridge.
func (m *stateMachine) sendToRemote(i updateKey) {
	if len(m.remote) == 0 || !m.joined || !m.isBridge() {
		return
	}
	for _, dc := range m.remoteDataCentres() {
		if r := m.randomRemoteHost(dc); r != nil {
			msg := m.newMessage(kindUpdates, dc)
			m.appendUpdate(msg, i, dc)
			m.emit(r.Peer, msg)
		}
	}
}

// remoteDataCentres returns the sorted names of the other known data centres.
func (m *stateMachine) remoteDataCentres() []string {
	seen := make(map[string]struct{})
	var out []string
	for i := range m.remote {
		if _, done := seen[i.dataCentre]; !done {
			seen[i.dataCentre] = struct{}{}
			out = append(out, i.dataCentre)
		}
	}
	sort.Strings(out)
	return out
}

// randomRemoteHost returns a random host of another data centre, or nil if none
// is known there that hasn't failed or left.
func (m *stateMachine) randomRemoteHost(dataCentre string) *hostRecord {
	var items []updateKey
	for i, r := range m.remote {
		if i.dataCentre == dataCentre && r.state() != Gone {
			items = append(items, i)
		}
	}
	if len(items) == 0 {
		return nil
	}
	sort.Slice(items, func(a, b int) bool { return items[a].name < items[b].name })
	return m.remote[items[m.rnd.IntN(len(items))]]
}
