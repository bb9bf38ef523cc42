package service_test

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/comfreyspindle/comfreyspindle/examples"
	"github.com/comfreyspindle/comfreyspindle/service"
)

func TestExamplesAreValidAndMarshalUnchanged(t *testing.T) {
	rows := []struct {
		text     []byte
		replicas int
		weight   float64
	}{{examples.Kyushu, 18, 0.8}, {examples.BlueMountain, 12, 0.2}}
	for _, row := range rows {
		d, err := service.Parse("example", row.text)
		require.NoError(t, err)
		require.Len(t, d.Upstreams, row.replicas)
		require.InDelta(t, row.weight, d.Batch.ThroughputWeight, 0)
		text, err := service.Marshal(d)
		require.NoError(t, err)
		again, err := service.Parse("example", text)
		require.NoError(t, err)
		require.Equal(t, d, again)
	}
}

func TestErrorsNameLineAndKey(t *testing.T) {
	good := string(examples.Kyushu)
	rows := []struct {
		name string
		old  string
		new  string
		want string
	}{
		{"unknown field", "kind: engine", "knid: engine", `doc.yaml:3: unknown key "knid"`},
		{"unknown kind", "kind: engine", "kind: motor", `doc.yaml:3: kind: "motor" is none of: engine plain`},
		{"name with blanks", "name: dispatch-llm", "name: dispatch llm", `doc.yaml:2: name: "dispatch llm" may hold only`},
		{"address by name", "address: 127.0.0.1:20001", "address: replica:20001", `upstreams[1].address: "replica:20001" is not an IP number`},
		{"two upstreams of one name", "name: dispatch-01", "name: dispatch-00", `upstreams: has two entries with the same name`},
		{"weight out of bounds", "throughput_weight: 0.8", "throughput_weight: 1.8", `batch.throughput_weight: 1.8 is above 1`},
		{"bad duration", "due: 6h", "due: evening", "batch.due: `evening` is not a duration"},
		{"zero in a list", "weight: 3", "weight: 0", `callers[0].weight: 0 is not above 0`},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			require.Contains(t, good, row.old)
			_, err := service.Parse("doc.yaml", []byte(strings.Replace(good, row.old, row.new, 1)))
			require.ErrorContains(t, err, row.want)
		})
	}
}

func TestTwoCallersWithTheSameKeyAreRejected(t *testing.T) {
	d, err := service.Parse("example", examples.Kyushu)
	require.NoError(t, err)
	text := strings.Replace(string(examples.Kyushu), d.Callers[1].KeySHA256, d.Callers[0].KeySHA256, 1)
	_, err = service.Parse("doc.yaml", []byte(text))
	require.ErrorContains(t, err, "callers[1].key_sha256")
}

func TestClassOfMatchesHeaderOrReturnsLastClass(t *testing.T) {
	d, err := service.Parse("example", examples.Kyushu)
	require.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	require.Equal(t, "quote", d.ClassOf(r).Name)
	r.Header.Set("X-Class", "crew")
	require.Equal(t, "crew", d.ClassOf(r).Name)
}

func FuzzParse(f *testing.F) {
	f.Add(examples.Kyushu)
	f.Add(examples.BlueMountain)
	f.Add([]byte("name: x\nupstreams: [{name: 1}]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		d, err := service.Parse("doc.yaml", text)
		if err == nil && (d.Name == "" || len(d.Classes) == 0) {
			t.Fatal("a document without name or classes was accepted")
		}
	})
}

func TestExplicitZeroOverridesDefault(t *testing.T) {
	text := strings.Replace(string(examples.Kyushu), "due: 6h", "due: 6h\n  enabled: false", 1)
	text = strings.Replace(text, "weight: 4\n", "weight: 4\n    minimum_share: 0\n", 1)
	d, err := service.Parse("doc.yaml", []byte(text))
	require.NoError(t, err)
	require.False(t, d.Batch.Enabled)
	require.Zero(t, d.Classes[0].MinimumShare)
	require.InDelta(t, 0.02, d.Classes[1].MinimumShare, 0)
}

// TestListElementsWithDefaultsImplementUnmarshalYAML guards against list element
// types whose defaults are ignored: they are only set by an UnmarshalYAML method.
func TestListElementsWithDefaultsImplementUnmarshalYAML(t *testing.T) {
	var walk func(typ reflect.Type, inList bool)
	walk = func(typ reflect.Type, inList bool) {
		if typ.Kind() == reflect.Slice {
			walk(typ.Elem(), true)
			return
		}
		if typ.Kind() != reflect.Struct {
			return
		}
		_, decodes := reflect.PointerTo(typ).MethodByName("UnmarshalYAML")
		for i := range typ.NumField() {
			f := typ.Field(i)
			if inList && f.Tag.Get("default") != "" {
				require.True(t, decodes, "%s.%s has a default that is never set", typ.Name(), f.Name)
			}
			walk(f.Type, inList)
		}
	}
	walk(reflect.TypeFor[service.Document](), false)
}
