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
	// is under the platform's limit whatever its content.
	maxSegmentBytes = 900_000
	// segmentsBeforeGrowth is the number of segments after which segments
	// grow, so that a job's record stays small.
	segmentsBeforeGrowth = 256
)

// SegmentRef describes one input segment.
type SegmentRef struct {
	Items   int        `json:"n"`
	Version kv.Version `json:"v"`
}

// FileHead describes an input file. Its creation accepts the file.
type FileHead struct {
	ID      string `json:"id"`
	Name    string `json:"name"`
	Service string `json:"service"`
	Caller  string `json:"caller"`
	Digest  string `json:"digest"`
	// URL is that of all items.
	URL       string       `json:"url"`
	Bytes     int64        `json:"bytes"`
	Items     int          `json:"items"`
	CreatedAt time.Time    `json:"created_at"`
	Data      string       `json:"data"`
	Segments  []SegmentRef `json:"segments"`
	// Jobs are the jobs that read the file.
	Jobs []string `json:"jobs,omitempty"`
}

// File is a file's head at one version.
type File struct {
	*FileHead
	Version kv.Version
}

// LoadFile reads a file's head.
func LoadFile(ctx context.Context, platform kv.Store, id string) (*File, error) {
	r, err := kv.Read(ctx, platform, keyFile+id)
	if err != nil {
		return nil, err
	}
	f := &File{FileHead: &FileHead{}, Version: r.Version}
	return f, decode(r.Payload, f.FileHead)
}

func putFile(ctx context.Context, platform kv.Store, f *FileHead, version kv.Version) (kv.Version, error) {
	value, err := encode(f)
	if err != nil {
		return 0, err
	}
	return kv.Swap(ctx, platform, kv.Put{Key: keyFile + f.ID, Value: value, If: version})
}

// Writer cuts items into segments and stores them. It holds one segment.
type Writer struct {
	platform     kv.Store
	segmentItems int
	data         string
	digest       hash.Hash
	url          string
	text         bytes.Buffer
	inSegment    int
	items        int
	bytes        int64
	segments     []SegmentRef
}

// NewWriter returns a writer under a new data id.
func NewWriter(platform kv.Store, segmentItems int) *Writer {
	return &Writer{platform: platform, segmentItems: segmentItems, data: ulid.Make().String(), digest: sha256.New()}
}

// Data returns the id under which segments are stored.
func (w *Writer) Data() string { return w.data }

// Add takes the next item.
func (w *Writer) Add(ctx context.Context, item *Item) error {
	line, err := json.Marshal(item)
	if err != nil {
		return errors.Wrap(err, "encode item")
	}
	line = append(line, '\n')
	if w.inSegment > 0 && (w.inSegment >= w.limit() || w.text.Len()+len(line) > maxSegmentBytes) {
		if err := w.cut(ctx); err != nil {
			return err
		}
	}
	_, _ = w.digest.Write(line)
	w.url = item.URL
	w.text.Write(line)
	w.inSegment++
	w.items++
	w.bytes += int64(len(line))
	return nil
}

// limit is the number of items in a segment, which grows with the file.
func (w *Writer) limit() int { return max(w.segmentItems, w.items/segmentsBeforeGrowth) }

func (w *Writer) cut(ctx context.Context) error {
	value := compress(w.text.Bytes())
	version, err := kv.Swap(ctx, w.platform, kv.Put{Key: dataKey(w.data, len(w.segments)), Value: value})
	if err != nil {
		return err
	}
	w.segments = append(w.segments, SegmentRef{Items: w.inSegment, Version: version})
	w.text.Reset()
	w.inSegment = 0
	return nil
}

// Close stores the last segment and returns the file's head, not yet created.
func (w *Writer) Close(ctx context.Context) (*FileHead, error) {
	if w.inSegment > 0 {
		if err := w.cut(ctx); err != nil {
			return nil, err
		}
	}
	return &FileHead{
		Digest: hex.EncodeToString(w.digest.Sum(nil)), URL: w.url, Bytes: w.bytes, Items: w.items,
		Data: w.data, Segments: w.segments,
	}, nil
}

// ReadSegment returns the items of an input segment.
func ReadSegment(ctx context.Context, platform kv.Store, data string, n int) ([]Item, error) {
	r, err := kv.Read(ctx, platform, dataKey(data, n))
	if err != nil {
		return nil, errors.Wrapf(err, "input segment %d", n)
	}
	text, err := decompress(r.Payload)
	if err != nil {
		return nil, err
	}
	var items []Item
	for line := range bytes.Lines(text) {
		var item Item
		if err := json.Unmarshal(line, &item); err != nil {
			return nil, errors.Wrapf(err, "input segment %d", n)
		}
		items = append(items, item)
	}
	return items, nil
}
