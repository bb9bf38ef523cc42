package service

import (
	"bytes"

	"go.yaml.in/yaml/v3"

	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

// Parse decodes a document, sets defaults and validates it. Source is the name of
// the file in errors. Errors of the text and of single keys also name line and key.
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

// UnmarshalYAML sets the defaults of a list element before it decodes the text.
func (m *Model) UnmarshalYAML(unmarshal func(any) error) error {
	type plain Model
	return yamlcheck.DecodeElement((*plain)(m), unmarshal)
}

// UnmarshalYAML sets the defaults of a list element before it decodes the text.
func (c *Caller) UnmarshalYAML(unmarshal func(any) error) error {
	type plain Caller
	return yamlcheck.DecodeElement((*plain)(c), unmarshal)
}

// UnmarshalYAML sets the defaults of a list element before it decodes the text.
func (c *Class) UnmarshalYAML(unmarshal func(any) error) error {
	type plain Class
	return yamlcheck.DecodeElement((*plain)(c), unmarshal)
}

// Marshal encodes a document as YAML.
func Marshal(doc *Document) ([]byte, error) {
	var out bytes.Buffer
	enc := yaml.NewEncoder(&out)
	enc.SetIndent(2)
	if err := enc.Encode(doc); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}
