package quarantine

// RetractCrash removes the crash of an upstream from those of a request that didn't reach
// the upstream, and from those of its parts. It reports whether anything changed.
func (s *State) RetractCrash(service, upstream string, c Content) (changed bool) {
	v, ok := s.services[service]
	if !ok {
		return false
	}
	changed = v.retractFromRequest(upstream, c.Fingerprint)
	for _, part := range c.Parts {
		changed = v.retractFromPart(upstream, part, c.Fingerprint) || changed
	}
	return changed
}

func (v *serviceState) retractFromRequest(upstream string, request Fingerprint) (changed bool) {
	p, ok := v.suspects[request]
	if !ok {
		return false
	}
	var kept []crashRecord
	for _, crash := range p.crashes {
		if crash.upstream != upstream {
			kept = append(kept, crash)
		}
	}
	changed = len(kept) < len(p.crashes)
	p.crashes = kept
	if len(kept) == 0 {
		delete(v.suspects, request)
	}
	return changed
}

func (v *serviceState) retractFromPart(upstream string, part, request Fingerprint) (changed bool) {
	p, ok := v.parts.suspects[part]
	if !ok {
		return false
	}
	if _, ok := p.upstreams[request][upstream]; !ok {
		return false
	}
	delete(p.upstreams[request], upstream)
	if len(p.upstreams[request]) == 0 {
		delete(p.upstreams, request)
	}
	if len(p.upstreams) == 0 {
		delete(v.parts.suspects, part)
	}
	return true
}
