package jobs

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
)

// Keys of a job: its head, which changes, and chunks that are written once.
const (
	headPrefix   = "batch/job/"
	itemPrefix   = "batch/items/"
	resultPrefix = "batch/results/"
	// endedPrefix is that of marks for owners who were not reached when their
	// job was ended. All hosts watch them.
	endedPrefix = "fleet/ended/"
)

func headKey(id string) string          { return headPrefix + id }
func itemKey(id string, n int) string   { return itemPrefix + id + "/" + strconv.Itoa(n) }
func resultKey(id string, n int) string { return resultPrefix + id + "/" + strconv.Itoa(n) }

// Head is the record that says what holds for a job.
type Head struct {
	ID string `cbor:"-"`
	// Owner is the host that runs the job and Incarnation the start of it.
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
	// ChunkStarts are the positions at which the chunks of results begin, and
	// Listed is the number of results.
	ChunkStarts []int `cbor:"10,keyasint"`
	ResultCount int   `cbor:"11,keyasint"`
	Ended       bool  `cbor:"12,keyasint"`
	// WriteSeq numbers the changes by one owner, so that a write whose answer was
	// lost is known when it is read back.
	WriteSeq uint64 `cbor:"13,keyasint"`
	// DataCentre is the owner's.
	DataCentre string `cbor:"14,keyasint"`
}

// open reports whether items are left to run.
func (h *Head) open() bool { return !h.Ended && h.ResultCount < h.ItemCount }

func (h *Head) created() time.Time { return time.UnixMilli(h.CreatedMs) }

// due is when the results are due.
func (h *Head) due() time.Time {
	return h.created().Add(time.Duration(h.RunTargetMs) * time.Millisecond)
}

// givenUp is when items that aren't done are given up.
func (h *Head) givenUp() time.Time {
	return h.created().Add(time.Duration(h.RetentionMs) * time.Millisecond)
}

func (h *Head) sameWrite(other *Head) bool {
	return h.Owner == other.Owner && h.Incarnation == other.Incarnation && h.WriteSeq == other.WriteSeq
}

func decodeHead(item txn.Item) (*Head, error) {
	h := &Head{ID: strings.TrimPrefix(item.Key, headPrefix)}
	if err := cbor.Unmarshal(item.Value, h); err != nil {
		return nil, errors.Wrapf(err, "decode the head of job %s", h.ID)
	}
	return h, nil
}

// itemChunks encodes items in chunks below the size of a value.
func itemChunks(items []Item) ([][]byte, error) {
	var (
		chunks [][]byte
		part   []Item
		size   int
	)
	flush := func() error {
		value, err := cbor.Marshal(part)
		chunks = append(chunks, value)
		part, size = nil, 0
		return errors.Wrap(err, "encode items")
	}
	for _, it := range items {
		if size > 0 && size+len(it.Body) > chunkBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
		part = append(part, it)
		size += len(it.Body)
	}
	return chunks, flush()
}
