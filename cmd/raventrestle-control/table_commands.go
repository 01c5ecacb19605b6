package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/google/subcommands"

	"raventrestle/internal/control/api"
)

// staleAgeMS is the age, in milliseconds, above which a table is marked as stale.
const staleAgeMS = 1000

// tableCommand is a verb that prints one of an instance's tables.
type tableCommand struct {
	client
	name     string
	synopsis string
	path     string
	print    func(w io.Writer, text []byte) error
}

func tableCommands() []subcommands.Command {
	return []subcommands.Command{
		&tableCommand{name: "members", synopsis: "list the control instances", path: "/-/members", print: printMembers},
		&tableCommand{name: "endpoints", synopsis: "list the endpoints", path: "/-/endpoints", print: printEndpoints},
		&tableCommand{
			name: "models", synopsis: "list which endpoint has which model loaded", path: "/-/models",
			print: printModels,
		},
	}
}

func (t *tableCommand) Name() string                 { return t.name }
func (t *tableCommand) Synopsis() string             { return t.synopsis }
func (t *tableCommand) Usage() string                { return t.name + " [-control host:port] [-json]\n" }
func (t *tableCommand) SetFlags(flags *flag.FlagSet) { t.flags(flags) }

func (t *tableCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	text, err := t.call(ctx, http.MethodGet, t.path, -1, nil)
	if err != nil {
		return status(err)
	}
	return status(t.show(text, func(w io.Writer) error { return t.print(w, text) }))
}

func printMembers(w io.Writer, text []byte) error {
	var group groupView
	if err := json.Unmarshal(text, &group); err != nil {
		return fmt.Errorf("decode the response: %w", err)
	}
	fmt.Fprintf(w, "epoch %d, committed %d, generation %d, %s\n", group.Epoch, group.Committed, group.Generation,
		contactText(group.AsOfMS))
	fmt.Fprintln(w, "POSITION\tCONTROL\tADDRESS\tZONE\tLIVE\tVOTER\tIDENTITY")
	for _, member := range group.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%s\n", positionName(member.Position), member.Control, member.Address,
			member.Zone, member.Live, member.Voter, member.Identity)
	}
	return nil
}

// contactText describes the age of an instance's newest contact with a majority; nil: none is known.
func contactText(ageMS *int64) string {
	if ageMS == nil {
		return "no contact with a majority known"
	}
	return fmt.Sprintf("contact with a majority %d ms ago", *ageMS)
}

// warnStale prints a warning above a table that may be out of date.
func warnStale(w io.Writer, ageMS int64) {
	if ageMS > staleAgeMS {
		fmt.Fprintf(w, "STALE: %s\n", contactText(&ageMS))
	}
}

// positionName names a position in the chain; 0 is none.
func positionName(position int) string {
	switch position {
	case 0:
		return "-"
	case 1:
		return "head"
	}
	return fmt.Sprint(position)
}

func printEndpoints(w io.Writer, text []byte) error {
	var table struct {
		AsOfMS    int64              `json:"as_of_ms"`
		Endpoints []api.EndpointView `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &table); err != nil {
		return fmt.Errorf("decode the response: %w", err)
	}
	warnStale(w, table.AsOfMS)
	fmt.Fprintln(w, "BACKEND\tID\tADDRESS\tZONE\tSTATE\tSLOTS\tSEQ\tMODELS")
	for _, e := range table.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Service, e.ID, e.Address, e.Zone, e.State, e.Slots,
			e.Sequence, modelNames(e))
	}
	return nil
}

// modelNames lists what an endpoint has loaded, and with + and - what it was ordered to load and unload.
func modelNames(e api.EndpointView) string {
	var names []string
	for _, model := range e.Models {
		names = append(names, model.Name)
		for _, adapter := range model.Adapters {
			names = append(names, model.Name+"/"+adapter)
		}
	}
	for _, load := range e.Loading {
		sign := "+"
		if load.Unload {
			sign = "-"
		}
		names = append(names, sign+strings.TrimSuffix(load.Model+"/"+load.Adapter, "/"))
	}
	return strings.Join(names, " ")
}

func printModels(w io.Writer, text []byte) error {
	var table struct {
		AsOfMS int64           `json:"as_of_ms"`
		Models []api.ModelView `json:"models"`
	}
	if err := json.Unmarshal(text, &table); err != nil {
		return fmt.Errorf("decode the response: %w", err)
	}
	warnStale(w, table.AsOfMS)
	fmt.Fprintln(w, "BACKEND\tMODEL\tLOADED AT\tLOADING AT")
	for _, model := range table.Models {
		var endpoints []string
		for _, endpoint := range model.Endpoints {
			endpoints = append(endpoints, endpoint.ID)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", model.Service, model.Model, strings.Join(endpoints, " "),
			strings.Join(model.Loading, " "))
	}
	return nil
}
