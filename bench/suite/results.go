package suite

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"

	"github.com/comfreyspindle/comfreyspindle/bench/load"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

// tally counts the results of a job's items.
type tally struct {
	lost  int
	twice int
	wrong int
	// failed items ended with a reason.
	failed int
}

// check reads a job's result file and compares it with the input.
func (s *system) check(ctx context.Context, j *load.Job, file, target string) (*tally, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+target+"/v1/files/"+file+"/content", nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+j.Key)
	res, err := s.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(res.Body)
		return nil, errors.Newf("result file: status %d: %s", res.StatusCode, text)
	}
	return tallyResults(j, res.Body)
}

func tallyResults(j *load.Job, results io.Reader) (*tally, error) {
	prompts := make(map[string]string, j.Items)
	input := bufio.NewScanner(strings.NewReader(string(j.Lines())))
	input.Buffer(nil, maxLine)
	for input.Scan() {
		line := gjson.ParseBytes(input.Bytes())
		prompts[line.Get("custom_id").String()] = upstreamtest.Prompt([]byte(line.Get("body").Raw))
	}
	seen := make(map[string]int, j.Items)
	t := &tally{}
	lines := bufio.NewScanner(results)
	lines.Buffer(nil, maxLine)
	for lines.Scan() {
		line := gjson.ParseBytes(lines.Bytes())
		id := line.Get("custom_id").String()
		seen[id]++
		answer := line.Get("response.body.choices.0.message.content")
		switch {
		case line.Get("error.code").Exists():
			t.failed++
		case answer.String() != upstreamtest.Answer(prompts[id], j.Tokens):
			t.wrong++
		}
	}
	for id := range prompts {
		t.lost += max(0, 1-seen[id])
		t.twice += max(0, seen[id]-1)
	}
	return t, lines.Err()
}

// maxLine bounds a line of a result file, in bytes.
const maxLine = 4 << 20
