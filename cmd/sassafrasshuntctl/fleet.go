package main

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/google/subcommands"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/admin"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/control"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
	"github.com/sassafrasshunt/sassafrasshunt/pkg/instance"
)

// statusCommand prints the status of an instance, or, with hosted set, the status of
// an instance on the users' platform.
type statusCommand struct {
	adminClient
	hosted string
}

func (*statusCommand) Name() string     { return "status" }
func (*statusCommand) Synopsis() string { return "print the fleet as one instance sees it" }
func (*statusCommand) Usage() string    { return "status [flags] | status -hosted ADDRESS\n" }

func (c *statusCommand) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.hosted, "hosted", "", "metrics address of an instance on the users' platform, IP:port, queried instead")
}

func (c *statusCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.hosted != "" {
		return c.hostedStatus(ctx)
	}
	var s control.Status
	if err := c.call(ctx, http.MethodGet, "/v1/status", nil, &s); err != nil {
		return fail(err)
	}
	return c.print(s, func() { printStatus(&s) })
}

func (c *statusCommand) hostedStatus(ctx context.Context) subcommands.ExitStatus {
	var s instance.HostedStatus
	if err := fetchJSON(ctx, "http://"+c.hosted+instance.PathStatus, &s); err != nil {
		return fail(err)
	}
	return c.print(s, func() { printHosted(&s) })
}

func printHosted(s *instance.HostedStatus) {
	fmt.Printf("instance %s in %s: %s, ready=%v, store lost=%v, lease for %.1f s\n", s.Node, s.Domain, s.State, s.Ready, s.StoreLost, s.LeaseSeconds)
	fmt.Printf("configuration version %d; %d callers, %d connections, %d statements wait\n", s.Version, s.Callers, s.Connections, s.Queued)
	fmt.Printf("news of the store from %s, feeding others=%v\n", cmp.Or(string(s.Feeder), "the store"), s.Feeding)
	for _, v := range s.Evacuations {
		fmt.Printf("evacuation of %s: for %.1f s, members get nothing more=%v, unknown=%v\n", v.Domain, v.Seconds, v.Ended, v.Unknown)
	}
	for _, g := range s.Groups {
		fmt.Printf("database %s: primary %s, succession %s\n", g.Group, orNone(string(g.Primary)), g.Succession)
		for _, m := range g.Members {
			fmt.Printf("  member %s in %s: %s, draining=%v, dead=%v, missing=%v, evacuated=%v, gets work=%v\n",
				m.Member, m.Domain, m.Role, m.Draining, m.Dead, m.Missing, m.Evacuated, m.Usable)
		}
	}
	for _, h := range s.Homes {
		fmt.Printf("account %s: home %s, gone=%v\n", h.Account, orNone(h.Home), h.Gone)
	}
	for _, i := range s.Instances {
		fmt.Printf("instance %s in %s: missing=%v\n", i.Node, i.Domain, i.Missing)
	}
}

// orNone returns name, or "none" if it is empty.
func orNone(name string) string {
	if name == "" {
		return "none"
	}
	return name
}

func printStatus(s *control.Status) {
	fmt.Printf("instance %s in %s: %s, lease %s, slot %d\n", s.Instance, s.Domain, s.State, s.Lease, s.Slot)
	fmt.Printf("catalogue version %d, share table revision %d, allocator %s\n", s.CatalogueVersion, s.TableRevision, s.Allocator)
	fmt.Printf("shares valid until %s\n", s.Shares.Until.Format(time.RFC3339))
	for _, g := range s.Groups {
		fmt.Printf("database %s: %s, term %d, primary %s\n", g.Database, g.State, g.Term, g.Primary)
	}
	for _, p := range s.Peers {
		fmt.Printf("peer %s at %s: linked=%v, catalogue version %d\n", p.Instance, p.PeerAddress, p.Linked, p.Catalogue)
	}
}

type readyCommand struct{ adminClient }

func (*readyCommand) Name() string     { return "ready" }
func (*readyCommand) Synopsis() string { return "exit with 0 if the instance takes callers" }
func (*readyCommand) Usage() string    { return "ready [flags]\n" }

func (c *readyCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/readyz", nil)
	if err != nil {
		return fail(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fail(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusOK {
		fmt.Println("not ready")
		return subcommands.ExitFailure
	}
	fmt.Println("ready")
	return subcommands.ExitSuccess
}

type explainCommand struct {
	adminClient
	account string
}

func (*explainCommand) Name() string { return "explain" }
func (*explainCommand) Synopsis() string {
	return "explain where the last statements of an account were routed"
}
func (*explainCommand) Usage() string { return "explain -account NAME [flags]\n" }

func (c *explainCommand) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.account, "account", "", "client account")
}

func (c *explainCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var lines []string
	path := "/v1/explain?account=" + url.QueryEscape(c.account)
	if err := c.call(ctx, http.MethodGet, path, nil, &lines); err != nil {
		return fail(err)
	}
	return c.print(lines, func() {
		for _, line := range lines {
			fmt.Println(line)
		}
	})
}

type switchoverCommand struct {
	adminClient
	database string
	to       string
}

func (*switchoverCommand) Name() string     { return "switchover" }
func (*switchoverCommand) Synopsis() string { return "start a planned change of primary" }
func (*switchoverCommand) Usage() string    { return "switchover -database NAME -to MEMBER [flags]\n" }

func (c *switchoverCommand) SetFlags(f *flag.FlagSet) {
	c.adminClient.SetFlags(f)
	f.StringVar(&c.database, "database", "", "database")
	f.StringVar(&c.to, "to", "", "preferred member")
}

func (c *switchoverCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	body := admin.SwitchoverRequest{Database: core.DatabaseName(c.database), To: core.MemberID(c.to)}
	if err := c.call(ctx, http.MethodPost, "/v1/switchover", body, &struct{}{}); err != nil {
		return fail(err)
	}
	return c.print(body, func() { fmt.Println("change of primary started; see status") })
}
