// Package settings defines the settings of one process: its addresses, data
// centre and first peers. They are read once, at the start. What changes while
// the process runs is in service documents (package service).
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

// Settings are the settings of one daemon.
type Settings struct {
	// Host is the host's name, unique in its data centre.
	Host string `yaml:"host" validate:"required,max=64,label"`
	// DataCentre is where the host stands.
	DataCentre string `yaml:"data_centre" validate:"required,label"`
	// Region is the region of the data centre.
	Region string `yaml:"region" validate:"required,label"`
	// Listen holds the addresses that the process binds.
	Listen Listen `yaml:"listen"`
	// Peers are the peer addresses of hosts that the process asks first.
	Peers []string `yaml:"peers" validate:"dive,ipport"`
	// Platform says how to reach the platform's key-value service.
	Platform Platform `yaml:"platform"`
	// DataFolder holds bulk data; empty on a host without a disk.
	DataFolder string `yaml:"data_folder,omitempty"`
	// Log steers the log output.
	Log Log `yaml:"log"`
	// Gateway bounds callers' requests.
	Gateway Gateway `yaml:"gateway"`
	// Operators steers the operators' interface.
	Operators Operators `yaml:"operators"`
	// TLS names the certificates for traffic between hosts.
	TLS TLS `yaml:"tls"`
	// Stop bounds a planned stop.
	Stop Stop `yaml:"stop"`
	// Timeline bounds the event ring.
	Timeline Timeline `yaml:"timeline"`

	source string
	text   []byte
}

// At returns "file:line: key" of a key such as listen.callers, for errors that
// show only when a value is used.
func (s *Settings) At(key string) string { return yamlcheck.At(s.source, s.text, key) }

// Listen holds addresses as IP number and port; port 0 takes a free one.
type Listen struct {
	// Callers is the address of the callers' interface.
	Callers string `yaml:"callers" default:"127.0.0.1:8080" validate:"ipport"`
	// Peers is the address for traffic between hosts.
	Peers string `yaml:"peers" default:"127.0.0.1:7080" validate:"ipport"`
	// Operators is the address of the operators' interface and metrics.
	Operators string `yaml:"operators" default:"127.0.0.1:9080" validate:"ipport"`
}

// Platform says how to reach the platform's key-value service.
type Platform struct {
	// Addresses are the service's addresses, tried in order.
	Addresses []string `yaml:"addresses" validate:"required,min=1,dive,ipport"`
	// Timeout bounds one call, waiting watches apart.
	Timeout time.Duration `yaml:"timeout" default:"2s" validate:"gt=0"`
	// WritesPerSecond is the host's own budget for writes.
	WritesPerSecond float64 `yaml:"writes_per_second" default:"20" validate:"gt=0"`
	// ReadsPerSecond is the host's own budget for reads.
	ReadsPerSecond float64 `yaml:"reads_per_second" default:"100" validate:"gt=0"`
}

// Log steers the log output.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `yaml:"level" default:"info" validate:"oneof=debug info warning error"`
	// Format is the form of a log line.
	Format string `yaml:"format" default:"json" validate:"oneof=json text"`
}

// Gateway bounds callers' requests.
type Gateway struct {
	// MaxHeaderBytes bounds the headers of a request.
	MaxHeaderBytes int `yaml:"max_header_bytes" default:"65536" validate:"min=1024"`
	// MaxBodyBytes bounds the body of a request, files apart.
	MaxBodyBytes int64 `yaml:"max_body_bytes" default:"8388608" validate:"min=1024"`
	// MaxFileBytes bounds an input file of a batch job.
	MaxFileBytes int64 `yaml:"max_file_bytes" default:"268435456" validate:"min=1024"`
	// MaxLineBytes bounds one line of an input file.
	MaxLineBytes int `yaml:"max_line_bytes" default:"1048576" validate:"min=1024"`
	// ReadTimeout bounds the time that a caller takes to send headers or body.
	ReadTimeout time.Duration `yaml:"read_timeout" default:"30s" validate:"gt=0"`
	// IdleTimeout closes a connection without requests.
	IdleTimeout time.Duration `yaml:"idle_timeout" default:"2m" validate:"gt=0"`
}

// Operators steers the operators' interface.
type Operators struct {
	// TokenSHA256 is the hexadecimal SHA-256 digest of the operators' token;
	// the interface refuses every change while it is empty.
	TokenSHA256 string `yaml:"token_sha256,omitempty" validate:"omitempty,len=64,hexadecimal"`
}

// TLS names PEM files for mutual TLS between hosts. All or none are set.
type TLS struct {
	// Certificate is the host's certificate.
	Certificate string `yaml:"certificate,omitempty" validate:"required_with=Key Authority"`
	// Key is the private key of the certificate.
	Key string `yaml:"key,omitempty" validate:"required_with=Certificate Authority"`
	// Authority holds the certificates that sign those of all hosts.
	Authority string `yaml:"authority,omitempty" validate:"required_with=Certificate Key"`
}

// Enabled reports whether certificates are named.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Stop bounds a planned stop.
type Stop struct {
	// BalancerDelay is the wait between readiness off and the refusal of new
	// connections.
	BalancerDelay time.Duration `yaml:"balancer_delay" default:"5s" validate:"min=0"`
	// Timeout bounds the wait for running requests.
	Timeout time.Duration `yaml:"timeout" default:"10m" validate:"gt=0"`
}

// Timeline bounds the event ring.
type Timeline struct {
	// Events is the number of events that the host keeps.
	Events int `yaml:"events" default:"16384" validate:"min=64,max=1048576"`
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and checks settings; the source names the text in errors.
func Parse(source string, text []byte) (*Settings, error) {
	s := &Settings{source: source, text: text}
	if err := yamlcheck.Decode(source, text, s); err != nil {
		return nil, err
	}
	return s, nil
}
