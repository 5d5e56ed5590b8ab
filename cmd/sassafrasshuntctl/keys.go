package main

import (
	"context"
	"crypto/rand"
	"flag"
	"fmt"

	"github.com/google/subcommands"
	"github.com/rotisserie/eris"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/admin"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/catalogue"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

type keysGive struct {
	adminClient
	account string
}

func (*keysGive) Name() string     { return "give" }
func (*keysGive) Synopsis() string { return "generate a key for an account and print it once" }
func (*keysGive) Usage() string {
	return "keys give -account NAME [flags]\n  The key is generated locally; only its verifier is sent.\n"
}

func (c *keysGive) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.account, "account", "", "client account")
}

func (c *keysGive) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	current, err := c.catalogue(ctx)
	if err != nil {
		return fail(err)
	}
	key, addKey, err := catalogue.GenerateKey(current, core.AccountName(c.account), rand.Reader)
	if err != nil {
		return fail(eris.Wrap(errRefused, err.Error()))
	}
	edit, err := admin.NewEdit("add_key", addKey)
	if err != nil {
		return fail(eris.Wrap(errRefused, err.Error()))
	}
	if status := c.applyEdits(ctx, edit); status != subcommands.ExitSuccess {
		return status
	}
	fmt.Printf("key id %s\nkey %s\n", key.ID, key.Secret)
	return subcommands.ExitSuccess
}

type keysRevoke struct {
	adminClient
	account string
	id      string
}

func (*keysRevoke) Name() string     { return "revoke" }
func (*keysRevoke) Synopsis() string { return "revoke a key, also for connected callers" }
func (*keysRevoke) Usage() string    { return "keys revoke -account NAME -id ID [flags]\n" }

func (c *keysRevoke) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.account, "account", "", "client account")
	f.StringVar(&c.id, "id", "", "key id")
}

func (c *keysRevoke) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	revoke := catalogue.RevokeKey{Account: core.AccountName(c.account), ID: core.KeyID(c.id)}
	edit, err := admin.NewEdit("revoke_key", revoke)
	if err != nil {
		return fail(eris.Wrap(errRefused, err.Error()))
	}
	return c.applyEdits(ctx, edit)
}

type keysList struct {
	adminClient
	account string
}

func (*keysList) Name() string     { return "list" }
func (*keysList) Synopsis() string { return "list the key ids of an account" }
func (*keysList) Usage() string    { return "keys list -account NAME [flags]\n" }

func (c *keysList) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.account, "account", "", "client account")
}

// listedKey is a key as the list prints it, without its verifier.
type listedKey struct {
	ID      core.KeyID `json:"id"`
	Revoked bool       `json:"revoked"`
}

func (c *keysList) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	current, err := c.catalogue(ctx)
	if err != nil {
		return fail(err)
	}
	account := current.Account(core.AccountName(c.account))
	if account == nil {
		return fail(eris.Wrap(errRefused, "account "+c.account+" does not exist"))
	}
	keys := make([]listedKey, 0, len(account.Keys))
	for _, k := range account.Keys {
		keys = append(keys, listedKey{ID: k.ID, Revoked: k.Revoked})
	}
	return c.print(keys, func() {
		for _, k := range keys {
			fmt.Printf("%s\trevoked=%v\n", k.ID, k.Revoked)
		}
	})
}
