// Package yamlcheck decodes and validates YAML: it rejects unknown keys, sets
// defaults from struct tags, and returns errors that name file, line and key.
package yamlcheck

import (
	"bytes"
	"io"
	"net/netip"
	"reflect"
	"regexp"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/creasty/defaults"
	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

// ErrInvalid marks every error that Decode returns for an invalid text.
var ErrInvalid = errors.New("invalid YAML")

var labelPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

var sharedValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	mustRegister(v, "ipport", isIPPort)
	mustRegister(v, "label", func(fl validator.FieldLevel) bool {
		return labelPattern.MatchString(fl.Field().String())
	})
	return v
})

func mustRegister(v *validator.Validate, tag string, fn validator.Func) {
	if err := v.RegisterValidation(tag, fn); err != nil {
		panic(err)
	}
}

func isIPPort(fl validator.FieldLevel) bool {
	_, err := netip.ParseAddrPort(fl.Field().String())
	return err == nil
}

// Decode sets the defaults of target, a pointer to a struct, decodes the text into
// it and validates the result. Source is the name of the text in errors.
func Decode(source string, text []byte, target any) error {
	if err := defaults.Set(target); err != nil {
		return errors.Wrap(err, "set defaults")
	}
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(target); err != nil && !errors.Is(err, io.EOF) {
		return errors.Mark(locateDecodeErrors(source, text, err), ErrInvalid)
	}
	if err := sharedValidator().Struct(target); err != nil {
		return errors.Mark(locateRuleErrors(source, text, err), ErrInvalid)
	}
	return nil
}

// DecodeElement sets the defaults of a list element and then decodes the text into
// it, so that a zero value in the text is not replaced by the default. A struct
// type with defaults that is used in a list calls it in its UnmarshalYAML method.
// Plain points to a type without that method, so that unmarshal does not recurse.
func DecodeElement(plain any, unmarshal func(any) error) error {
	if err := defaults.Set(plain); err != nil {
		return errors.Wrap(err, "set defaults")
	}
	return unmarshal(plain)
}
