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

// decoderLinePattern matches a decoder message that begins with a line number.
var decoderLinePattern = regexp.MustCompile(`^(?:yaml: )?line (\d+): (.*)$`)

// unknownFieldPattern and wrongTypePattern match the decoder's messages for an
// unknown key and for a value of the wrong type.
var (
	unknownFieldPattern = regexp.MustCompile(`^field (\S+) not found in type`)
	wrongTypePattern    = regexp.MustCompile("(?s)^cannot unmarshal !!(\\S+) (`.*` )?into (\\S+)$")
)

// locateDecodeErrors converts a decoder error into one with a line of text for
// each fault, which names the source, its line and, where known, the key.
func locateDecodeErrors(source string, text []byte, err error) error {
	messages := []string{err.Error()}
	var typed *yaml.TypeError
	if errors.As(err, &typed) {
		messages = typed.Errors
	}
	keys := listKeys(text)
	lines := make([]string, 0, len(messages))
	for _, m := range messages {
		lines = append(lines, explainDecodeError(source, keys, m))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// explainDecodeError rewrites one decoder message in terms of source, line and
// key.
func explainDecodeError(source string, keys []keyLine, message string) string {
	parts := decoderLinePattern.FindStringSubmatch(message)
	if parts == nil {
		return source + ": " + strings.TrimPrefix(message, "yaml: ")
	}
	line, err := strconv.Atoi(parts[1])
	if err != nil {
		return source + ": " + message
	}
	position := fmt.Sprintf("%s:%d", source, line)
	if m := unknownFieldPattern.FindStringSubmatch(parts[2]); m != nil {
		return fmt.Sprintf("%s: unknown key %q", position, m[1])
	}
	if m := wrongTypePattern.FindStringSubmatch(parts[2]); m != nil {
		value := strings.TrimSpace(m[2])
		return strings.TrimSpace(fmt.Sprintf("%s: %s: %s", position, keyAt(keys, line), explainTypeError(value, m[1], m[3])))
	}
	return position + ": " + parts[2]
}

// explainTypeError describes a value that does not fit the Go type want. Got is
// the YAML type, which stands in for a value that the decoder did not report.
func explainTypeError(value, got, want string) string {
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

// locateRuleErrors converts a validation error into one with a line of text for
// each fault, which names the source, its line and the key.
func locateRuleErrors(source string, text []byte, err error) error {
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return errors.Wrap(err, source)
	}
	lines := make([]string, 0, len(fields))
	for _, f := range fields {
		_, key, _ := strings.Cut(f.Namespace(), ".")
		lines = append(lines, fmt.Sprintf("%s: %s", At(source, text, key), explainRuleError(f)))
	}
	return errors.New(strings.Join(lines, "\n"))
}

// At returns "source:line: key" for a key such as listen.callers. The line is that
// of the nearest enclosing key if the text does not contain the key.
func At(source string, text []byte, key string) string {
	return fmt.Sprintf("%s:%d: %s", source, lineOfKey(text, key), key)
}

// explainRuleError describes the validation rule that a field violates.
func explainRuleError(f validator.FieldError) string {
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

// keyLine is the path of a key and its line in the text.
type keyLine struct {
	path string
	line int
}

// listKeys returns all keys and list elements of a text in document order, or
// nil if the text is not valid YAML.
func listKeys(text []byte) []keyLine {
	var doc yaml.Node
	if err := yaml.Unmarshal(text, &doc); err != nil || len(doc.Content) == 0 {
		return nil
	}
	return appendKeys(nil, doc.Content[0], "")
}

// appendKeys appends the keys and list elements below a node. It does not follow
// aliases.
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

// keyAt returns the path of the last key that begins on or before a line.
func keyAt(keys []keyLine, line int) string {
	found := ""
	for _, k := range keys {
		if k.line <= line {
			found = k.path
		}
	}
	return found
}

// lineOfKey returns the line of a key, or of its nearest ancestor that the text
// contains, or 1.
func lineOfKey(text []byte, key string) int {
	keys := listKeys(text)
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
