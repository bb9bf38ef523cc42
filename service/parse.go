package service

import (
	"bytes"

	"github.com/goccy/go-yaml"

	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

// Parse decodes, completes and validates a document. The source names the
// file in errors; every error names line and field.
func Parse(source string, text []byte) (*Document, error) {
	doc := &Document{}
	if err := yamlcheck.Decode(source, text, doc); err != nil {
		return nil, err
	}
	if err := doc.check(); err != nil {
		return nil, err
	}
	return doc, nil
}

// Marshal encodes a document as YAML.
func Marshal(doc *Document) ([]byte, error) {
	var out bytes.Buffer
	if err := yaml.NewEncoder(&out).Encode(doc); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
