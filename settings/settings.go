// Package settings defines the settings of one process, such as its addresses,
// data centre and first peers. They are read once at start-up. Configuration that
// changes while the process runs is in service documents (package service).
package settings

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

// Settings are the settings of one process.
type Settings struct {
	// Host is the host's name, unique in its data centre.
	Host string `yaml:"host" validate:"required,max=64,label"`
	// DataCentre is the name of the host's data centre.
	DataCentre string `yaml:"data_centre" validate:"required,label"`
	// Region is the name of the region that contains the data centre.
	Region string `yaml:"region" validate:"required,label"`
	// Listen holds the addresses on which the process listens.
	Listen Listen `yaml:"listen"`
	// Peers are the peer addresses of the hosts that the process contacts first at
	// start-up.
	Peers []string `yaml:"peers" validate:"dive,ipport"`
	// Platform configures access to the platform's key-value store.
	Platform Platform `yaml:"platform"`
	// DataFolder is the folder for bulk data on disk. It is empty on a host without
	// a disk.
	DataFolder string `yaml:"data_folder,omitempty"`
	// Log configures the log output.
	Log Log `yaml:"log"`
	// Gateway limits the size and duration of callers' requests.
	Gateway Gateway `yaml:"gateway"`
	// Operators configures the operators' interface.
	Operators Operators `yaml:"operators"`
	// TLS names the certificate files for mutual TLS between hosts.
	TLS TLS `yaml:"tls"`
	// Stop limits the duration of a planned stop.
	Stop Stop `yaml:"stop"`
	// Timeline limits the ring buffer of time line events.
	Timeline Timeline `yaml:"timeline"`

	source string
	text   []byte
}

// At returns "file:line: key" for a key such as listen.callers, for errors that
// are only detected when a value is used.
func (s *Settings) At(key string) string { return yamlcheck.At(s.source, s.text, key) }

// Listen holds addresses, each an IP number and port. Port 0 selects a free port.
type Listen struct {
	// Callers is the address of the interface for callers.
	Callers string `yaml:"callers" default:"127.0.0.1:8080" validate:"ipport"`
	// Peers is the address for traffic from other hosts.
	Peers string `yaml:"peers" default:"127.0.0.1:7080" validate:"ipport"`
	// Operators is the address of the operators' interface, which also serves
	// metrics.
	Operators string `yaml:"operators" default:"127.0.0.1:9080" validate:"ipport"`
}

// Platform configures access to the platform's key-value store.
type Platform struct {
	// Addresses are the addresses of the store, tried in order.
	Addresses []string `yaml:"addresses" validate:"required,min=1,dive,ipport"`
	// Timeout limits the duration of one call, except for watches that wait for
	// changes.
	Timeout time.Duration `yaml:"timeout" default:"2s" validate:"gt=0"`
	// WritesPerSecond limits the rate at which the host sends writes to the store.
	WritesPerSecond float64 `yaml:"writes_per_second" default:"20" validate:"gt=0"`
	// ReadsPerSecond limits the rate at which the host sends reads to the store.
	ReadsPerSecond float64 `yaml:"reads_per_second" default:"100" validate:"gt=0"`
}

// Log configures the log output.
type Log struct {
	// Level is the lowest level that is logged.
	Level string `yaml:"level" default:"info" validate:"oneof=debug info warning error"`
	// Format is the format of log lines.
	Format string `yaml:"format" default:"json" validate:"oneof=json text"`
}

// Gateway limits the size and duration of callers' requests.
type Gateway struct {
	// MaxHeaderBytes limits the size of a request's headers.
	MaxHeaderBytes int `yaml:"max_header_bytes" default:"65536" validate:"min=1024"`
	// MaxBodyBytes limits the size of a request's body, except for uploaded files.
	MaxBodyBytes int64 `yaml:"max_body_bytes" default:"8388608" validate:"min=1024"`
	// MaxHeldBytes limits the size of the bodies of all requests together, except for uploaded
	// files, from their arrival until they are answered.
	MaxHeldBytes int64 `yaml:"max_held_bytes" default:"268435456" validate:"min=1048576"`
	// MaxFileBytes limits the size of an input file of a batch job.
	MaxFileBytes int64 `yaml:"max_file_bytes" default:"268435456" validate:"min=1024"`
	// MaxLineBytes limits the length of a line of an input file.
	MaxLineBytes int `yaml:"max_line_bytes" default:"1048576" validate:"min=1024"`
	// ReadTimeout limits the time that a caller may take to send headers or body.
	ReadTimeout time.Duration `yaml:"read_timeout" default:"30s" validate:"gt=0"`
	// IdleTimeout is how long a connection without requests stays open.
	IdleTimeout time.Duration `yaml:"idle_timeout" default:"2m" validate:"gt=0"`
}

// Operators configures the operators' interface.
type Operators struct {
	// TokenSHA256 is the hexadecimal SHA-256 digest of the operators' token. If it
	// is empty, the interface rejects every change.
	TokenSHA256 string `yaml:"token_sha256,omitempty" validate:"omitempty,len=64,hexadecimal"`
}

// TLS names the PEM files for mutual TLS between hosts. Either all or none must
// be set.
type TLS struct {
	// Certificate is the file with the host's certificate.
	Certificate string `yaml:"certificate,omitempty" validate:"required_with=Key Authority"`
	// Key is the file with the private key of the certificate.
	Key string `yaml:"key,omitempty" validate:"required_with=Certificate Authority"`
	// Authority is the file with the certificates of the authorities that sign the
	// hosts' certificates.
	Authority string `yaml:"authority,omitempty" validate:"required_with=Certificate Key"`
}

// Enabled reports whether TLS between hosts is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Stop limits the duration of a planned stop.
type Stop struct {
	// BalancerDelay is how long the host still accepts new connections after its
	// readiness check begins to fail, so that load balancers can notice.
	BalancerDelay time.Duration `yaml:"balancer_delay" default:"5s" validate:"min=0"`
	// Timeout limits how long the host waits for running requests to end.
	Timeout time.Duration `yaml:"timeout" default:"10m" validate:"gt=0"`
}

// Timeline limits the ring buffer of time line events.
type Timeline struct {
	// Events is the number of newest events that the host keeps.
	Events int `yaml:"events" default:"16384" validate:"min=64,max=1048576"`
}

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, text)
}

// Parse decodes and validates settings. Source is the name of the text in errors.
func Parse(source string, text []byte) (*Settings, error) {
	s := &Settings{source: source, text: text}
	if err := yamlcheck.Decode(source, text, s); err != nil {
		return nil, err
	}
	return s, nil
}
