package intake_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/intake"
	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
)

const mebibyte = 1 << 20

func newBudget(limit int64) *intake.Budget { return newBudgetWith(clockwork.NewFakeClock(), limit) }

func newBudgetWith(clock clockwork.Clock, limit int64) *intake.Budget {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return intake.NewBudget(limit, clock, logrus.NewEntry(log))
}

func TestBodyIsReadWithinItsLimits(t *testing.T) {
	text := strings.Repeat("0123456789", 100_000)
	for _, row := range []struct {
		name          string
		length, limit int64
		budget        *intake.Budget
		err           error
	}{
		{"length known", 1_000_000, 1_000_000, newBudget(4 * mebibyte), nil},
		{"in chunks", -1, 1_000_000, newBudget(8 * mebibyte), nil},
		{"no bounds", -1, 0, nil, nil},
		{"announced too large", 1_000_001, 1_000_000, newBudget(8 * mebibyte), intake.ErrTooLarge},
		{"too large in chunks", -1, 999_999, newBudget(8 * mebibyte), intake.ErrTooLarge},
		{"no memory left", 1_000_000, 1_000_000, newBudget(mebibyte), intake.ErrFull},
	} {
		t.Run(row.name, func(t *testing.T) {
			h := row.budget.Begin(func() {})
			body, err := h.ReadBody(iotest.HalfReader(strings.NewReader(text)), row.length, row.limit)
			if row.err != nil {
				errtest.Is(t, err, row.err)
			} else {
				require.NoError(t, err)
				require.Equal(t, text, string(body))
			}
			h.End()
			require.Zero(t, row.budget.Counts().Used)
		})
	}
}

func TestAnnouncedBodyHoldsLittle(t *testing.T) {
	b := newBudget(64 * mebibyte)
	h := b.Begin(func() {})
	_, err := h.ReadBody(iotest.TimeoutReader(iotest.OneByteReader(bytes.NewReader(make([]byte, 100)))), 32*mebibyte, 0)
	errtest.Is(t, err, iotest.ErrTimeout)
	require.LessOrEqual(t, b.Counts().Used, int64(32<<10))
}

func TestStalledRequestMakesRoom(t *testing.T) {
	clock := clockwork.NewFakeClock()
	b := newBudgetWith(clock, 4*mebibyte)
	dropped := false
	stalled := b.Begin(func() { dropped = true })
	require.NoError(t, stalled.Grow(2*mebibyte))
	arrived := b.Begin(func() { t.Error("a request that has arrived was dropped") })
	require.NoError(t, arrived.Grow(mebibyte/2))
	arrived.Arrived()
	other := b.Begin(func() {})
	errtest.Is(t, other.Grow(mebibyte), intake.ErrFull)
	require.NoError(t, other.Grow(1<<10), "a part is kept for small requests")
	clock.Advance(time.Second)
	other.Progress()
	require.NoError(t, other.Grow(mebibyte))
	require.True(t, dropped)
	errtest.Is(t, stalled.Grow(1), intake.ErrDropped)
	require.False(t, b.DropStalled(), "none of the others has stalled")
}
