package main

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"github.com/sassafrasshunt/sassafrasshunt/charts"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/instance"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/settings"
)

type settingsCheck struct{ file, hosted string }

func (*settingsCheck) Name() string     { return "check" }
func (*settingsCheck) Synopsis() string { return "check a settings file and report every error" }
func (*settingsCheck) Usage() string    { return "settings check -file FILE | -hosted FILE\n" }

func (c *settingsCheck) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.file, "file", "sassafrasshunt.toml", "settings file")
	f.StringVar(&c.hosted, "hosted", "", "settings file of the users' platform, checked instead")
}

func (c *settingsCheck) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if err := c.check(); err != nil {
		return fail(err)
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

func (c *settingsCheck) check() error {
	if c.hosted != "" {
		return instance.CheckHostedSettings(c.hosted)
	}
	_, err := settings.Load(c.file)
	return err
}

type settingsDescribe struct{}

func (*settingsDescribe) Name() string { return "describe" }
func (*settingsDescribe) Synopsis() string {
	return "print every setting with unit, default and meaning"
}
func (*settingsDescribe) Usage() string          { return "settings describe\n" }
func (*settingsDescribe) SetFlags(*flag.FlagSet) {}

func (*settingsDescribe) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	fmt.Println("| key | unit | default | meaning |\n|---|---|---|---|")
	for _, f := range settings.Fields() {
		fmt.Printf("| `%s` | %s | `%s` | %s |\n", f.Key, f.Unit, f.Default, f.Doc)
	}
	return subcommands.ExitSuccess
}

type chartCheck struct{}

func (*chartCheck) Name() string           { return "check" }
func (*chartCheck) Synopsis() string       { return "check every built-in state chart" }
func (*chartCheck) Usage() string          { return "chart check\n" }
func (*chartCheck) SetFlags(*flag.FlagSet) {}

func (*chartCheck) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	status := subcommands.ExitSuccess
	for _, name := range charts.Names() {
		if _, err := charts.Load(name); err != nil {
			status = fail(err)
			continue
		}
		fmt.Println(name, "is valid")
	}
	return status
}

type chartGraph struct{ name string }

func (*chartGraph) Name() string     { return "graph" }
func (*chartGraph) Synopsis() string { return "print a state chart in Graphviz DOT" }
func (*chartGraph) Usage() string    { return "chart graph -name NAME\n" }

func (c *chartGraph) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.name, "name", "statement", "state chart")
}

func (c *chartGraph) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	definition, err := charts.Load(c.name)
	if err != nil {
		return fail(err)
	}
	fmt.Print(definition.Graph())
	return subcommands.ExitSuccess
}
