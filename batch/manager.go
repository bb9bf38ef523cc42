package batch

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/platform"
	"github.com/comfreyspindle/comfreyspindle/routing"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/timeline"
	"github.com/comfreyspindle/comfreyspindle/upstream"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// Keys in the platform's service.
const (
	keyFiles   = "batch/file/"
	keyJobs    = "batch/job/"
	keyResults = "batch/result/"
)

// slots bounds the items that one host runs at one time.
const slots = 8

// Manager is the first, simple form of the batch path: a job is one value, and
// the host that accepts it runs it.
type Manager struct {
	Store    platform.Store
	Config   *config.Holder
	Balancer routing.Balancer
	Client   *upstream.Client
	Events   *timeline.Recorder
	Clock    clockwork.Clock
	Log      *logrus.Entry
	// MaxLineBytes bounds a line of an input file.
	MaxLineBytes int

	running sync.WaitGroup
}

var _ API = (*Manager)(nil)

// PutFile implements API.
func (m *Manager) PutFile(ctx context.Context, _ config.Identity, name string, r io.Reader) (File, error) {
	var items []*Item
	err := ReadItems(r, m.MaxLineBytes, func(_ int, item *Item) error {
		items = append(items, item)
		return nil
	})
	if err != nil {
		return File{}, err
	}
	text, err := json.Marshal(items)
	if err != nil {
		return File{}, err
	}
	id := "file-" + ulid.Make().String()
	if _, err := platform.Swap(ctx, m.Store, platform.Put{Key: keyFiles + id, Value: text}); err != nil {
		return File{}, notAccepted(err)
	}
	return File{ID: id, Object: "file", Bytes: int64(len(text)), CreatedAt: m.Clock.Now().Unix(), Filename: name, Purpose: "batch"}, nil
}

func notAccepted(err error) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The platform can't record it now.").WithRetryAfter(time.Second)
}

// File implements API.
func (m *Manager) File(ctx context.Context, _ config.Identity, id string) (File, error) {
	key := keyFiles + id
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		key = keyResults + job
	}
	r, err := platform.Read(ctx, m.Store, key)
	if errors.Is(err, platform.ErrNotFound) {
		return File{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no file %s.", id)
	}
	return File{ID: id, Object: "file", Bytes: int64(len(r.Payload)), Purpose: "batch"}, err
}

// Content implements API.
func (m *Manager) Content(ctx context.Context, _ config.Identity, id string, _ bool, w io.Writer) error {
	job, ok := strings.CutPrefix(id, outputPrefix)
	if !ok {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no result file %s.", id)
	}
	r, err := platform.Read(ctx, m.Store, keyResults+job)
	if err != nil {
		return err
	}
	_, err = w.Write(r.Payload)
	return err
}

// Create implements API.
func (m *Manager) Create(ctx context.Context, who config.Identity, req CreateRequest) (Job, error) {
	r, err := platform.Read(ctx, m.Store, keyFiles+req.InputFileID)
	if errors.Is(err, platform.ErrNotFound) {
		return Job{}, verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no file %s.", req.InputFileID).WithParam("input_file_id")
	}
	if err != nil {
		return Job{}, notAccepted(err)
	}
	var items []*Item
	if err := json.Unmarshal(r.Payload, &items); err != nil {
		return Job{}, err
	}
	doc, ok := m.Config.Current().Lookup(gjson.GetBytes(items[0].Body, "model").String())
	if !ok {
		return Job{}, verdict.New(verdict.NotRun, verdict.CodeUnknownService, "No service answers to the items' model.").WithParam("model")
	}
	job := m.newJob(doc, who.Callers[doc.Name], req, len(items))
	if err := m.put(ctx, &job, 0); err != nil {
		return Job{}, notAccepted(err)
	}
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		m.run(context.WithoutCancel(ctx), doc, job, items)
	}()
	return job, nil
}

func (m *Manager) newJob(doc *service.Document, caller string, req CreateRequest, items int) Job {
	due := req.Due
	if due == 0 {
		due = doc.Batch.Due
	}
	digest := sha256.Sum256([]byte(caller + "\x00" + doc.Name + "\x00" + req.Key + "\x00" + req.InputFileID))
	now := m.Clock.Now()
	return Job{
		ID: "batch-" + hex.EncodeToString(digest[:12]), Service: doc.Name, Caller: caller, Endpoint: req.Endpoint,
		InputFileID: req.InputFileID, Metadata: req.Metadata, Status: StatusInProgress,
		AcceptedAt: now, DueAt: now.Add(due), Items: items,
	}
}

func (m *Manager) put(ctx context.Context, job *Job, version platform.Version) error {
	text, err := json.Marshal(job)
	if err != nil {
		return err
	}
	_, err = platform.Swap(ctx, m.Store, platform.Put{Key: keyJobs + job.ID, Value: text, If: version})
	return err
}

// run runs all items and records the results.
func (m *Manager) run(ctx context.Context, doc *service.Document, job Job, items []*Item) {
	results := make([]Result, len(items))
	var group sync.WaitGroup
	room := make(chan struct{}, slots)
	for i, item := range items {
		room <- struct{}{}
		group.Add(1)
		go func() {
			defer group.Done()
			defer func() { <-room }()
			results[i] = m.runItem(ctx, doc, item)
		}()
	}
	group.Wait()
	if err := m.finish(ctx, job, results); err != nil {
		m.Log.WithError(err).WithField("job", job.ID).Error("job not recorded")
	}
}

func (m *Manager) finish(ctx context.Context, job Job, results []Result) error {
	var out bytes.Buffer
	enc := json.NewEncoder(&out)
	for i := range results {
		if results[i].Error != nil {
			job.Failed++
		} else {
			job.Completed++
		}
		if err := enc.Encode(&results[i]); err != nil {
			return err
		}
	}
	if _, err := platform.Swap(ctx, m.Store, platform.Put{Key: keyResults + job.ID, Value: out.Bytes()}); err != nil {
		return err
	}
	r, err := platform.Read(ctx, m.Store, keyJobs+job.ID)
	if err != nil {
		return err
	}
	job.Status = StatusCompleted
	job.EndedAt = m.Clock.Now()
	return m.put(ctx, &job, r.Version)
}

func (m *Manager) runItem(ctx context.Context, doc *service.Document, item *Item) Result {
	result := Result{CustomID: item.CustomID}
	id := ulid.Make().String()
	body, status, err := m.send(ctx, doc, id, item)
	if err != nil {
		e := verdict.As(err)
		result.Error = &ItemError{Code: e.Code, Message: e.Message, Verdict: e.Verdict}
		return result
	}
	result.Response = &ItemResponse{StatusCode: status, RequestID: id, Body: body}
	return result
}

func (m *Manager) send(ctx context.Context, doc *service.Document, id string, item *Item) ([]byte, int, error) {
	choice, err := m.Balancer.Choose(routing.Ask{Doc: doc, Batch: true})
	if err != nil {
		return nil, 0, err
	}
	var outcome routing.Outcome
	defer func() { choice.Done(outcome) }()
	res, err := m.Client.Send(ctx, &choice.Upstream, &upstream.Request{
		ID: id, Method: http.MethodPost, Path: item.URL, Body: item.Body,
		Header: http.Header{"Content-Type": {"application/json"}},
	})
	if err != nil {
		outcome.Err = err
		return nil, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	outcome.Err = err
	return body, res.Status, err
}

// Job implements API.
func (m *Manager) Job(ctx context.Context, _ config.Identity, id string) (Job, error) {
	var job Job
	r, err := platform.Read(ctx, m.Store, keyJobs+id)
	if errors.Is(err, platform.ErrNotFound) {
		return job, verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no job %s.", id)
	}
	if err != nil {
		return job, err
	}
	return job, json.Unmarshal(r.Payload, &job)
}

// Cancel implements API.
func (m *Manager) Cancel(context.Context, config.Identity, string) (Job, error) {
	return Job{}, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "Jobs can't be cancelled yet.")
}

// List implements API.
func (m *Manager) List(context.Context, config.Identity, string, int) ([]Job, bool, error) {
	return nil, false, nil
}

// Wait waits until all running jobs have ended.
func (m *Manager) Wait() { m.running.Wait() }
