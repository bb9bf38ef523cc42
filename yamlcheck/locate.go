package yamlcheck

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

// decoderLine matches a message of the decoder that begins with a line.
var decoderLine = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// unknownField and wrongType match the decoder's messages for both faults.
var (
	unknownField = regexp.MustCompile(`^field (\S+) not found in type`)
	wrongType    = regexp.MustCompile("(?s)^cannot unmarshal !!(\\S+) (`.*` )?into (\\S+)$")
)

// locateSyntax turns an error of the decoder into one that names source, line
// and key of each fault.
func locateSyntax(source string, text []byte, err error) error {
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	keys := keysOf(text)
	lines := make([]string, 0, len(messages))
	for _, m := range messages {
		lines = append(lines, explain(source, keys, m))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// explain rewrites one message of the decoder.
func explain(source string, keys []keyLine, message string) string {
	parts := decoderLine.FindStringSubmatch(message)
	if parts == nil {
		return source + ": " + strings.TrimPrefix(message, "yaml: ")
	}
	line, err := strconv.Atoi(parts[1])
	if err != nil {
		return source + ": " + message
	}
	where := fmt.Sprintf("%s:%d", source, line)
	if m := unknownField.FindStringSubmatch(parts[2]); m != nil {
		return fmt.Sprintf("%s: unknown key %q", where, m[1])
	}
	if m := wrongType.FindStringSubmatch(parts[2]); m != nil {
		value := strings.TrimSpace(m[2])
		return strings.TrimSpace(fmt.Sprintf("%s: %s: %s", where, keyAt(keys, line), mismatch(value, m[1], m[3])))
	}
	return where + ": " + parts[2]
}

// mismatch says what a key of a Go type wants in place of a value.
func mismatch(value, got, want string) string {
	if value == "" {
		value = "a " + got
	}
	switch {
	case want == "time.Duration":
		return value + " is not a duration, such as 500ms, 30s or 24h"
	case strings.HasPrefix(want, "int") || strings.HasPrefix(want, "uint"):
		return value + " is not a whole number"
	case strings.HasPrefix(want, "float"):
		return value + " is not a number"
	case want == "bool":
		return value + " is neither true nor false"
	case strings.HasPrefix(want, "[]"):
		return value + " is not a list"
	default:
		return value + " has the wrong form"
	}
}

// locateRules turns a validation error into one that names source, line and
// key of each fault.
func locateRules(source string, text []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return errors.Wrap(err, source)
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s: %s", At(source, text, key), reason(f)))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// At returns "source:line: key" for a key such as listen.callers.
func At(source string, text []byte, key string) string {
	return fmt.Sprintf("%s:%d: %s", source, lineOf(text, key), key)
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
	case "oneof":
		return fmt.Sprintf("%q is none of: %s", f.Value(), f.Param())
	case "min":
		return fmt.Sprintf("%v is below %s", f.Value(), f.Param())
	case "max":
		return fmt.Sprintf("%v is above %s", f.Value(), f.Param())
	case "gt":
		return fmt.Sprintf("%v is not above %s", f.Value(), f.Param())
	case "required_with":
		return "is missing, since one of these is set: " + strings.ToLower(f.Param())
	case "unique":
		return "has two entries with the same " + strings.ToLower(f.Param())
	default:
		return fmt.Sprintf("%v breaks the rule %s=%s", f.Value(), f.Tag(), f.Param())
	}
}

// keyLine is a key's path and the line on which it stands.
type keyLine struct {
	path string
	line int
}

// keysOf returns all keys of a text, in order.
func keysOf(text []byte) []keyLine {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil || len(doc.Content) == 0 {
		return nil
	}
	return appendKeys(nil, doc.Content[0], "")
}

// appendKeys adds the keys below a node. Aliases are not followed.
func appendKeys(out []keyLine, n *yaml.Node, path string) []keyLine {
	if n.Kind == yaml.SequenceNode {
		for i, item := range n.Content {
			at := fmt.Sprintf("%s[%d]", path, i)
			out = append(out, keyLine{at, item.Line})
			out = appendKeys(out, item, at)
		}
		return out
	}
	if n.Kind != yaml.MappingNode {
		return out
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		at := strings.TrimPrefix(path+"."+n.Content[i].Value, ".")
		out = append(out, keyLine{at, n.Content[i].Line})
		out = appendKeys(out, n.Content[i+1], at)
	}
	return out
}

// keyAt returns the last key that begins on or before a line.
func keyAt(keys []keyLine, line int) string {
	found := ""
	for _, k := range keys {
		if k.line <= line {
			found = k.path
		}
	}
	return found
}

// lineOf returns the line of the key, or of its nearest ancestor in the text.
func lineOf(text []byte, key string) int {
	keys := keysOf(text)
	for key != "" {
		for _, k := range keys {
			if k.path == key {
				return k.line
			}
		}
		key = key[:max(0, strings.LastIndexAny(key, ".["))]
	}
	return 1
}
