package fleet_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/fleet"
	"github.com/comfreyspindle/comfreyspindle/service"
	"github.com/comfreyspindle/comfreyspindle/upstream/upstreamtest"
)

func startKyushu(t *testing.T) *fleet.Fleet {
	doc, err := service.Parse("kyushu", examples.Kyushu)
	require.NoError(t, err)
	f, err := fleet.Start(fleet.Spec{
		Places: []fleet.Place{
			{DataCentre: "fukuoka-hakata", Region: "fukuoka", Hosts: 1},
			{DataCentre: "kumamoto-kita", Region: "kumamoto", Hosts: 1},
		},
		Documents: []*service.Document{doc},
	})
	require.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

func client(h *fleet.Host, key string) openai.Client {
	return openai.NewClient(
		option.WithBaseURL("http://"+h.Node.CallersAddress()+"/v1"),
		option.WithAPIKey(key), option.WithMaxRetries(0))
}

func chatParams(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "dispatch",
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func TestOfficialClientChat(t *testing.T) {
	f := startKyushu(t)
	c := client(f.Hosts[0], examples.KeyCrews)
	res, err := c.Chat.Completions.New(context.Background(), chatParams("where next", 8))
	require.NoError(t, err)
	require.Equal(t, upstreamtest.Answer("where next", 8), res.Choices[0].Message.Content)
}

func TestOfficialClientStream(t *testing.T) {
	f := startKyushu(t)
	c := client(f.Hosts[1], examples.KeyCrews)
	stream := c.Chat.Completions.NewStreaming(context.Background(), chatParams("next round", 20))
	text := ""
	for stream.Next() {
		text += stream.Current().Choices[0].Delta.Content
	}
	require.NoError(t, stream.Err())
	require.Equal(t, upstreamtest.Answer("next round", 20), text)
}

func TestOfficialClientBatch(t *testing.T) {
	f := startKyushu(t)
	ctx := context.Background()
	c := client(f.Hosts[0], examples.KeyRouteDesk)
	input := `{"custom_id":"a","method":"POST","url":"/v1/chat/completions","body":{"model":"dispatch","messages":[{"role":"user","content":"sheet a"}]}}
{"custom_id":"b","method":"POST","url":"/v1/chat/completions","body":{"model":"dispatch","messages":[{"role":"user","content":"sheet b"}]}}
`
	file, err := c.Files.New(ctx, openai.FileNewParams{
		File: openai.File(strings.NewReader(input), "sheets.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	require.NoError(t, err)
	job, err := c.Batches.New(ctx, openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	require.NoError(t, err)
	require.Eventually(t, func() bool {
		job, err = c.Batches.Get(ctx, job.ID)
		return err == nil && job.Status == openai.BatchStatusCompleted
	}, 20*time.Second, 10*time.Millisecond)
	require.EqualValues(t, 2, job.RequestCounts.Completed)
	res, err := c.Files.Content(ctx, job.OutputFileID)
	require.NoError(t, err)
	text, err := io.ReadAll(res.Body)
	require.NoError(t, err)
	require.Contains(t, string(text), strings.TrimSpace(upstreamtest.Answer("sheet a", 16)))
	require.Contains(t, string(text), `"custom_id":"b"`)
}
