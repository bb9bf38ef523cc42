package jobs

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Prefixes of a job's keys: its head record, which changes, and the chunks of
// items and results, which are written once.
const (
	headPrefix   = "batch/job/"
	itemPrefix   = "batch/items/"
	resultPrefix = "batch/results/"
	// endMarkPrefix is the prefix of end marks. A mark tells the owner that its
	// job was ended while the owner could not be reached. All hosts watch them.
	endMarkPrefix = "fleet/ended/"
)

func headKey(id string) string          { return headPrefix + id }
func itemKey(id string, n int) string   { return itemPrefix + id + "/" + strconv.Itoa(n) }
func resultKey(id string, n int) string { return resultKeys(id) + strconv.Itoa(n) }

// resultKeys returns the prefix of the keys of a job's results.
func resultKeys(id string) string { return resultPrefix + id + "/" }

// Head is the head record of a job. It says who owns the job and how far it has
// progressed.
type Head struct {
	ID string `cbor:"-"`
	// Owner is the host that runs the job, Incarnation its incarnation.
	Owner       string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	RouteHost   string `cbor:"3,keyasint"`
	RoutePrefix string `cbor:"4,keyasint"`
	// CreatedMs is when the job was accepted, in milliseconds of Unix time.
	CreatedMs   int64 `cbor:"5,keyasint"`
	RunTargetMs int64 `cbor:"6,keyasint"`
	RetentionMs int64 `cbor:"7,keyasint"`
	ItemCount   int   `cbor:"8,keyasint"`
	ItemChunks  int   `cbor:"9,keyasint"`
	// ChunkStarts are the positions of the first result of each chunk of
	// results, ResultCount is the number of recorded results.
	ChunkStarts []int `cbor:"10,keyasint"`
	ResultCount int   `cbor:"11,keyasint"`
	Ended       bool  `cbor:"12,keyasint"`
	// WriteSeq numbers the writes of one owner. After a write whose reply was
	// lost, it shows whether the record that is read back is that write.
	WriteSeq uint64 `cbor:"13,keyasint"`
	// DataCentre is the data centre of the owner.
	DataCentre string `cbor:"14,keyasint"`
	// Tokens are the tokens of all items, WaitingTokens those of the items without a
	// recorded result.
	Tokens        int64 `cbor:"15,keyasint"`
	WaitingTokens int64 `cbor:"16,keyasint"`
	// MeanRunMs is the mean run time of the route's items in milliseconds, as the
	// owner knew it at its last write; 0 if unknown.
	MeanRunMs int64 `cbor:"17,keyasint"`
	// Customer is the name of the customer that submitted the job; empty if it was
	// submitted without a key.
	Customer string `cbor:"18,keyasint,omitempty"`
	// WriteID is a random number for each write of an owner, 0 in records of older
	// builds. WriteSeq alone may be that of another write of the same incarnation.
	WriteID uint64 `cbor:"19,keyasint,omitempty"`
}

// nextWrite numbers the next write of the record.
func (h *Head) nextWrite() {
	h.WriteSeq++
	h.WriteID = rand.Uint64()
}

// open reports whether the job has items left to run.
func (h *Head) open() bool { return !h.Ended && h.ResultCount < h.ItemCount }

func (h *Head) created() time.Time { return time.UnixMilli(h.CreatedMs) }

// due returns when the results are due.
func (h *Head) due() time.Time {
	return h.created().Add(time.Duration(h.RunTargetMs) * time.Millisecond)
}

// expiresAt returns when items without a result are given up.
func (h *Head) expiresAt() time.Time {
	return h.created().Add(time.Duration(h.RetentionMs) * time.Millisecond)
}

// sameWrite reports whether two heads are of one write. The customers matter too: two of
// them may submit under one ID to the same host.
func (h *Head) sameWrite(other *Head) bool {
	return h.Owner == other.Owner && h.Incarnation == other.Incarnation && h.WriteSeq == other.WriteSeq &&
		h.WriteID == other.WriteID && h.Customer == other.Customer
}

func decodeHead(item txn.Item) (*Head, error) {
	h := &Head{ID: strings.TrimPrefix(item.Key, headPrefix)}
	if err := cbor.Unmarshal(item.Value, h); err != nil {
		return nil, errors.Wrapf(err, "decode head record of job %s", h.ID)
	}
	if err := h.check(); err != nil {
		return nil, errors.Wrapf(err, "decode head record of job %s", h.ID)
	}
	return h, nil
}

// Limits of what a head record may say.
const (
	maxItems = 1 << 20
	// maxTokens bounds the tokens of a job, so that sums over jobs don't overflow.
	maxTokens = 1 << 50
	// maxMillis is about a hundred years.
	maxMillis = 100 * 365 * 24 * 60 * 60 * 1000
)

// check returns an error if a record says what none can say. Records count what they lead
// to, which is read and added up.
func (h *Head) check() error {
	if h.ItemCount < 0 || h.ItemCount > maxItems || h.ItemChunks < 0 || h.ItemChunks > maxItems {
		return errors.Newf("%d items in %d chunks", h.ItemCount, h.ItemChunks)
	}
	if h.Tokens < 0 || h.Tokens > maxTokens || h.WaitingTokens < -maxTokens || h.WaitingTokens > h.Tokens {
		return errors.Newf("%d of %d tokens wait", h.WaitingTokens, h.Tokens)
	}
	for _, ms := range []int64{h.CreatedMs, h.RunTargetMs, h.RetentionMs, h.MeanRunMs} {
		if ms < -maxMillis || ms > maxMillis {
			return errors.Newf("a time of %d ms", ms)
		}
	}
	return h.checkResults()
}

// checkResults checks what the record says of the results: each chunk has at least one.
func (h *Head) checkResults() error {
	if h.ResultCount < 0 || h.ResultCount > h.ItemCount || h.ResultCount > 0 && len(h.ChunkStarts) == 0 {
		return errors.Newf("%d results of %d items in %d chunks", h.ResultCount, h.ItemCount, len(h.ChunkStarts))
	}
	least := 0
	for n, at := range h.ChunkStarts {
		if at < least || at >= h.ResultCount || n == 0 && at != 0 {
			return errors.Newf("chunk %d of %d results begins at %d", n, h.ResultCount, at)
		}
		least = at + 1
	}
	return nil
}

// size returns about the number of bytes of the encoded item.
func (it *Item) size() int {
	size := len(it.ID) + len(it.Path) + len(it.Body)
	for name, value := range it.Headers {
		size += len(name) + len(value)
	}
	return size
}

// encodeItems encodes items into chunks of about maxChunkBytes at most, unless a
// single item is larger.
func encodeItems(items []Item) ([][]byte, error) {
	var (
		chunks [][]byte
		chunk  []Item
		size   int
	)
	encodeChunk := func() error {
		value, err := cbor.Marshal(chunk)
		chunks = append(chunks, value)
		chunk, size = nil, 0
		return errors.Wrap(err, "encode items")
	}
	for _, it := range items {
		if size > 0 && size+it.size() > maxChunkBytes {
			if err := encodeChunk(); err != nil {
				return nil, err
			}
		}
		chunk = append(chunk, it)
		size += it.size()
	}
	return chunks, encodeChunk()
}
