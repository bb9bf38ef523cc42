package settings_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/internal/errtest"
	"github.com/comfreyspindle/comfreyspindle/settings"
	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

const smallest = `host: h1
data_centre: fukuoka-hakata
region: fukuoka
platform:
  addresses: ["127.0.0.1:9999"]
`

func TestSmallestFile(t *testing.T) {
	s, err := settings.Parse("s.yaml", []byte(smallest))
	require.NoError(t, err)
	require.Equal(t, "127.0.0.1:8080", s.Listen.Callers)
	require.False(t, s.TLS.Enabled())
}

func TestFaultsNameFileLineAndKey(t *testing.T) {
	rows := []struct {
		name string
		text string
		want string
	}{
		{"unknown key", smallest + "regoin: x\n", `s.yaml:6: unknown key "regoin"`},
		{"unknown nested key", smallest + "log:\n  lvl: info\n", `s.yaml:7: unknown key "lvl"`},
		{"bad duration", smallest + "stop:\n  timeout: 5parsecs\n", "s.yaml:7: stop.timeout: `5parsecs` is not a duration"},
		{"duration without unit", smallest + "stop:\n  timeout: 5\n", "s.yaml:7: stop.timeout: `5` is not a duration"},
		{"host name as address", smallest + "listen:\n  peers: localhost:7080\n", `s.yaml:7: listen.peers: "localhost:7080" is not an IP number and port`},
		{"name in a list", smallest + "peers:\n  - 127.0.0.1:1\n  - node-2:1\n", `s.yaml:8: peers[1]: "node-2:1" is not an IP number and port`},
		{"missing data centre", "host: h1\nregion: r\nplatform: {addresses: ['127.0.0.1:1']}\n", `s.yaml:1: data_centre: is missing`},
		{"wrong level", smallest + "log:\n  level: loud\n", `s.yaml:7: log.level: "loud" is none of: debug info warning error`},
		{"half of the certificates", smallest + "tls:\n  key: k.pem\n", `s.yaml:6: tls.certificate: is missing`},
		{"wrong type", smallest + "gateway:\n  max_body_bytes: many\n", "s.yaml:7: gateway.max_body_bytes: `many` is not a whole number"},
		{"same key twice", smallest + "host: h2\n", `s.yaml:6: mapping key "host" already defined at line 1`},
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
	f.Add([]byte(smallest))
	f.Add([]byte("host: [\n"))
	f.Add([]byte("stop: {timeout: 5parsecs}\n"))
	f.Add([]byte("peers: [&a x, *a]\nlog: !!binary abc\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if s, err := settings.Parse("s.yaml", text); err == nil && s.Host == "" {
			t.Fatal("settings without a host were accepted")
		}
	})
}
