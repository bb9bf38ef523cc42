package node

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/comfreyspindle/comfreyspindle/settings"
)

// NewLogger returns a logger with the format and level of the settings. An invalid
// level is ignored, because the validation of the settings rejects it.
func NewLogger(s settings.Log) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	return log
}
