package ledger

import "context"

// ClaimArgs ask a shard's writer for a claim.
type ClaimArgs struct {
	ID  shardID
	Ask claimRequest
}

// ClaimReply is the writer's answer.
type ClaimReply struct {
	Answer answer
}

// SettleArgs tell a shard's writer how the request of a claim ended.
type SettleArgs struct {
	ID         shardID
	Settlement settlement
}

// SettleReply is empty.
type SettleReply struct{}

// Receiver serves the calls of other hosts (net/rpc).
type Receiver struct {
	service *Service
}

// Claim makes a claim by this host's shard writer, whichever host the writer
// is in its own view: two writers cost retries, never correctness.
func (r *Receiver) Claim(args ClaimArgs, reply *ClaimReply) error {
	reply.Answer = r.service.claimLocally(context.Background(), args.ID, args.Ask)
	return nil
}

// Settle queues a settlement.
func (r *Receiver) Settle(args SettleArgs, _ *SettleReply) error {
	r.service.shard(args.ID).enqueueSettlement(args.Settlement)
	return nil
}
