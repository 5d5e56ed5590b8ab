package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/admin"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
)

type catalogueGet struct{ adminClient }

func (*catalogueGet) Name() string     { return "get" }
func (*catalogueGet) Synopsis() string { return "print the current catalogue" }
func (*catalogueGet) Usage() string    { return "catalogue get [flags]\n" }

func (c *catalogueGet) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	current, err := c.catalogue(ctx)
	if err != nil {
		return fail(err)
	}
	return c.print(current, func() {
		fmt.Printf("version %d\n", current.Version)
		for _, line := range catalogue.Diff(&catalogue.Catalogue{}, current) {
			fmt.Println(line)
		}
	})
}

type catalogueEdit struct {
	adminClient
	file string
}

func (*catalogueEdit) Name() string     { return "edit" }
func (*catalogueEdit) Synopsis() string { return "apply edits from a JSON file" }
func (*catalogueEdit) Usage() string {
	return `catalogue edit -file FILE [flags]
  FILE holds a JSON list of edits that are checked and accepted as a whole:
  [{"op": "put_account", "args": {"name": "inspectors", "weight": 4, "rate": 200, "burst": 400}}]
  Operations: put_account, remove_account, put_database, set_database_state, remove_database,
  put_entry, remove_entry, add_key, revoke_key, remove_key.
`
}

func (c *catalogueEdit) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.file, "file", "", "JSON list of edits")
}

func (c *catalogueEdit) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return fail(eris.Wrap(errRefused, err.Error()))
	}
	var edits []admin.Edit
	if err := json.Unmarshal(text, &edits); err != nil {
		return fail(eris.Wrap(errRefused, c.file+": "+err.Error()))
	}
	return c.applyEdits(ctx, edits...)
}

type catalogueDiff struct {
	adminClient
	other string
}

func (*catalogueDiff) Name() string     { return "diff" }
func (*catalogueDiff) Synopsis() string { return "compare the current catalogues of two instances" }
func (*catalogueDiff) Usage() string    { return "catalogue diff -other IP:port [flags]\n" }

func (c *catalogueDiff) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.other, "other", "", "administration address of the other instance")
}

func (c *catalogueDiff) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	local, err := c.catalogue(ctx)
	if err != nil {
		return fail(err)
	}
	otherClient := adminClient{address: c.other, keyFile: c.keyFile}
	other, err := otherClient.catalogue(ctx)
	if err != nil {
		return fail(err)
	}
	lines := catalogue.Diff(local, other)
	return c.print(lines, func() {
		for _, line := range lines {
			fmt.Println(line)
		}
	})
}

type catalogueHistory struct{ adminClient }

func (*catalogueHistory) Name() string     { return "history" }
func (*catalogueHistory) Synopsis() string { return "print the versions that the instance adopted" }
func (*catalogueHistory) Usage() string    { return "catalogue history [flags]\n" }

func (c *catalogueHistory) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var items []control.HistoryItem
	if err := c.call(ctx, http.MethodGet, "/v1/catalogue/history", nil, &items); err != nil {
		return fail(err)
	}
	return c.print(items, func() {
		for _, item := range items {
			fmt.Printf("version %d  %s  edit %s\n", item.Version, item.Adopted.Format("2006-01-02T15:04:05.000Z07:00"), item.EditID)
			for _, line := range item.Changes {
				fmt.Println("  " + line)
			}
		}
	})
}
