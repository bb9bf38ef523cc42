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
	// headerBytes is charged for the headers of a request and of an answer.
	headerBytes = 1024
	// chargeBytes is taken at a time for an answer that streams in.
	chargeBytes = 4096
)

// bill charges the bytes of one try that cross between regions. They are taken
// from the escrow before they are sent or read.
type bill struct {
	runner *Runner
	req    *Request
	// crosses says that the upstream is in another region.
	crosses bool
	sent    int64
	read    int64
	credit  int64
	// sentIn and creditIn are the periods that sent and credit belong to.
	sentIn   escrow.Period
	creditIn escrow.Period
}

func (r *Runner) bill(req *Request, u *service.Upstream) *bill {
	return &bill{runner: r, req: req, crosses: u.Region != r.Region}
}

// request takes the bytes of the request. The error carries verdict NotRun.
func (b *bill) request(body []byte) error {
	if !b.crosses {
		return nil
	}
	n := int64(len(body)) + headerBytes
	period, err := b.runner.Escrow.Spend(b.req.Doc, n)
	if err != nil {
		return err
	}
	b.sent, b.sentIn = n, period
	return nil
}

// refund gives the bytes of a request back that was not sent.
func (b *bill) refund() {
	if b.sent > 0 {
		b.runner.Escrow.Refund(b.req.Doc, b.sentIn, b.sent)
		b.sent = 0
	}
}

// answer meters the body of the answer.
func (b *bill) answer(body io.ReadCloser) io.ReadCloser {
	if !b.crosses {
		return body
	}
	return &meteredBody{ReadCloser: body, bill: b}
}

// take makes sure that at least one byte may be read.
func (b *bill) take() error {
	if b.credit > 0 {
		return nil
	}
	n := int64(chargeBytes)
	if b.read == 0 {
		n += headerBytes
	}
	period, err := b.runner.Escrow.Spend(b.req.Doc, n)
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeCeiling,
			"The answer was cut: service %s has no room for more bytes between regions.", b.req.Doc.Name)
	}
	if b.read == 0 {
		b.read = headerBytes
	}
	b.credit, b.creditIn = chargeBytes, period
	return nil
}

// close gives unused credit back and books what was used.
func (b *bill) close() {
	if b.credit > 0 {
		b.runner.Escrow.Refund(b.req.Doc, b.creditIn, b.credit)
		b.credit = 0
	}
	b.runner.count(b.req, accounting.CrossRegionBytes, "request", int(b.sent))
	b.runner.count(b.req, accounting.CrossRegionBytes, "answer", int(b.read))
}

type meteredBody struct {
	io.ReadCloser
	bill *bill
}

// Read implements io.Reader.
func (m *meteredBody) Read(p []byte) (int, error) {
	if err := m.bill.take(); err != nil {
		return 0, err
	}
	n, err := m.ReadCloser.Read(p[:min(int64(len(p)), m.bill.credit)])
	m.bill.credit -= int64(n)
	m.bill.read += int64(n)
	return n, err
}

// count books a cost of the request.
func (r *Runner) count(req *Request, kind accounting.Kind, reason string, n int) {
	r.Costs.Add(req.Doc.Name, req.Caller, kind, reason, int64(n))
}

// countWhole books an answer that was not streamed.
func (t *try) countWhole(res *upstream.Response, body []byte) {
	if t.req.Doc.Kind != service.KindEngine || res.Status != 200 {
		return
	}
	prompt, answer := usageOf(body)
	t.runner.count(t.req, accounting.PromptTokens, "", int(prompt))
	t.runner.count(t.req, accounting.AnswerTokens, "", int(answer))
}
