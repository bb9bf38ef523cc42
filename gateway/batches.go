package gateway

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"github.com/comfreyspindle/comfreyspindle/batch"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// maxPageSize is the largest number of jobs that listBatches returns in one page.
const maxPageSize = 100

// createFile stores an uploaded input file of a batch job.
func (g *Gateway) createFile(c echo.Context) error {
	limited := &timeoutBody{
		ReadCloser: c.Request().Body, timeout: g.Limits.ReadTimeout,
		setDeadline: http.NewResponseController(c.Response()).SetReadDeadline,
	}
	c.Request().Body = http.MaxBytesReader(c.Response(), limited, g.Limits.MaxFileBytes)
	parts, err := c.Request().MultipartReader()
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The body is not multipart/form-data.")
	}
	for {
		part, err := parts.NextPart()
		if errors.Is(err, io.EOF) {
			return verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The field file is missing.").WithParam("file")
		}
		if err != nil {
			return readError(err)
		}
		if part.FormName() != "file" {
			continue
		}
		f, err := g.Batches.PutFile(c.Request().Context(), identityOf(c), part.FileName(), c.Request().Header.Get(HeaderIdempotencyKey), part)
		if err != nil {
			return err
		}
		return g.respond(c, f)
	}
}

// timeoutBody applies the read timeout to each Read instead of to the whole
// body, because uploading a large file may take longer than one timeout.
type timeoutBody struct {
	io.ReadCloser
	timeout     time.Duration
	setDeadline func(time.Time) error
}

// Read implements io.Reader. It clears the deadline after each read: a deadline
// that expired while the file is being stored would cancel the request.
func (p *timeoutBody) Read(b []byte) (int, error) {
	if err := p.setDeadline(time.Now().Add(p.timeout)); err != nil {
		return 0, err
	}
	n, err := p.ReadCloser.Read(b)
	if clearErr := p.setDeadline(time.Time{}); clearErr != nil {
		return n, clearErr
	}
	return n, err
}

func (g *Gateway) getFile(c echo.Context) error {
	f, err := g.Batches.File(c.Request().Context(), identityOf(c), c.Param("id"))
	if err != nil {
		return err
	}
	return g.respond(c, f)
}

func (g *Gateway) getFileContent(c echo.Context) error {
	ctx := c.Request().Context()
	if _, err := g.Batches.File(ctx, identityOf(c), c.Param("id")); err != nil {
		return err
	}
	w := &lazyWriter{c: c}
	err := g.Batches.Content(ctx, identityOf(c), c.Param("id"), c.QueryParam("order") == "input", w)
	if err == nil {
		_, err = w.Write(nil)
	}
	if err != nil && w.headerSent {
		// The status has been sent, so closing the connection is the only way
		// to show the caller that the file is incomplete.
		g.abort(c)
	}
	return err
}

// lazyWriter sends the status and headers on the first Write, so that an error
// before it can still be returned with a status of its own.
type lazyWriter struct {
	c          echo.Context
	headerSent bool
}

// Write implements io.Writer.
func (w *lazyWriter) Write(p []byte) (int, error) {
	if !w.headerSent {
		w.headerSent = true
		w.c.Response().Header().Set(echo.HeaderContentType, "application/jsonl")
		w.c.Response().WriteHeader(http.StatusOK)
	}
	return w.c.Response().Write(p)
}

type createBatchBody struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

func (g *Gateway) createBatch(c echo.Context) error {
	body, err := g.readBody(c)
	if err != nil {
		return err
	}
	if _, err := parseObject(body); err != nil {
		return err
	}
	var in createBatchBody
	if err := json.Unmarshal(body, &in); err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "The body has a field of the wrong type: %v.", err)
	}
	window, err := parseCompletionWindow(in.CompletionWindow)
	if err != nil {
		return err
	}
	job, err := g.Batches.Create(c.Request().Context(), identityOf(c), batch.CreateRequest{
		InputFileID: in.InputFileID, Endpoint: in.Endpoint, CompletionWindow: window, Metadata: in.Metadata,
		IdempotencyKey: c.Request().Header.Get(HeaderIdempotencyKey),
	})
	if err != nil {
		return err
	}
	return g.respond(c, job.Object())
}

// parseCompletionWindow parses a completion window. It returns 0 for an empty
// one, which selects the default of the service document.
func parseCompletionWindow(window string) (time.Duration, error) {
	if window == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(window)
	if err != nil || d <= 0 {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "The completion window must be a time such as 24h.").WithParam("completion_window")
	}
	return d, nil
}

func (g *Gateway) getBatch(c echo.Context) error {
	job, err := g.Batches.Job(c.Request().Context(), identityOf(c), c.Param("id"))
	if err != nil {
		return err
	}
	return g.respond(c, job.Object())
}

func (g *Gateway) cancelBatch(c echo.Context) error {
	job, err := g.Batches.Cancel(c.Request().Context(), identityOf(c), c.Param("id"))
	if err != nil {
		return err
	}
	return g.respond(c, job.Object())
}

type batchList struct {
	Object  string         `json:"object"`
	Data    []batch.Object `json:"data"`
	HasMore bool           `json:"has_more"`
}

func (g *Gateway) listBatches(c echo.Context) error {
	limit, err := strconv.Atoi(c.QueryParam("limit"))
	if err != nil || limit < 1 || limit > maxPageSize {
		limit = maxPageSize
	}
	jobs, more, err := g.Batches.List(c.Request().Context(), identityOf(c), c.QueryParam("after"), limit)
	if err != nil {
		return err
	}
	list := batchList{Object: "list", Data: []batch.Object{}, HasMore: more}
	for i := range jobs {
		list.Data = append(list.Data, jobs[i].Object())
	}
	return g.respond(c, list)
}

// respond writes v as JSON with the verdict ran. It is used for requests that
// the system handles itself, without an upstream.
func (g *Gateway) respond(c echo.Context, v any) error {
	c.Response().Header().Set(HeaderVerdict, verdict.Ran.String())
	return c.JSON(http.StatusOK, v)
}
