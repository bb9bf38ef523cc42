package batch

import (
	"context"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/batch/store"
	"github.com/comfreyspindle/comfreyspindle/config"
	"github.com/comfreyspindle/comfreyspindle/kv"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/verdict"
)

// upload checks and stores a file's items as they come.
type upload struct {
	manager *Manager
	who     config.Identity
	key     string
	doc     *service.Document
	caller  string
	url     string
	stored  *store.Upload
}

// PutFile implements API.
func (m *Manager) PutFile(ctx context.Context, who config.Identity, name, key string, r io.Reader) (File, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	u := &upload{manager: m, who: who, key: key}
	err := store.ReadItems(r, m.o.MaxLineBytes, func(line int, item *store.Item) error { return u.add(ctx, line, item) })
	if err != nil {
		return File{}, refused(err)
	}
	f, _, err := u.stored.Accept(ctx, name)
	if err != nil {
		return File{}, refused(err)
	}
	return fileOf(f), nil
}

func fileOf(f *store.File) File {
	return File{ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.CreatedAt.Unix(), Filename: f.Name, Purpose: "batch"}
}

// add checks that an item belongs to the file's service and stores it.
func (u *upload) add(ctx context.Context, line int, item *store.Item) error {
	doc, caller, err := u.manager.serviceOf(u.who, item)
	if err != nil {
		return store.LineError(line, "body.model", err.Error())
	}
	if u.stored == nil {
		if err := u.begin(ctx, doc, caller, item.URL); err != nil {
			return err
		}
	}
	if doc.Name != u.doc.Name {
		return store.LineError(line, "body.model", "names service "+doc.Name+", but the file began with "+u.doc.Name)
	}
	if item.URL != u.url {
		return store.LineError(line, "url", "differs from the first line's")
	}
	return u.stored.Add(ctx, item)
}

func (u *upload) begin(ctx context.Context, doc *service.Document, caller, url string) error {
	var err error
	u.doc, u.caller, u.url = doc, caller, url
	u.stored, err = u.manager.acceptor.BeginUpload(ctx, originOf(doc, caller, u.key), doc.Batch.SegmentItems)
	return err
}

func originOf(doc *service.Document, caller, key string) store.Origin {
	return store.Origin{
		Service: doc.Name, Caller: caller, Key: key,
		Window: doc.Batch.ResendWindow, Retention: doc.Batch.Retention,
	}
}

// serviceOf returns the service that an item's model names.
func (m *Manager) serviceOf(who config.Identity, item *store.Item) (*service.Document, string, error) {
	model := gjson.GetBytes(item.Body, "model")
	if model.Type != gjson.String {
		return nil, "", errors.New("must be a string")
	}
	doc, ok := m.o.Config.Current().Lookup(model.String())
	if !ok {
		return nil, "", errors.Newf("no service answers to %q", model.String())
	}
	caller, ok := who.Callers[doc.Name]
	if !ok {
		return nil, "", errors.Newf("the caller may not use service %s", doc.Name)
	}
	if !doc.Batch.Enabled || doc.Kind != service.KindEngine {
		return nil, "", errors.Newf("service %s takes no batch jobs", doc.Name)
	}
	return doc, caller, nil
}

// retryAdvice is when a caller tries again while the platform is away.
const retryAdvice = 5 * time.Second

// refused gives an error of an acceptance its verdict.
func refused(err error) error {
	var known *verdict.Error
	switch {
	case errors.As(err, &known):
		return err
	case errors.Is(err, store.ErrContentMismatch):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeConflict, "The idempotency key was used with other content.").WithParam("Idempotency-Key")
	case errors.Is(err, store.ErrMayBeAccepted):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable,
			"The platform did not say whether the job was recorded; send it again, it is the same job.").WithRetryAfter(retryAdvice)
	case errors.Is(err, store.ErrShardFull):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeOverloaded, "Too many jobs are active.").WithRetryAfter(time.Minute)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable,
			"The platform can't record it now; nothing was accepted.").WithRetryAfter(retryAdvice)
	}
}

// File implements API.
func (m *Manager) File(ctx context.Context, who config.Identity, id string) (File, error) {
	if job, kind, ok := resultOf(id); ok {
		rec, err := m.load(ctx, who, job, "file", id)
		if err != nil {
			return File{}, err
		}
		return File{ID: id, Object: "file", CreatedAt: rec.AcceptedAt.Unix(), Filename: job + kind + ".jsonl", Purpose: "batch_output"}, nil
	}
	f, err := m.loadFile(ctx, who, id)
	if err != nil {
		return File{}, err
	}
	return fileOf(f), nil
}

// resultOf splits the id of a result file.
func resultOf(id string) (job, kind string, ok bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return job, "-output", true
	}
	job, ok = strings.CutPrefix(id, errorPrefix)
	return job, "-errors", ok
}

func (m *Manager) loadFile(ctx context.Context, who config.Identity, id string) (*store.File, error) {
	f, err := store.LoadFile(ctx, m.o.KV, id)
	if err == nil && (f.DataID == "" || f.Caller == "" || who.Callers[f.Service] != f.Caller) {
		err = kv.ErrNotFound
	}
	if err != nil {
		return nil, unreadable(err, "file", id)
	}
	return f, nil
}

func unreadable(err error, what, id string) error {
	if errors.Is(err, kv.ErrNotFound) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no %s %s.", what, id)
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The platform can't be read now.").WithRetryAfter(retryAdvice)
}

// Content implements API.
func (m *Manager) Content(ctx context.Context, who config.Identity, id string, inputOrder bool, w io.Writer) error {
	job, kind, ok := resultOf(id)
	if !ok {
		return m.inputContent(ctx, who, id, w)
	}
	rec, err := m.load(ctx, who, job, "file", id)
	if err != nil {
		return err
	}
	failed := kind == "-errors"
	enc := json.NewEncoder(w)
	err = store.ReadResults(ctx, m.o.KV, rec.Record, inputOrder, func(_ int, r *store.ItemResult) error {
		if (r.Result.Error != nil) != failed {
			return nil
		}
		return enc.Encode(&r.Result)
	})
	if err != nil {
		return unreadable(err, "file", id)
	}
	return nil
}

func (m *Manager) inputContent(ctx context.Context, who config.Identity, id string, w io.Writer) error {
	f, err := m.loadFile(ctx, who, id)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	for n := range f.Segments {
		items, err := store.ReadSegment(ctx, m.o.KV, f.DataID, n)
		if err != nil {
			return unreadable(err, "file", id)
		}
		for i := range items {
			if err := enc.Encode(&items[i]); err != nil {
				return err
			}
		}
	}
	return nil
}
