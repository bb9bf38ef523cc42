package control

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"go.yaml.in/yaml/v3"

	"github.com/comfreyspindle/comfreyspindle/cli"
	"github.com/comfreyspindle/comfreyspindle/yamlcheck"
)

// contexts is the file of contexts.
type contexts struct {
	// Current names the context in use.
	Current  string         `yaml:"current" json:"current"`
	Contexts []namedContext `yaml:"contexts" json:"contexts" validate:"unique=Name,dive"`
}

// namedContext says how to reach a fleet.
type namedContext struct {
	Name string `yaml:"name" json:"name" validate:"required,max=64,label"`
	// Addresses are the operators' addresses of hosts, tried in order.
	Addresses []string `yaml:"addresses" json:"addresses" validate:"required,min=1,dive,ipport"`
	// TokenFile holds the operators' token.
	TokenFile string `yaml:"token_file" json:"token_file" validate:"required"`
}

// defaultContexts returns the usual place of the file of contexts.
func defaultContexts() string {
	folder, err := os.UserConfigDir()
	if err != nil {
		return "contexts.yaml"
	}
	return filepath.Join(folder, "spindlectl", "contexts.yaml")
}

func (f *flags) readContexts() (*contexts, error) {
	text, err := os.ReadFile(f.contexts)
	if errors.Is(err, os.ErrNotExist) {
		return nil, cli.WithCode(errors.Newf(
			"there is no file of contexts %s; write one (see docs/CLI.md) or give --address and --token-file", f.contexts), cli.ExitUsage)
	}
	if err != nil {
		return nil, cli.WithCode(err, cli.ExitUsage)
	}
	all := &contexts{}
	return all, cli.WithCode(yamlcheck.Decode(f.contexts, text, all), cli.ExitUsage)
}

// selected returns the context that the flags select.
func (f *flags) selected() (*namedContext, error) {
	if len(f.addresses) > 0 {
		if f.tokenFile == "" {
			return nil, cli.WithCode(errors.New("--address needs --token-file"), cli.ExitUsage)
		}
		return &namedContext{Name: "--address", Addresses: f.addresses, TokenFile: f.tokenFile}, nil
	}
	all, err := f.readContexts()
	if err != nil {
		return nil, err
	}
	name := f.context
	if name == "" {
		name = all.Current
	}
	for i := range all.Contexts {
		if all.Contexts[i].Name == name {
			return &all.Contexts[i], nil
		}
	}
	return nil, cli.WithCode(errors.Newf("there is no context %q in %s; see \"spindlectl context list\"", name, f.contexts), cli.ExitUsage)
}

func (c *namedContext) token() (string, error) {
	text, err := os.ReadFile(c.TokenFile)
	if err != nil {
		return "", cli.WithCode(errors.Wrapf(err, "token file of context %s", c.Name), cli.ExitUsage)
	}
	return strings.TrimSpace(string(text)), nil
}

func (f *flags) completeContexts(*cobra.Command, []string, string) ([]string, cobra.ShellCompDirective) {
	all, err := f.readContexts()
	if err != nil {
		return nil, cobra.ShellCompDirectiveError
	}
	var names []string
	for _, c := range all.Contexts {
		names = append(names, c.Name)
	}
	return names, cobra.ShellCompDirectiveNoFileComp
}

func newContextCommand(f *flags) *cobra.Command {
	cmd := &cobra.Command{Use: "context", Short: "Choose the fleet to operate"}
	list := &cobra.Command{
		Use: "list", Short: "List the contexts", Args: cobra.NoArgs, Example: "  spindlectl context list",
		RunE: func(cmd *cobra.Command, _ []string) error {
			all, err := f.readContexts()
			if err != nil {
				return err
			}
			p, err := f.printer(cmd.OutOrStdout())
			if err != nil {
				return err
			}
			t := table{head: []string{"CURRENT", "NAME", "ADDRESSES", "TOKEN FILE"}}
			for _, c := range all.Contexts {
				mark := ""
				if c.Name == all.Current {
					mark = "*"
				}
				t.add(mark, c.Name, strings.Join(c.Addresses, " "), c.TokenFile)
			}
			return p.print(all, &t)
		},
	}
	use := &cobra.Command{
		Use: "use NAME", Short: "Make a context the current one", Args: cobra.ExactArgs(1), Example: "  spindlectl context use kyushu",
		ValidArgsFunction: f.completeContexts,
		RunE:              func(_ *cobra.Command, args []string) error { return f.useContext(args[0]) },
	}
	cmd.AddCommand(list, use)
	return cmd
}

func (f *flags) useContext(name string) error {
	all, err := f.readContexts()
	if err != nil {
		return err
	}
	f.context, f.addresses = name, nil
	if _, err := f.selected(); err != nil {
		return err
	}
	all.Current = name
	var out bytes.Buffer
	if err := yaml.NewEncoder(&out).Encode(all); err != nil {
		return err
	}
	return os.WriteFile(f.contexts, out.Bytes(), 0o600)
}
