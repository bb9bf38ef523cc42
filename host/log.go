package host

import (
	"io"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// maxQueuedLines is the number of log lines that may wait to be written.
const maxQueuedLines = 4096

// queuedWriter writes lines in the background. When its queue is full it drops
// lines and counts them, so that a slow output never delays a request.
type queuedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

func newQueuedWriter(to io.Writer) *queuedWriter {
	w := &queuedWriter{lines: make(chan []byte, maxQueuedLines)}
	go func() {
		for line := range w.lines {
			// A failure to write the log can't be logged.
			_, _ = to.Write(line)
		}
	}()
	return w
}

// Write implements io.Writer.
func (w *queuedWriter) Write(p []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.dropped.Add(1)
	}
	return len(p), nil
}

// newLogger returns a logger that writes JSON lines and registers the counter
// of dropped lines.
func newLogger(to io.Writer, reg prometheus.Registerer) *logrus.Logger {
	w := newQueuedWriter(to)
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	reg.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "comfreyspindle_log_dropped_total", Help: "Log lines dropped because the output was slow.",
	}, func() float64 { return float64(w.dropped.Load()) }))
	return log
}
