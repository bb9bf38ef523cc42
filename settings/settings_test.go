package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/settings"
	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

const minimal = `host: h1
data_centre: fukuoka-hakata
region: fukuoka
platform:
  addresses: ["127.0.0.1:9999"]
`

func TestMinimalFileGetsDefaults(t *testing.T) {
	s, err := settings.Parse("s.yaml", []byte(minimal))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8080", s.Listen.Callers)
	require.False(t, s.TLS.Enabled())
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	rows := []struct {
		name string
		text string
		want string
	}{
		{"unknown key", minimal + "regoin: x\n", `s.yaml:6: unknown key "regoin"`},
		{"unknown nested key", minimal + "log:\n  lvl: info\n", `s.yaml:7: unknown key "lvl"`},
		{"bad duration", minimal + "stop:\n  timeout: 5parsecs\n", "s.yaml:7: stop.timeout: `5parsecs` is not a duration"},
		{"duration without unit", minimal + "stop:\n  timeout: 5\n", "s.yaml:7: stop.timeout: `5` is not a duration"},
		{"host name as address", minimal + "listen:\n  peers: localhost:7080\n", `s.yaml:7: listen.peers: "localhost:7080" is not an IP number and port`},
		{"name in a list", minimal + "peers:\n  - 127.0.0.1:1\n  - node-2:1\n", `s.yaml:8: peers[1]: "node-2:1" is not an IP number and port`},
		{"missing data centre", "host: h1\nregion: r\nplatform: {addresses: ['127.0.0.1:1']}\n", `s.yaml:1: data_centre: is missing`},
		{"wrong level", minimal + "log:\n  level: loud\n", `s.yaml:7: log.level: "loud" is none of: debug info warning error`},
		{"half of the certificates", minimal + "tls:\n  key: k.pem\n", `s.yaml:6: tls.certificate: is missing`},
		{"wrong type", minimal + "gateway:\n  max_body_bytes: many\n", "s.yaml:7: gateway.max_body_bytes: `many` is not a whole number"},
		{"same key twice", minimal + "host: h2\n", `s.yaml:6: mapping key "host" already defined at line 1`},
		{"no YAML", "host: [", `s.yaml:1: `},
		{"empty", "", `s.yaml:1: host: is missing`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			_, err := settings.Parse("s.yaml", []byte(row.text))
			require.ErrorContains(t, err, row.want)
			errtest.Is(t, err, yamlcheck.ErrInvalid)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte("host: [\n"))
	f.Add([]byte("stop: {timeout: 5parsecs}\n"))
	f.Add([]byte("peers: [&a x, *a]\nlog: !!binary abc\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := settings.Parse("s.yaml", text); err == nil && s.Host == "" {
			t.Fatal("settings without a host were accepted")
		}
	})
}
