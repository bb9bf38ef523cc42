package ledger

import "context"

// ClaimArgs are the arguments of the call Claim to a shard's writer.
type ClaimArgs struct {
	ID  shardID
	Ask claimRequest
}

// ClaimReply is the reply to the call Claim.
type ClaimReply struct {
	Answer answer
}

// SettleArgs are the arguments of the call Settle to a shard's writer.
type SettleArgs struct {
	ID         shardID
	Settlement settlement
}

// SettleReply is the empty reply to the call Settle.
type SettleReply struct{}

// Receiver serves the net/rpc calls of other hosts.
type Receiver struct {
	service *Service
}

// Claim makes a claim with this host's shard writer, even if this host's
// membership view names another writer. Two writers of a shard cost retries but
// never give a key two claims.
func (r *Receiver) Claim(args ClaimArgs, reply *ClaimReply) error {
	reply.Answer = r.service.claimLocally(context.Background(), args.ID, args.Ask)
	return nil
}

// Settle queues a settlement with this host's shard writer.
func (r *Receiver) Settle(args SettleArgs, _ *SettleReply) error {
	r.service.shard(args.ID).enqueueSettlement(args.Settlement)
	return nil
}
