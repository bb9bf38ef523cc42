package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"mime/multipart"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/batch"
)

// Job describes a batch job.
type Job struct {
	Target string
	Key    string
	Model  string
	Items  int
	Tokens int
	Seed   uint64
	// IdempotencyKey is sent with file and job; empty sends none.
	IdempotencyKey string
	// Poll is the time between looks at a running job; zero takes 50 ms.
	Poll time.Duration
	// Word begins every prompt; empty adds none.
	Word string
	// Window is the completion window, such as 24h.
	Window string
}

// Lines returns the job's input file.
func (j *Job) Lines() []byte {
	rng := rand.New(rand.NewPCG(j.Seed, 2))
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for i := range j.Items {
		item := batch.Item{
			CustomID: fmt.Sprintf("item-%06d", i), Method: http.MethodPost, URL: "/v1/chat/completions",
			Body: ChatBody(j.Model, j.Word+" "+Prompt(rng, 32), j.Tokens, false),
		}
		if err := enc.Encode(&item); err != nil {
			panic(err)
		}
	}
	return out.Bytes()
}

// Submit sends the input file and creates the job.
func (j *Job) Submit(ctx context.Context, client *http.Client) (batch.Object, error) {
	return j.SubmitLines(ctx, client, j.Lines())
}

// SubmitLines sends an input file of the given lines and creates the job.
func (j *Job) SubmitLines(ctx context.Context, client *http.Client, lines []byte) (batch.Object, error) {
	var form bytes.Buffer
	w := multipart.NewWriter(&form)
	if err := w.WriteField("purpose", "batch"); err != nil {
		return batch.Object{}, err
	}
	part, err := w.CreateFormFile("file", "items.jsonl")
	if err != nil {
		return batch.Object{}, err
	}
	if _, err := part.Write(lines); err != nil {
		return batch.Object{}, err
	}
	if err := w.Close(); err != nil {
		return batch.Object{}, err
	}
	var file batch.File
	if err := j.call(ctx, client, http.MethodPost, "/v1/files", w.FormDataContentType(), &form, &file); err != nil {
		return batch.Object{}, err
	}
	body, err := json.Marshal(createBody{InputFileID: file.ID, Endpoint: "/v1/chat/completions", CompletionWindow: j.Window})
	if err != nil {
		return batch.Object{}, err
	}
	var job batch.Object
	return job, j.call(ctx, client, http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(body), &job)
}

type createBody struct {
	InputFileID      string `json:"input_file_id"`
	Endpoint         string `json:"endpoint"`
	CompletionWindow string `json:"completion_window,omitempty"`
}

// Get returns the job's state.
func (j *Job) Get(ctx context.Context, client *http.Client, id string) (batch.Object, error) {
	var job batch.Object
	return job, j.call(ctx, client, http.MethodGet, "/v1/batches/"+id, "", nil, &job)
}

// Await polls the job until it has ended. While the job can't be read, as in an
// outage, it goes on until ctx ends and returns the last error then.
func (j *Job) Await(ctx context.Context, client *http.Client, id string) (batch.Object, error) {
	interval := j.Poll
	if interval == 0 {
		interval = 50 * time.Millisecond
	}
	for {
		job, err := j.Get(ctx, client, id)
		if err == nil && (job.Status == batch.StatusCompleted || job.Status == batch.StatusCancelled) {
			return job, nil
		}
		select {
		case <-time.After(interval):
		case <-ctx.Done():
			return job, errors.CombineErrors(err, ctx.Err())
		}
	}
}

func (j *Job) call(ctx context.Context, client *http.Client, method, path, kind string, body io.Reader, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+j.Target+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+j.Key)
	if kind != "" {
		req.Header.Set("Content-Type", kind)
	}
	if j.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", j.IdempotencyKey)
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return errors.Newf("%s %s: status %d: %s", method, path, res.StatusCode, text)
	}
	return json.Unmarshal(text, out)
}
