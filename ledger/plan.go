package ledger

import (
	"slices"
	"time"
)

// maxClockSkew bounds the difference between clocks of hosts and callers.
const maxClockSkew = 5 * time.Minute

// claimRequest is a wish to make a claim. Its fields are the message to a shard's
// writer.
type claimRequest struct {
	Entry entry
	// Made is when the caller made the key, in Unix milliseconds; zero when
	// it says none.
	Made int64
	// Supersedes are earlier claims of the key whose requests were not sent
	// and never will be, as their host knows.
	Supersedes []uint64
	// Window is how long the claim is kept.
	Window time.Duration
}

// settlement tells how the request of a claim ended.
type settlement struct {
	Key   digest
	Nonce uint64
	// Ran marks the claim; otherwise the request was not run and the claim is
	// removed.
	Ran bool
}

// outcome is the answer to an ask.
type outcome uint8

const (
	// outcomeWon means that the ask's claim is in the record.
	outcomeWon outcome = iota + 1
	// outcomeHeld means that another claim of the key is.
	outcomeHeld
	// outcomeKeyTooOld means that claims of the key may have been dropped.
	outcomeKeyTooOld
	// outcomeRefused means that the claim is not in the record and will not be.
	outcomeRefused
	// outcomeUnknown means that the claim may be in the record.
	outcomeUnknown
)

// answer tells the outcome; Holder is set with outcomeHeld.
type answer struct {
	Outcome outcome
	Holder  entry
	// RetryAfter says when a refused ask makes sense again.
	RetryAfter time.Duration
}

// chunkMatch is what the chunks say about an ask's key.
type chunkMatch struct {
	// holder is the newest claim of the key in the chunks, if found.
	holder entry
	found  bool
	// failed means that a chunk could not be read.
	failed bool
}

// plan is the next state of a shard and the answers that hold once it is the
// record's content.
type plan struct {
	next    head
	changed bool
	answers []answer
}

// planBatch decides on asks and settlements against a copy of the head. It
// changes nothing. The answers outcomeHeld and outcomeTooOld hold even if the
// copy is stale: claims of a key are never taken back without its holder's
// word that the request was not run.
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

// settle applies a settlement to a claim in the head. Claims in chunks stay as
// they are, which only makes the answer to a repeat more careful.
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
