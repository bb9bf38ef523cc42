//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync/atomic"
	"time"
)

// answer is what a client received.
type answer struct {
	status int
	body   string
	seal   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no answer: " + a.err.Error()
	}
	return fmt.Sprintf("status %d, %d bytes", a.status, len(a.body))
}

var nextRequest atomic.Int64

// call sends one request on a new connection.
func call(e *edge, method, host, path, id string, body []byte, timeout time.Duration) answer {
	req, err := http.NewRequest(method, "http://"+e.Front+path, bytes.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if id == "" {
		id = fmt.Sprintf("r%07d", nextRequest.Add(1))
	}
	req.Host, req.Close = host, true
	req.Header.Set(protocol.RequestID, id)
	req.Header.Set(protocol.TimeoutMs, strconv.FormatInt(timeout.Milliseconds(), 10))
	client := &http.Client{Timeout: timeout + 1500*time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	return answer{status: res.StatusCode, body: string(text), seal: res.Header.Get(protocol.Seal), err: err}
}

// submit submits a batch job of n items.
func submit(e *edge, id string, n int) answer {
	return submitBodies(e, id, slices.Repeat([]string{"body"}, n))
}

// submitBodies submits a batch job with an item for each body.
func submitBodies(e *edge, id string, bodies []string) answer {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var m struct {
		Items []item `json:"items"`
	}
	for i, body := range bodies {
		m.Items = append(m.Items, item{itemID(id, i), protocol.SlipsPrefix + "1/" + itemID(id, i), map[string]string{}, []byte(body), 450})
	}
	text, err := json.Marshal(m)
	if err != nil {
		return answer{err: err}
	}
	return call(e, http.MethodPost, protocol.SlipsHost, protocol.SlipsPrefix+id, id, text, 4*time.Second)
}

func itemID(job string, n int) string { return fmt.Sprintf("%s-%02d", job, n) }

// page is a page of results.
type page struct {
	Total   int `json:"total"`
	Results []struct {
		ID     string `json:"id"`
		State  string `json:"state"`
		Output string `json:"output"`
	} `json:"results"`
}

// read reads the results of a batch job from the start.
func read(e *edge, id string) (page, answer) {
	var p page
	a := call(e, http.MethodGet, protocol.SlipsHost, protocol.Jobs+id+"?after=0", "", nil, 4*time.Second)
	if a.err == nil && a.status == http.StatusOK {
		a.err = json.Unmarshal([]byte(a.body), &p)
	}
	return p, a
}
