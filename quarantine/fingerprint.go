package quarantine

import (
	"bytes"
	"encoding/binary"
	"math"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// Fingerprint is a hash of the service, the path for a plain service, and the
// canonical body of a request. Equal requests have equal fingerprints.
type Fingerprint uint64

// ParseFingerprint returns the fingerprint that String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	value, err := strconv.ParseUint(text, 16, 64)
	return Fingerprint(value), errors.Wrap(err, "parse fingerprint")
}

// ignoredFields are the top-level fields of a body that don't affect the work
// of an engine and are left out of the fingerprint.
var ignoredFields = []string{
	"user", "metadata", "stream", "stream_options", "store", "safety_identifier", "prompt_cache_key", "service_tier", "resume",
}

// FingerprintOf returns the fingerprint of a request to an engine. Bodies that
// differ only in white space, the order of keys, the notation of numbers and
// strings, or ignored fields have the same fingerprint.
func FingerprintOf(service string, body []byte) Fingerprint {
	return FingerprintOfPath(service, "", body)
}

// FingerprintOfPath returns the fingerprint of a request to a plain service. It
// includes the path, because the path selects the operation there.
func FingerprintOfPath(service, path string, body []byte) Fingerprint {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(path)
	_, _ = h.Write([]byte{0})
	var sum [8]byte
	binary.LittleEndian.PutUint64(sum[:], hashBody(body))
	_, _ = h.Write(sum[:])
	return Fingerprint(h.Sum64())
}

// hashBody hashes the members of a JSON object, and the bytes of any other body.
func hashBody(body []byte) uint64 {
	body = bytes.TrimSpace(body)
	if len(body) == 0 || body[0] != '{' || !gjson.ValidBytes(body) {
		return xxhash.Sum64(body)
	}
	return hashObject(gjson.ParseBytes(body), true)
}

// hashObject adds up the hashes of the members, so that their order doesn't
// matter. At the top level it skips the ignored fields.
func hashObject(object gjson.Result, top bool) uint64 {
	sum := uint64(0)
	object.ForEach(func(key, value gjson.Result) bool {
		if !top || !isIgnored(key.String()) {
			sum += hashPair(xxhash.Sum64String(key.String()), hashValue(value))
		}
		return true
	})
	return hashPair('{', sum)
}

func isIgnored(key string) bool {
	for _, name := range ignoredFields {
		if strings.EqualFold(name, key) {
			return true
		}
	}
	return false
}

func hashValue(v gjson.Result) uint64 {
	switch {
	case v.IsObject():
		return hashObject(v, false)
	case v.IsArray():
		sum := uint64('[')
		v.ForEach(func(_, item gjson.Result) bool {
			sum = hashPair(sum, hashValue(item))
			return true
		})
		return sum
	case v.Type == gjson.Number:
		return hashPair('0', math.Float64bits(v.Num))
	case v.Type == gjson.String:
		return hashPair('"', xxhash.Sum64String(v.String()))
	default:
		return hashPair('l', xxhash.Sum64String(v.Raw))
	}
}

// hashPair hashes two hashes into one; their order matters.
func hashPair(a, b uint64) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], a)
	binary.LittleEndian.PutUint64(pair[8:], b)
	return xxhash.Sum64(pair[:])
}
