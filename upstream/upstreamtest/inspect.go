package upstreamtest

// RunningWhere returns the number of sequences, waiting or running, whose
// prompt begins with the given word.
func (e *Engine) RunningWhere(word string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, list := range [][]*sequence{e.waiting, e.running} {
		for _, s := range list {
			if len(s.prompt) > 0 && s.prompt[0] == word && !s.ended() {
				n++
			}
		}
	}
	return n
}

// ended reports whether the sequence has been finished or cancelled.
func (s *sequence) ended() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}

// Asked returns the number of requests that reached the engine, refused ones
// included.
func (e *Engine) Asked() int64 { return e.asked.Load() }
