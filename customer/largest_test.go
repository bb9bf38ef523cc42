package customer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/customer"
)

// Guards against a metric with a label for each of thousands of customers, against labels
// that customers with equal use take from each other again and again, and against state of
// customers that are gone.
func TestLargestBoundsLabels(t *testing.T) {
	var l customer.Largest
	now := time.Unix(1_700_000_000, 0)
	labels := make(map[string]struct{})
	for range 10 {
		for i := range 200 {
			now = now.Add(time.Millisecond)
			label, replaced := l.Add(now, fmt.Sprint("c", i), 1)
			require.Empty(t, replaced)
			labels[label] = struct{}{}
		}
	}
	require.Len(t, labels, customer.MaxLabels+1)
	label, replaced := l.Add(now, "large", 100)
	require.Equal(t, "large", label)
	require.NotEmpty(t, replaced)
	label, _ = l.Add(now, replaced, 1)
	require.Equal(t, customer.OtherLabel, label)
}

// Guards against a customer that keeps its label for what it used long ago.
func TestLargestForgetsUse(t *testing.T) {
	var l customer.Largest
	now := time.Unix(1_700_000_000, 0)
	for i := range customer.MaxLabels {
		l.Add(now, fmt.Sprint("c", i), 1000)
	}
	label, _ := l.Add(now, "new", 10)
	require.Equal(t, customer.OtherLabel, label)
	label, replaced := l.Add(now.Add(time.Hour), "new", 10)
	require.Equal(t, "new", label)
	require.NotEmpty(t, replaced)
}
