package online

import (
	"io"

	"github.com/comfreyspindle/comfreyspindle/accounting"
	"github.com/comfreyspindle/comfreyspindle/escrow"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

const (
	// headerBytes is charged for the headers of a request and again for those
	// of a response.
	headerBytes = 1024
	// creditBytes is taken from the escrow at a time while a response is read.
	creditBytes = 4096
)

// crossRegionMeter charges the bytes of one attempt that cross between regions.
// They are taken from the escrow before they are sent or read.
type crossRegionMeter struct {
	runner *Runner
	req    *Request
	// crossRegion means that the upstream is in another region.
	crossRegion bool
	// requestBytes and responseBytes are the bytes charged so far; credit is
	// what was taken from the escrow for the response and not yet read.
	requestBytes  int64
	responseBytes int64
	credit        int64
	// requestPeriod and creditPeriod are the accounting periods that
	// requestBytes and credit were taken in.
	requestPeriod escrow.Period
	creditPeriod  escrow.Period
}

func (r *Runner) newCrossRegionMeter(req *Request, u *service.Upstream) *crossRegionMeter {
	return &crossRegionMeter{runner: r, req: req, crossRegion: u.Region != r.Region}
}

// chargeRequest takes the bytes of the request from the escrow. The error
// carries verdict NotRun.
func (m *crossRegionMeter) chargeRequest(body []byte) error {
	if !m.crossRegion {
		return nil
	}
	n := int64(len(body)) + headerBytes
	period, err := m.runner.Escrow.Spend(m.req.Doc, n)
	if err != nil {
		return err
	}
	m.requestBytes, m.requestPeriod = n, period
	return nil
}

// refundRequest refunds the charge for a request that was not sent.
func (m *crossRegionMeter) refundRequest() {
	if m.requestBytes > 0 {
		m.runner.Escrow.Refund(m.req.Doc, m.requestPeriod, m.requestBytes)
		m.requestBytes = 0
	}
}

// meterResponse returns the body of the response, wrapped so that its bytes are
// charged as they are read.
func (m *crossRegionMeter) meterResponse(body io.ReadCloser) io.ReadCloser {
	if !m.crossRegion {
		return body
	}
	return &meteredBody{ReadCloser: body, meter: m}
}

// ensureCredit takes more bytes from the escrow if the credit is used up, so
// that at least one byte may be read.
func (m *crossRegionMeter) ensureCredit() error {
	if m.credit > 0 {
		return nil
	}
	n := int64(creditBytes)
	if m.responseBytes == 0 {
		n += headerBytes
	}
	period, err := m.runner.Escrow.Spend(m.req.Doc, n)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCeiling,
			"The answer was cut: service %s has no room for more bytes between regions.", m.req.Doc.Name)
	}
	if m.responseBytes == 0 {
		m.responseBytes = headerBytes
	}
	m.credit, m.creditPeriod = creditBytes, period
	return nil
}

// settle returns unused credit to the escrow and records the bytes that were
// used.
func (m *crossRegionMeter) settle() {
	if m.credit > 0 {
		m.runner.Escrow.Refund(m.req.Doc, m.creditPeriod, m.credit)
		m.credit = 0
	}
	m.runner.recordCost(m.req, accounting.CrossRegionBytes, "request", int(m.requestBytes))
	m.runner.recordCost(m.req, accounting.CrossRegionBytes, "answer", int(m.responseBytes))
}

type meteredBody struct {
	io.ReadCloser
	meter *crossRegionMeter
}

// Read implements io.Reader.
func (m *meteredBody) Read(p []byte) (int, error) {
	if err := m.meter.ensureCredit(); err != nil {
		return 0, err
	}
	n, err := m.ReadCloser.Read(p[:min(int64(len(p)), m.meter.credit)])
	m.meter.credit -= int64(n)
	m.meter.responseBytes += int64(n)
	return n, err
}

// recordCost adds a cost of the request to the counters.
func (r *Runner) recordCost(req *Request, kind accounting.Kind, reason string, n int) {
	r.Costs.Add(req.Doc.Name, req.Caller, kind, reason, int64(n))
}

// recordUsage records the token counts that a response without streaming
// states.
func (s *requestState) recordUsage(res *upstream.Response, body []byte) {
	if s.req.Doc.Kind != service.KindEngine || res.Status != 200 {
		return
	}
	prompt, completion := parseUsage(body)
	s.runner.recordCost(s.req, accounting.PromptTokens, "", int(prompt))
	s.runner.recordCost(s.req, accounting.AnswerTokens, "", int(completion))
}
