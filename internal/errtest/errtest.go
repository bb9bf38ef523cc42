// Package errtest holds test assertions on errors.
package errtest

import (
	"testing"

	"github.com/cockroachdb/errors"
)

// Is fails the test unless err is, wraps or is marked as target. The standard
// library's errors.Is does not see marks.
func Is(t testing.TB, err, target error) {
	t.Helper()
	if !errors.Is(err, target) {
		t.Fatalf("error %v is not %q", err, target)
	}
}
