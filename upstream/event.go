package upstream

import (
	"bytes"
	"slices"

	"github.com/tidwall/gjson"
)

// otherOutputFields begin the names of the fields of an event with output other than text,
// as JSON.
var otherOutputFields = [][]byte{[]byte(`"tool_calls"`), []byte(`"function_call"`), []byte(`"reasoning`)}

// Parts of these names by which most events are told quickly from those that have such a
// field. They begin with letters that are rarer in JSON than a quotation mark.
var (
	callPart      = []byte("_call")
	reasoningPart = []byte("reasoning")
)

// HasOtherOutputField reports whether an event names a field with output other than text,
// which may be empty.
func HasOtherOutputField(data []byte) bool {
	if !bytes.Contains(data, callPart) && !bytes.Contains(data, reasoningPart) {
		return false
	}
	return slices.ContainsFunc(otherOutputFields, func(field []byte) bool { return bytes.Contains(data, field) })
}

// HasOtherOutput reports whether an event holds tool calls or reasoning, with or without
// text. Engines write these fields empty as well. An answer with them can't be resumed from
// its text.
func HasOtherOutput(data []byte) bool {
	if !HasOtherOutputField(data) {
		return false
	}
	found := false
	gjson.GetBytes(data, "choices.0.delta").ForEach(func(name, value gjson.Result) bool {
		empty := value.Type == gjson.Null || value.Raw == `""` || value.IsArray() && len(value.Array()) == 0
		found = !empty && HasOtherOutputField([]byte(name.Raw))
		return !found
	})
	return found
}
