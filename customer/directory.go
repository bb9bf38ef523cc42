package customer

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Definition is a customer as a configuration describes it.
type Definition struct {
	Customer
	Keys []string
	// Undecodable is set if a field of the definition could not be decoded. The customer
	// is left out.
	Undecodable bool
}

// Field is a field of a Definition.
type Field uint8

// The fields.
const (
	FieldName Field = iota
	FieldKeys
	FieldPriority
	FieldRate
	FieldBurst
)

// Problem is a fault in a definition. It never holds a key.
type Problem struct {
	// Definition is the position of the definition.
	Definition int
	Field      Field
	// Key is the position of the key at fault, if Field is FieldKeys.
	Key int
	// Value is the value found; for a key it is KeyID of the key.
	Value  string
	Reason string
}

// keyDigest is the SHA-256 of a key.
type keyDigest [sha256.Size]byte

// KeyID returns what logs may hold of a key: the first 8 hexadecimal digits of its
// SHA-256.
func KeyID(key string) string {
	digest := sha256.Sum256([]byte(key))
	const idBytes = 4
	return hex.EncodeToString(digest[:idBytes])
}

// Directory holds the customers of one version of the configuration. It is immutable.
// A nil Directory has no customers.
type Directory struct {
	// defined reports whether the configuration has customers, with or without faults.
	defined bool
	all     []*Customer
	// byName holds nil for the names of customers that are left out.
	byName map[string]*Customer
	// byKey maps the digests of keys, so that the keys aren't stored and the time of a
	// look-up reveals nothing about them.
	byKey map[keyDigest]keyOwner
}

// keyOwner says to whom a key belongs.
type keyOwner struct {
	// name is the name of the first customer that has the key.
	name string
	// customer is nil if the key belongs to nobody.
	customer *Customer
}

// NewDirectory returns the directory of the given customers and what is wrong with them.
// A customer with a fault in its name or quota is left out, as is a customer with the
// name of an earlier one. A key of two names belongs to neither, even if one of the two
// customers is left out.
func NewDirectory(definitions []Definition) (*Directory, []Problem) {
	b := builder{directory: &Directory{
		defined: len(definitions) > 0, all: make([]*Customer, 0, len(definitions)),
		byName: make(map[string]*Customer, len(definitions)), byKey: make(map[keyDigest]keyOwner, len(definitions)),
	}}
	for i := range definitions {
		b.add(i, &definitions[i])
	}
	return b.directory, b.problems
}

// builder builds a Directory.
type builder struct {
	directory *Directory
	problems  []Problem
}

func (b *builder) report(at int, f Field, value, reason string) {
	b.problems = append(b.problems, Problem{Definition: at, Field: f, Value: value, Reason: reason})
}

func (b *builder) add(at int, d *Definition) {
	_, repeated := b.directory.byName[d.Name]
	var c *Customer
	if b.check(at, d, repeated) {
		c = new(d.Customer)
		c.Priority = max(c.Priority, 0)
		b.directory.all = append(b.directory.all, c)
	}
	if !repeated {
		b.directory.byName[d.Name] = c
	}
	for i, key := range d.Keys {
		if key != "" {
			b.addKey(at, i, key, d.Name, c)
		} else if !d.Undecodable {
			b.problems = append(b.problems, Problem{Definition: at, Field: FieldKeys, Key: i, Reason: "the key is empty"})
		}
	}
}

// check reports the faults of a definition, and whether the customer can be served.
func (b *builder) check(at int, d *Definition, repeated bool) bool {
	usable := !d.Undecodable
	switch {
	case d.Name == "":
		// The name of a definition that can't be decoded has been reported.
		if usable {
			b.report(at, FieldName, "", "the name is empty")
		}
		usable = false
	case !isHeaderValue(d.Name):
		b.report(at, FieldName, strconv.Quote(d.Name), "the name can't be sent in a header")
		usable = false
	case repeated:
		b.report(at, FieldName, d.Name, "an earlier customer has the name")
		usable = false
	}
	if !isQuantity(d.Quota.PerSecond) {
		b.report(at, FieldRate, fmt.Sprint(d.Quota.PerSecond), "not a number of requests per second")
		usable = false
	}
	if !isQuantity(d.Quota.Burst) {
		b.report(at, FieldBurst, fmt.Sprint(d.Quota.Burst), "not a number of requests")
		usable = false
	}
	if d.Priority < 0 {
		b.report(at, FieldPriority, strconv.Itoa(d.Priority), "the highest priority is 0, which is taken instead")
	}
	return usable
}

// isQuantity reports whether v can be a rate or a number of requests.
func isQuantity(v float64) bool { return v >= 0 && !math.IsInf(v, 0) }

// isHeaderValue reports whether a header carries the value unchanged.
func isHeaderValue(v string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == '\x7f' }
	return strings.TrimSpace(v) == v && !strings.ContainsFunc(v, isControl)
}

// addKey adds a key of the customer c, or of a customer that is left out if c is nil.
func (b *builder) addKey(at, position int, key, name string, c *Customer) {
	digest := keyDigest(sha256.Sum256([]byte(key)))
	owner, known := b.directory.byKey[digest]
	switch {
	case !known:
		b.directory.byKey[digest] = keyOwner{name: name, customer: c}
	case owner.name != name:
		b.problems = append(b.problems, Problem{
			Definition: at, Field: FieldKeys, Key: position, Value: KeyID(key), Reason: "another customer has the key, so it belongs to neither",
		})
		b.directory.byKey[digest] = keyOwner{name: owner.name}
	}
}

// Empty reports whether the configuration has no customers: then requests carry no keys.
// A configuration that has only customers with faults is not empty.
func (d *Directory) Empty() bool { return d == nil || !d.defined }

// All returns the customers in the order of the configuration. The caller must not
// change the slice.
func (d *Directory) All() []*Customer {
	if d == nil {
		return nil
	}
	return d.all
}

// ByName returns a customer.
func (d *Directory) ByName(name string) (*Customer, bool) {
	if d == nil {
		return nil, false
	}
	c := d.byName[name]
	return c, c != nil
}

// ByKey returns the customer that a key belongs to.
func (d *Directory) ByKey(key string) (*Customer, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	c := d.byKey[sha256.Sum256([]byte(key))].customer
	return c, c != nil
}
