package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"time"

	"github.com/google/subcommands"

	"raventrestle/coordination/replica"
	"raventrestle/internal/control/api"
	"raventrestle/internal/control/quotahost"
	"raventrestle/internal/control/shares"
	"raventrestle/internal/control/state"
)

const quotaPath = "/-/quota"

// quotaView returns the answer of /-/quota.
func quotaView(group replica.Interface, machine *state.Machine, confirmedAt func() time.Time, quotas *quotahost.Host) api.Quotas {
	return func(ctx context.Context) (api.QuotaView, error) {
		status, table := group.Status(), machine.Shares()
		issued, err := quotas.View(ctx)
		if err != nil {
			return api.QuotaView{}, err
		}
		view := api.QuotaView{
			AsOfMS: contactAge(confirmedAt()), Sequence: table.Sequence, Shares: shares.Count, Holders: holderViews(status, table),
			Instance: status.Self.Identity, Usable: issued.Usable, Tenants: []api.TenantQuotaView{},
		}
		for _, t := range issued.Tenants {
			view.Tenants = append(view.Tenants, api.TenantQuotaView{
				Tenant: t.Tenant, RatePerSecond: t.Limit.RatePerSecond, Burst: t.Limit.Burst, Allowance: math.Round(t.Allowance),
				Part: math.Round(t.LocalLimit), Issued: math.Round(t.Issued), Granted: math.Round(t.Granted), Denied: math.Round(t.Denied),
				Waiting: t.Waiting,
			})
		}
		return view, nil
	}
}

// contactAge returns the age in milliseconds of the newest contact with a majority; -1: there was none.
func contactAge(confirmedAt time.Time) int64 {
	if confirmedAt.IsZero() {
		return -1
	}
	return max(0, time.Since(confirmedAt)).Milliseconds()
}

// holderViews lists the holders by identity, then the shares that nobody owns, if there are any.
func holderViews(status replica.Status, table shares.Table) []api.HolderView {
	owned := make(map[string]int)
	for _, share := range table.Shares {
		owned[share.Owner]++
	}
	views := []api.HolderView{}
	for _, identity := range table.Holders {
		view := api.HolderView{Identity: identity, Shares: owned[identity]}
		delete(owned, identity)
		if at := slices.IndexFunc(status.LiveMembers, func(m replica.Member) bool { return m.Identity == identity }); at >= 0 {
			view.Live, view.Control = true, status.LiveMembers[at].Tag
		}
		views = append(views, view)
	}
	for identity, count := range owned { // of an instance that is no longer listed, or of nobody
		views = append(views, api.HolderView{Identity: identity, Shares: count})
	}
	slices.SortStableFunc(views, func(a, b api.HolderView) int { return compareHolders(a.Identity, b.Identity) })
	return views
}

// compareHolders orders identities, nobody last.
func compareHolders(a, b string) int {
	switch {
	case a == b:
		return 0
	case b == "" || a != "" && a < b:
		return -1
	}
	return 1
}

// quotaCommand is the verb "quota": it asks one instance who holds the shares of limits, then each live holder what it issued.
type quotaCommand struct {
	client
	tenant string // "": all
}

// Name implements subcommands.Command.
func (*quotaCommand) Name() string { return "quota" }

// Synopsis implements subcommands.Command.
func (*quotaCommand) Synopsis() string {
	return "show shares of tenants' limits, their holders, and what is issued"
}

// Usage implements subcommands.Command.
func (*quotaCommand) Usage() string {
	return "quota [-control host:port] [-tenant name] [-json]\n  Exit status 1: some live holder did not answer, or the instance itself.\n"
}

func (q *quotaCommand) SetFlags(flags *flag.FlagSet) {
	q.flags(flags)
	flags.StringVar(&q.tenant, "tenant", "", "show this `tenant` alone")
}

func (q *quotaCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return status(q.run(ctx))
}

// quotaReport is the answer of all holders together.
type quotaReport struct {
	Sequence uint64                `json:"sequence"`
	Shares   int                   `json:"shares"`
	Holders  []holderReport        `json:"holders"`
	Tenants  []api.TenantQuotaView `json:"tenants"` // sums over the holders that answered
}

// holderReport is one holder. Error says why it did not answer.
type holderReport struct {
	api.HolderView
	AsOfMS int64   `json:"as_of_ms"`
	Usable float64 `json:"usable"`
	Error  string  `json:"error,omitempty"`
}

func (q *quotaCommand) run(ctx context.Context) error {
	first, err := q.view(ctx, q.client)
	if err != nil {
		return err
	}
	report := quotaReport{Sequence: first.Sequence, Shares: first.Shares}
	sums := make(map[string]*api.TenantQuotaView)
	missing := 0
	for _, holder := range first.Holders {
		row := holderReport{HolderView: holder}
		if holder.Live {
			answer, err := q.view(ctx, client{control: holder.Control})
			if err != nil {
				row.Error = err.Error()
				missing++
			} else {
				row.AsOfMS, row.Usable = answer.AsOfMS, answer.Usable
				addTenants(sums, answer.Tenants)
			}
		}
		report.Holders = append(report.Holders, row)
	}
	report.Tenants = q.selected(sums)
	if err := q.print(report); err != nil {
		return err
	}
	if missing > 0 {
		return fmt.Errorf("%d live holders did not answer: sums lack their part", missing)
	}
	return nil
}

func (q *quotaCommand) view(ctx context.Context, of client) (api.QuotaView, error) {
	text, err := of.call(ctx, http.MethodGet, quotaPath, -1, nil)
	if err != nil {
		return api.QuotaView{}, err
	}
	var view api.QuotaView
	if err := json.Unmarshal(text, &view); err != nil {
		return api.QuotaView{}, fmt.Errorf("decode the response: %w", err)
	}
	return view, nil
}

// addTenants adds one holder's rows to the sums. Limits are the same at all holders, but for a change on its way.
func addTenants(sums map[string]*api.TenantQuotaView, rows []api.TenantQuotaView) {
	for _, row := range rows {
		sum := sums[row.Tenant]
		if sum == nil {
			sum = &api.TenantQuotaView{Tenant: row.Tenant}
			sums[row.Tenant] = sum
		}
		sum.RatePerSecond, sum.Burst, sum.Allowance = row.RatePerSecond, row.Burst, row.Allowance
		sum.Part += row.Part
		sum.Issued += row.Issued
		sum.Granted += row.Granted
		sum.Denied += row.Denied
		sum.Waiting += row.Waiting
	}
}

// selected returns the rows to be shown, by tenant.
func (q *quotaCommand) selected(sums map[string]*api.TenantQuotaView) []api.TenantQuotaView {
	rows := []api.TenantQuotaView{}
	for name, sum := range sums {
		if q.tenant == "" || q.tenant == name {
			rows = append(rows, *sum)
		}
	}
	slices.SortFunc(rows, func(a, b api.TenantQuotaView) int { return compareHolders(a.Tenant, b.Tenant) })
	return rows
}

func (q *quotaCommand) print(report quotaReport) error {
	text, err := json.Marshal(report)
	if err != nil {
		return err
	}
	return q.show(text, func(w io.Writer) error {
		fmt.Fprintf(w, "table %d, %d shares of each limit\n", report.Sequence, report.Shares)
		fmt.Fprintln(w, "HOLDER\tCONTROL\tLIVE\tSHARES\tUSABLE\tERROR")
		for _, h := range report.Holders {
			fmt.Fprintf(w, "%s\t%s\t%v\t%d\t%.3f\t%s\n", holderName(h.Identity), h.Control, h.Live, h.Shares, h.Usable, h.Error)
		}
		fmt.Fprintln(w, "TENANT\tRATE\tALLOWANCE\tISSUABLE\tISSUED\tUSED\tDENIED\tWAITING")
		for _, t := range report.Tenants {
			fmt.Fprintf(w, "%s\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f%%\t%.0f\t%d\n", t.Tenant, t.RatePerSecond, t.Allowance, t.Part, t.Issued,
				percent(t.Issued, t.Part), t.Denied, t.Waiting)
		}
		return nil
	})
}

func holderName(identity string) string {
	if identity == "" {
		return "nobody"
	}
	return identity
}

func percent(part, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return part / whole * 100
}
