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

// fileUpload validates and stores the items of an input file while it is read.
// The service and the URL are those of the first item.
type fileUpload struct {
	manager  *Manager
	identity config.Identity
	key      string
	doc      *service.Document
	caller   string
	url      string
	upload   *store.Upload
}

// PutFile implements API.
func (m *Manager) PutFile(ctx context.Context, identity config.Identity, name, key string, r io.Reader) (File, error) {
	ctx = kv.WithPurpose(ctx, kv.PurposeBatch)
	u := &fileUpload{manager: m, identity: identity, key: key}
	err := store.ReadItems(r, m.o.MaxLineBytes, func(line int, item *store.Item) error { return u.add(ctx, line, item) })
	if err != nil {
		return File{}, acceptanceError(err)
	}
	f, _, err := u.upload.Accept(ctx, name)
	if err != nil {
		return File{}, acceptanceError(err)
	}
	return fileOf(f), nil
}

func fileOf(f *store.File) File {
	return File{ID: f.ID, Object: "file", Bytes: f.Bytes, CreatedAt: f.CreatedAt.Unix(), Filename: f.Name, Purpose: "batch"}
}

// add checks that an item has the same service and URL as the first one, and
// stores it.
func (u *fileUpload) add(ctx context.Context, line int, item *store.Item) error {
	doc, caller, err := u.manager.serviceOf(u.identity, item)
	if err != nil {
		return store.LineError(line, "body.model", err.Error())
	}
	if u.upload == nil {
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
	return u.upload.Add(ctx, item)
}

// begin starts the upload with the service and the URL of the first item.
func (u *fileUpload) begin(ctx context.Context, doc *service.Document, caller, url string) error {
	var err error
	u.doc, u.caller, u.url = doc, caller, url
	u.upload, err = u.manager.acceptor.BeginUpload(ctx, originOf(doc, caller, u.key), doc.Batch.SegmentItems)
	return err
}

func originOf(doc *service.Document, caller, key string) store.Origin {
	return store.Origin{
		Service: doc.Name, Caller: caller, Key: key,
		Window: doc.Batch.ResendWindow, Retention: doc.Batch.Retention,
	}
}

// serviceOf returns the service that an item's model names, and the name of the
// caller in that service. Its errors complete a message about the field.
func (m *Manager) serviceOf(identity config.Identity, item *store.Item) (*service.Document, string, error) {
	model := gjson.GetBytes(item.Body, "model")
	if model.Type != gjson.String {
		return nil, "", errors.New("must be a string")
	}
	doc, ok := m.o.Config.Current().Lookup(model.String())
	if !ok {
		return nil, "", errors.Newf("no service answers to %q", model.String())
	}
	caller, ok := identity.Callers[doc.Name]
	if !ok {
		return nil, "", errors.Newf("the caller may not use service %s", doc.Name)
	}
	if !doc.Batch.Enabled || doc.Kind != service.KindEngine {
		return nil, "", errors.Newf("service %s takes no batch jobs", doc.Name)
	}
	return doc, caller, nil
}

// retryAfter is the delay after which a caller is advised to try again while the
// store is unavailable.
const retryAfter = 5 * time.Second

// acceptanceError returns the error for callers, with its verdict, of a failed
// acceptance of a file or job.
func acceptanceError(err error) error {
	var verdictErr *verdict.Error
	switch {
	case errors.As(err, &verdictErr):
		return err
	case errors.Is(err, store.ErrContentMismatch):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeConflict, "The idempotency key was used with other content.").WithParam("Idempotency-Key")
	case errors.Is(err, store.ErrMayBeAccepted):
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodePlatformUnavailable,
			"The platform did not say whether the job was recorded; send it again, it is the same job.").WithRetryAfter(retryAfter)
	case errors.Is(err, store.ErrShardFull):
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeOverloaded, "Too many jobs are active.").WithRetryAfter(time.Minute)
	default:
		return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable,
			"The platform can't record it now; nothing was accepted.").WithRetryAfter(retryAfter)
	}
}

// File implements API.
func (m *Manager) File(ctx context.Context, identity config.Identity, id string) (File, error) {
	if job, suffix, ok := parseResultID(id); ok {
		rec, err := m.loadForCaller(ctx, identity, job, "file", id)
		if err != nil {
			return File{}, err
		}
		return File{ID: id, Object: "file", CreatedAt: rec.AcceptedAt.Unix(), Filename: job + suffix + ".jsonl", Purpose: "batch_output"}, nil
	}
	f, err := m.loadFile(ctx, identity, id)
	if err != nil {
		return File{}, err
	}
	return fileOf(f), nil
}

// parseResultID splits the id of a result file into the job's id and the suffix
// of the file name. It reports whether the id is one of a result file.
func parseResultID(id string) (job, suffix string, ok bool) {
	if job, ok := strings.CutPrefix(id, outputPrefix); ok {
		return job, "-output", true
	}
	job, ok = strings.CutPrefix(id, errorPrefix)
	return job, "-errors", ok
}

// loadFile reads the head record of an input file that belongs to the identity.
func (m *Manager) loadFile(ctx context.Context, identity config.Identity, id string) (*store.File, error) {
	f, err := store.LoadFile(ctx, m.o.KV, id)
	if err == nil && (f.DataID == "" || f.Caller == "" || identity.Callers[f.Service] != f.Caller) {
		err = kv.ErrNotFound
	}
	if err != nil {
		return nil, readError(err, "file", id)
	}
	return f, nil
}

// readError returns the error for callers, with its verdict, of a failed read.
func readError(err error, kind, id string) error {
	if errors.Is(err, kv.ErrNotFound) {
		return verdict.New(verdict.NotRun, verdict.CodeNotFound, "There is no %s %s.", kind, id)
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodePlatformUnavailable, "The platform can't be read now.").WithRetryAfter(retryAfter)
}

// Content implements API.
func (m *Manager) Content(ctx context.Context, identity config.Identity, id string, inputOrder bool, w io.Writer) error {
	job, suffix, ok := parseResultID(id)
	if !ok {
		return m.inputContent(ctx, identity, id, w)
	}
	rec, err := m.loadForCaller(ctx, identity, job, "file", id)
	if err != nil {
		return err
	}
	failed := suffix == "-errors"
	enc := json.NewEncoder(w)
	err = store.ReadResults(ctx, m.o.KV, rec.Record, inputOrder, func(_ int, r *store.ItemResult) error {
		if (r.Result.Error != nil) != failed {
			return nil
		}
		return enc.Encode(&r.Result)
	})
	if err != nil {
		return readError(err, "file", id)
	}
	return nil
}

// inputContent writes the content of an input file.
func (m *Manager) inputContent(ctx context.Context, identity config.Identity, id string, w io.Writer) error {
	f, err := m.loadFile(ctx, identity, id)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(w)
	for n := range f.Segments {
		items, err := store.ReadSegment(ctx, m.o.KV, f.DataID, n)
		if err != nil {
			return readError(err, "file", id)
		}
		for i := range items {
			if err := enc.Encode(&items[i]); err != nil {
				return err
			}
		}
	}
	return nil
}
