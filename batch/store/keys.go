package store

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Prefixes of the keys in the store.
const (
	filePrefix   = "batch/file/"
	dataPrefix   = "batch/data/"
	jobPrefix    = "batch/job/"
	chunkPrefix  = "batch/chunk/"
	resentPrefix = "batch/resent/"
	activePrefix = "batch/active/"
	expiryPrefix = "batch/expiry/"
	callerPrefix = "batch/caller/"
)

// idBytes is the number of bytes of the digest in the id of a file or job.
const idBytes = 12

func dataKey(dataID string, n int) string { return fmt.Sprintf("%s%s/%d", dataPrefix, dataID, n) }

func chunkKey(run string, ref ChunkRef, segment int) string {
	return fmt.Sprintf("%s%s/%d/%d/%d", chunkPrefix, run, segment, ref.Epoch, ref.Sequence)
}

// digestOf returns a short digest of the parts. Each part is prefixed with its
// length, so that different lists of parts never yield the same text, whatever
// bytes they hold.
func digestOf(parts ...string) string {
	var text strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&text, "%d:%s", len(p), p)
	}
	sum := sha256.Sum256([]byte(text.String()))
	return hex.EncodeToString(sum[:idBytes])
}
