package customer

// Definition describes one customer of a configuration.
type Definition struct{ Name string }

// Problem is a fault in the definition of a customer, which is left out.
type Problem struct{ Text string }

// NewDirectory returns the directory of the customers with a name.
func NewDirectory(definitions []Definition) (*Directory, []Problem) {
	d := &Directory{byName: make(map[string]*Customer, len(definitions))}
	for _, definition := range definitions {
		d.byName[definition.Name] = &Customer{Name: definition.Name}
	}
	return d, nil
}
