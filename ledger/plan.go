package ledger

import (
	"slices"
	"time"
)

// maxClockSkew is the largest difference between the clocks of hosts and
// callers that is allowed for.
const maxClockSkew = 5 * time.Minute

// claimRequest asks a shard's writer for a claim. It is sent between hosts as
// it is.
type claimRequest struct {
	Entry entry
	// Made is when the caller created the key, in Unix milliseconds; zero if
	// the key does not say.
	Made int64
	// Supersedes holds the nonces of earlier claims of the key whose requests
	// were not sent and never will be. Only the host of those claims knows
	// this.
	Supersedes []uint64
	// Window is how long the claim is kept.
	Window time.Duration
}

// settlement reports how the request of a claim ended.
type settlement struct {
	Key   digest
	Nonce uint64
	// Ran is true if the request ran: the claim is marked as run. Otherwise the
	// request was not run and the claim is removed.
	Ran bool
}

// outcome is the result of a claimRequest.
type outcome uint8

const (
	// outcomeWon means that the request's claim is recorded.
	outcomeWon outcome = iota + 1
	// outcomeHeld means that another claim of the key is recorded.
	outcomeHeld
	// outcomeKeyTooOld means that the key is so old that its claims may have
	// been pruned.
	outcomeKeyTooOld
	// outcomeRefused means that the request's claim is not recorded and will
	// not be.
	outcomeRefused
	// outcomeUnknown means that the request's claim may be recorded, now or
	// later.
	outcomeUnknown
)

// answer is the reply to a claimRequest. Holder is set with outcomeHeld.
type answer struct {
	Outcome outcome
	Holder  entry
	// RetryAfter is the delay after which a refused request may be repeated.
	RetryAfter time.Duration
}

// chunkMatch is the result of searching the chunks for the key of a request.
type chunkMatch struct {
	// holder is the newest claim of the key in the chunks, if found is set.
	holder entry
	found  bool
	// failed means that a chunk could not be read.
	failed bool
}

// plan is the next head of a shard and the answers that are valid once that
// head is written.
type plan struct {
	next    head
	changed bool
	answers []answer
}

// planBatch decides on requests and settlements against a copy of the head, and
// changes neither that nor the record. The answers outcomeHeld and
// outcomeKeyTooOld are valid even if the copy is stale: a claim is removed or
// replaced within its window only if its host reports that the request was not
// run.
func planBatch(h head, now time.Time, requests []claimRequest, matches []chunkMatch, settlements []settlement) plan {
	p := plan{next: h.clone(), answers: make([]answer, len(requests))}
	if len(requests) > 0 {
		p.next.prune(now, requests[len(requests)-1].Window)
	}
	for _, s := range settlements {
		p.changed = p.next.settle(s) || p.changed
	}
	for i, req := range requests {
		p.answers[i] = p.decide(req, matches[i])
	}
	return p
}

// settle applies a settlement to a claim in the head and reports whether that
// changed the head. Claims in chunks are not changed; a repeat of their request
// is then refused although it could run, which is safe.
func (h *head) settle(s settlement) bool {
	i := h.find(s.Key)
	if i < 0 || h.Claims[i].Nonce != s.Nonce || s.Ran && h.Claims[i].Ran {
		return false
	}
	if s.Ran {
		h.Claims[i].Ran = true
		return true
	}
	h.Claims = slices.Delete(h.Claims, i, i+1)
	return true
}

func (p *plan) decide(req claimRequest, match chunkMatch) answer {
	i := p.next.find(req.Entry.Key)
	holder, held := match.holder, match.found
	if i >= 0 {
		holder, held = p.next.Claims[i], true
	}
	switch {
	case held && holder.Nonce == req.Entry.Nonce:
		return answer{Outcome: outcomeWon}
	case held && !slices.Contains(req.Supersedes, holder.Nonce):
		return answer{Outcome: outcomeHeld, Holder: holder}
	case i < 0 && match.failed:
		return answer{Outcome: outcomeRefused, RetryAfter: time.Second}
	case req.Made != 0 && req.Made <= p.next.Pruned:
		return answer{Outcome: outcomeKeyTooOld}
	case i < 0 && len(p.next.Chunks) >= maxChunks:
		return answer{Outcome: outcomeRefused, RetryAfter: time.Minute}
	case i >= 0:
		p.next.Claims[i] = req.Entry
	default:
		p.next.Claims = append(p.next.Claims, req.Entry)
	}
	p.changed = true
	return answer{Outcome: outcomeWon}
}
