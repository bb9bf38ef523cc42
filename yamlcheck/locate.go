package yamlcheck

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// locate turns a validation error into one that names source, line and key.
func locate(source string, text []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return errors.Wrap(err, source)
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", source, lineOf(text, key), key, reason(f)))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// reason says what the field's rule wants.
func reason(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is missing"
	case "ipport":
		return fmt.Sprintf("%q is not an IP number and port, such as 127.0.0.1:7000; names are refused", f.Value())
	case "label":
		return fmt.Sprintf("%q may hold only a-z, 0-9, '.', '_' and '-'", f.Value())
	case "unique":
		return "has two entries with the same " + strings.ToLower(f.Param())
	default:
		return fmt.Sprintf("%v breaks the rule %s=%s", f.Value(), f.Tag(), f.Param())
	}
}

// lineOf returns the line of the key, or of its nearest ancestor in the text.
func lineOf(text []byte, key string) int {
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return 1
	}
	for key != "" {
		if path, err := yaml.PathString("$." + key); err == nil {
			if node, err := path.FilterFile(file); err == nil && node != nil {
				return node.GetToken().Position.Line
			}
		}
		cut := strings.LastIndexAny(key, ".[")
		if cut < 0 {
			break
		}
		key = key[:cut]
	}
	return 1
}
