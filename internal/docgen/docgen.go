// Package docgen writes the reference tables of settings and service documents
// from the doc comments and tags of their types.
package docgen

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// Markers around a generated table.
const (
	beginMark = "<!-- begin keys -->"
	endMark   = "<!-- end keys -->"
)

// Key is one key of a YAML text.
type Key struct {
	Path    string
	Type    string
	Default string
	Rule    string
	Text    string
}

// Page says which type a page documents.
type Page struct {
	// File is the page; Dir and Type name the Go type.
	File string
	Dir  string
	Type string
}

// Pages are the generated pages, relative to the module's root.
var Pages = []Page{
	{File: "docs/SETTINGS.md", Dir: "settings", Type: "Settings"},
	{File: "docs/SERVICE-DOCUMENT.md", Dir: "service", Type: "Document"},
}

// Keys returns the keys of a struct type, those of nested types included.
func Keys(dir, typeName string) ([]Key, error) {
	types, err := structs(dir)
	if err != nil {
		return nil, err
	}
	root, ok := types[typeName]
	if !ok {
		return nil, errors.Newf("no type %s in %s", typeName, dir)
	}
	return collect(types, root, ""), nil
}

// structs returns the struct types of a package by name.
func structs(dir string) (map[string]*ast.StructType, error) {
	isSource := func(info fs.FileInfo) bool { return !strings.HasSuffix(info.Name(), "_test.go") }
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "read package")
	}
	out := make(map[string]*ast.StructType)
	for _, e := range entries {
		info, err := e.Info()
		if err != nil || !strings.HasSuffix(e.Name(), ".go") || !isSource(info) {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), dir+"/"+e.Name(), nil, parser.ParseComments)
		if err != nil {
			return nil, errors.Wrap(err, "parse package")
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.TypeSpec); ok {
				if s, ok := spec.Type.(*ast.StructType); ok {
					out[spec.Name.Name] = s
				}
			}
			return true
		})
	}
	return out, nil
}

func collect(types map[string]*ast.StructType, s *ast.StructType, prefix string) []Key {
	var out []Key
	for _, f := range s.Fields.List {
		key, ok := keyOf(f, prefix)
		if !ok {
			continue
		}
		nested, isList := element(f.Type)
		if inner, ok := types[nested]; ok {
			key.Type = "section"
			if isList {
				key.Path, key.Type = key.Path+"[]", "list of sections"
			}
			out = append(out, key)
			out = append(out, collect(types, inner, key.Path+".")...)
			continue
		}
		out = append(out, key)
	}
	return out
}

func keyOf(f *ast.Field, prefix string) (Key, bool) {
	if f.Tag == nil {
		return Key{}, false
	}
	raw, err := strconv.Unquote(f.Tag.Value)
	if err != nil {
		return Key{}, false
	}
	tag := reflect.StructTag(raw)
	name, _, _ := strings.Cut(tag.Get("yaml"), ",")
	if name == "" {
		return Key{}, false
	}
	return Key{
		Path: prefix + name, Type: typeName(f.Type), Default: tag.Get("default"),
		Rule: tag.Get("validate"), Text: strings.Join(strings.Fields(f.Doc.Text()), " "),
	}, true
}

// element returns the name of a type, or of the elements of a list of it.
func element(e ast.Expr) (name string, isList bool) {
	switch t := e.(type) {
	case *ast.ArrayType:
		name, _ = element(t.Elt)
		return name, true
	case *ast.Ident:
		return t.Name, false
	default:
		return "", false
	}
}

// typeNames maps Go types to the words of the pages.
var typeNames = map[string]string{
	"string": "text", "bool": "true or false", "int": "number", "int64": "number", "uint64": "number", "float64": "number",
}

func typeName(e ast.Expr) string {
	switch t := e.(type) {
	case *ast.ArrayType:
		return "list"
	case *ast.SelectorExpr:
		return "duration"
	case *ast.Ident:
		if name, ok := typeNames[t.Name]; ok {
			return name
		}
		return "text"
	default:
		return ""
	}
}

// Table returns the Markdown table of keys.
func Table(keys []Key) string {
	var out bytes.Buffer
	fmt.Fprintln(&out, "| key | type | default | rule | meaning |")
	fmt.Fprintln(&out, "| --- | --- | --- | --- | --- |")
	for _, k := range keys {
		fmt.Fprintf(&out, "| `%s` | %s | %s | %s | %s |\n", k.Path, k.Type, code(k.Default), code(k.Rule), k.Text)
	}
	return out.String()
}

func code(s string) string {
	if s == "" {
		return ""
	}
	return "`" + strings.ReplaceAll(s, "|", "\\|") + "`"
}

// Render returns the page's text with its table made anew. The root is the
// module's folder.
func (p *Page) Render(root string) (string, error) {
	text, err := os.ReadFile(root + "/" + p.File)
	if err != nil {
		return "", errors.Wrap(err, "read page")
	}
	head, rest, ok := strings.Cut(string(text), beginMark)
	_, tail, ok2 := strings.Cut(rest, endMark)
	if !ok || !ok2 {
		return "", errors.Newf("%s: the markers of the table are missing", p.File)
	}
	keys, err := Keys(root+"/"+p.Dir, p.Type)
	if err != nil {
		return "", err
	}
	return head + beginMark + "\n" + Table(keys) + endMark + tail, nil
}
