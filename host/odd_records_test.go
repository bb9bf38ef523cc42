package host

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/kv/txn"
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
