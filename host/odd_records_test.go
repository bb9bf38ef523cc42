package host

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
	"github.com/comfreyspindle/comfreyspindle/membership"
	"github.com/comfreyspindle/comfreyspindle/quarantine"
	"github.com/comfreyspindle/comfreyspindle/replica"
)

// Another writer left odd records beside the proper ones, also in the place of one. The
// hosts go on: they use no replica that such a record names, and all others.
func TestOddReplicaRecordsHarmNothing(t *testing.T) {
	const proper = `{"service":"svc","address":%q,"zone":"dc","version":"","capacity":%s,"state":"ready","born":%s}`
	rows := map[string]func(address string) string{
		"nested deeply":             func(string) string { return strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) },
		"nested deeply in a field":  func(string) string { return `{"service":` + strings.Repeat(`{"a":`, 200_000) },
		"a capacity too large":      func(a string) string { return fmt.Sprintf(proper, a, "9223372036854775807", "1") },
		"a capacity of a terabyte":  func(a string) string { return fmt.Sprintf(proper, a, "1099511627776", "1") },
		"a capacity beyond all":     func(a string) string { return fmt.Sprintf(proper, a, "1e400", "1") },
		"a negative capacity":       func(a string) string { return fmt.Sprintf(proper, a, "-8", "1") },
		"a start far ahead":         func(a string) string { return fmt.Sprintf(proper, a, "8", "9223372036854775807") },
		"a port out of range":       func(string) string { return fmt.Sprintf(proper, "127.0.0.1:99999", "8", "1") },
		"no port":                   func(string) string { return fmt.Sprintf(proper, "127.0.0.1", "8", "1") },
		"a name in place of an IP":  func(string) string { return fmt.Sprintf(proper, "replica:80", "8", "1") },
		"a list in place of a name": func(a string) string { return strings.Replace(fmt.Sprintf(proper, a, "8", "1"), `"svc"`, `["svc"]`, 1) },
		"not a text":                func(string) string { return "\xff\xfe\x00" },
	}
	for name, odd := range rows {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 20*time.Millisecond)
			a := f.start("a")
			oddReplica, other := f.replicas[0], f.replicas[1]
			require.True(t, oddReplica.SetRateLimit(0.5))
			_, err := call(a, "before")
			require.NoError(t, err)
			record := oddReplica.Record("svc", "dc", "ready", 4)
			for _, key := range []string{record.Key, record.Key + "-odd"} {
				f.put(txn.Write{Key: key, Value: []byte(odd(oddReplica.Address()))})
			}
			require.Eventually(t, func() bool {
				return !slices.ContainsFunc(a.replicas.snapshot(), func(r replica.Replica) bool { return r.ID == oddReplica.ID })
			}, testTimeout, time.Millisecond, "the host has read the record")
			require.Eventually(t, func() bool {
				got, err := call(a, fmt.Sprint("probe", time.Now().UnixNano()))
				return err == nil && got.Replica == other.ID
			}, testTimeout, 10*time.Millisecond)
			begun := len(oddReplica.Starts())
			var calls sync.WaitGroup
			for i := range 40 {
				calls.Go(func() {
					if got, err := call(a, fmt.Sprint("q", i)); err == nil && got.Status == http.StatusOK {
						assert.Equal(t, other.ID, got.Replica)
					}
				})
			}
			calls.Wait()
			require.Len(t, oddReplica.Starts(), begun, "the replica that the record names is not used")
			f.put(record)
			f.addReplica("new", "", time.Millisecond)
			require.Eventually(t, func() bool {
				got, err := call(a, fmt.Sprint("probe", time.Now().UnixNano()))
				return err == nil && got.Replica == "new"
			}, testTimeout, 10*time.Millisecond, "the host follows the records")
		})
	}
}

// The record of a host may be another writer's too.
func TestOddHostRecordsHarmNothing(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a, b := f.startPair()
	for key, value := range map[string]string{
		"x1": `{"name":"a","data_centre":"dc","peer_address":"127.0.0.1:1"}`,
		"x2": `{"name":"x2"}`,
		"x3": `{"name":"x3","data_centre":"dc","incarnation":1e99}`,
		"x4": strings.Repeat("[", 200_000),
		"x5": `{"name":"","data_centre":"","peer_address":"127.0.0.1:99999999"}`,
	} {
		f.put(txn.Write{Key: hostPrefix + key, Value: []byte(value)})
	}
	for i := range 20 {
		for _, h := range []*Host{a, b} {
			got, err := call(h, fmt.Sprint(h.settings.Host, i))
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, got.Status)
		}
	}
	time.Sleep(2 * hostBatchDelay)
	for _, h := range []*Host{a, b} {
		require.Len(t, membership.All(h.view), 2)
	}
}

// A record must not refuse another request than its key says, nor for longer than a host
// would.
func TestOddQuarantineRecordsAreRefused(t *testing.T) {
	f := newFleet(t, time.Millisecond)
	a := f.start("a")
	const fingerprint = quarantine.Fingerprint(7)
	for value, refused := range map[quarantine.Confirmed]bool{
		{Fingerprint: fingerprint, Until: time.Now().Add(time.Minute)}:                false,
		{Fingerprint: fingerprint + 1, Until: time.Now().Add(time.Minute)}:            true,
		{Fingerprint: fingerprint, Until: time.Now().Add(100 * 365 * 24 * time.Hour)}: true,
	} {
		text, err := json.Marshal(value)
		require.NoError(t, err)
		var n quarantine.Notice
		err = a.quarantine.decode(txn.Item{Key: quarantinePrefix + fingerprint.String(), Value: text}, &n)
		require.Equal(t, refused, err != nil, "%s", text)
		require.Equal(t, refused, len(n.Confirmed) == 0)
	}
}
