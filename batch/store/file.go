package store

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"github.com/comfreyspindle/comfreyspindle/kv"
)

const (
	// maxSegmentBytes bounds a segment before compression, so that its value
	// fits into kv.MaxValueBytes even if it does not compress. A larger item
	// gets a segment of its own.
	maxSegmentBytes = 900_000
	// segmentsBeforeGrowth is the number of segments after which segments hold
	// more items each, so that a job's record stays small.
	segmentsBeforeGrowth = 256
)

// SegmentRef describes one stored input segment.
type SegmentRef struct {
	Items   int        `json:"n"`
	Version kv.Version `json:"v"`
}

// FileHead is the head record of an input file. The file is accepted when this
// record is created.
type FileHead struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Service string `json:"service"`
	Caller  string `json:"caller"`
	Digest  string `json:"digest"`
	// URL is the URL of all items of the file.
	URL       string       `json:"url"`
	Bytes     int64        `json:"bytes"`
	Items     int          `json:"items"`
	CreatedAt time.Time    `json:"created_at"`
	DataID    string       `json:"data"`
	Segments  []SegmentRef `json:"segments"`
	// Jobs lists the ids of the jobs that read the file.
	Jobs []string `json:"jobs,omitempty"`
}

// File is a file's head record at one version.
type File struct {
	*FileHead
	Version kv.Version
}

// LoadFile reads a file's head record from the store.
func LoadFile(ctx context.Context, store kv.Store, id string) (*File, error) {
	r, err := kv.Read(ctx, store, filePrefix+id)
	if err != nil {
		return nil, err
	}
	f := &File{FileHead: &FileHead{}, Version: r.Version}
	return f, decode(r.Payload, f.FileHead)
}

func putFile(ctx context.Context, store kv.Store, f *FileHead, version kv.Version) (kv.Version, error) {
	value, err := encode(f)
	if err != nil {
		return 0, err
	}
	return kv.Swap(ctx, store, kv.Put{Key: filePrefix + f.ID, Value: value, If: version})
}

// Writer splits items into segments and stores them. It buffers one segment.
type Writer struct {
	store         kv.Store
	segmentItems  int
	dataID        string
	digest        hash.Hash
	url           string
	buffer        bytes.Buffer
	bufferedItems int
	items         int
	bytes         int64
	segments      []SegmentRef
}

// NewWriter returns a writer that stores its segments under a new data id.
func NewWriter(store kv.Store, segmentItems int) *Writer {
	return &Writer{store: store, segmentItems: segmentItems, dataID: ulid.Make().String(), digest: sha256.New()}
}

// DataID returns the id under which the segments are stored.
func (w *Writer) DataID() string { return w.dataID }

// Add appends an item. It stores the buffered segment first if the item does
// not fit into it.
func (w *Writer) Add(ctx context.Context, item *Item) error {
	line, err := json.Marshal(item)
	if err != nil {
		return errors.Wrap(err, "encode item")
	}
	line = append(line, '\n')
	if w.bufferedItems > 0 && (w.bufferedItems >= w.segmentLimit() || w.buffer.Len()+len(line) > maxSegmentBytes) {
		if err := w.writeSegment(ctx); err != nil {
			return err
		}
	}
	_, _ = w.digest.Write(line)
	w.url = item.URL
	w.buffer.Write(line)
	w.bufferedItems++
	w.items++
	w.bytes += int64(len(line))
	return nil
}

// segmentLimit returns the number of items per segment, which grows with the
// number of items in the file.
func (w *Writer) segmentLimit() int { return max(w.segmentItems, w.items/segmentsBeforeGrowth) }

func (w *Writer) writeSegment(ctx context.Context) error {
	value := compress(w.buffer.Bytes())
	version, err := kv.Swap(ctx, w.store, kv.Put{Key: dataKey(w.dataID, len(w.segments)), Value: value})
	if err != nil {
		return err
	}
	w.segments = append(w.segments, SegmentRef{Items: w.bufferedItems, Version: version})
	w.buffer.Reset()
	w.bufferedItems = 0
	return nil
}

// Close stores the last segment and returns the file's head record, which is
// not written yet.
func (w *Writer) Close(ctx context.Context) (*FileHead, error) {
	if w.bufferedItems > 0 {
		if err := w.writeSegment(ctx); err != nil {
			return nil, err
		}
	}
	return &FileHead{
		Digest: hex.EncodeToString(w.digest.Sum(nil)), URL: w.url, Bytes: w.bytes, Items: w.items,
		DataID: w.dataID, Segments: w.segments,
	}, nil
}

// ReadSegment reads the items of input segment n.
func ReadSegment(ctx context.Context, store kv.Store, dataID string, n int) ([]Item, error) {
	r, err := kv.Read(ctx, store, dataKey(dataID, n))
	if err != nil {
		return nil, errors.Wrapf(err, "read input segment %d", n)
	}
	text, err := decompress(r.Payload)
	if err != nil {
		return nil, err
	}
	var items []Item
	for line := range bytes.Lines(text) {
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, errors.Wrapf(err, "decode input segment %d", n)
		}
		items = append(items, item)
	}
	return items, nil
}
