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

// oldMS is the age, in milliseconds, above which people are warned of what they read.
const staleAgeMS = 1000

// tableCommand prints one of an instance's tables.
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
			name: "models", synopsis: "list which endpoint holds which model", path: "/-/models",
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
		return fmt.Errorf("answer can't be read: %w", err)
	}
	fmt.Fprintf(w, "epoch %d, committed %d, generation %d, %s\n", group.Epoch, group.Committed, group.Generation,
		contactText(group.AsOfMS))
	fmt.Fprintln(w, "PLACE\tCONTROL\tADDRESS\tZONE\tLIVE\tVOTER\tIDENTITY")
	for _, member := range group.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\t%v\t%s\n", placeName(member.Place), member.Control, member.Address,
			member.Zone, member.Live, member.Voter, member.Identity)
	}
	return nil
}

// contactText says how old an instance's newest contact with a majority is.
func contactText(ageMS *int64) string {
	if ageMS == nil {
		return "no contact with a majority known"
	}
	return fmt.Sprintf("contact with a majority %d ms ago", *ageMS)
}

// warnStale says above a table that it is old, where it is.
func warnStale(w io.Writer, ageMS int64) {
	if ageMS > staleAgeMS {
		fmt.Fprintf(w, "OLD: %s\n", contactText(&ageMS))
	}
}

// placeName names a place in the chain.
func placeName(place int) string {
	switch place {
	case 0:
		return "-"
	case 1:
		return "head"
	}
	return fmt.Sprint(place)
}

func printEndpoints(w io.Writer, text []byte) error {
	var told struct {
		AsOfMS    int64              `json:"as_of_ms"`
		Endpoints []api.EndpointView `json:"endpoints"`
	}
	if err := json.Unmarshal(text, &told); err != nil {
		return fmt.Errorf("answer can't be read: %w", err)
	}
	warnStale(w, told.AsOfMS)
	fmt.Fprintln(w, "BACKEND\tID\tADDRESS\tZONE\tSTATE\tSLOTS\tSEQ\tMODELS")
	for _, e := range told.Endpoints {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Service, e.ID, e.Address, e.Zone, e.State, e.Slots,
			e.Sequence, modelNames(e))
	}
	return nil
}

func modelNames(e api.EndpointView) string {
	var names []string
	for _, held := range e.Models {
		names = append(names, held.Name)
		for _, adapter := range held.Adapters {
			names = append(names, held.Name+"/"+adapter)
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
	var told struct {
		AsOfMS int64           `json:"as_of_ms"`
		Models []api.ModelView `json:"models"`
	}
	if err := json.Unmarshal(text, &told); err != nil {
		return fmt.Errorf("answer can't be read: %w", err)
	}
	warnStale(w, told.AsOfMS)
	fmt.Fprintln(w, "BACKEND\tMODEL\tHELD BY\tLOADING AT")
	for _, model := range told.Models {
		var holders []string
		for _, holder := range model.Endpoints {
			holders = append(holders, holder.ID)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", model.Service, model.Model, strings.Join(holders, " "),
			strings.Join(model.Loading, " "))
	}
	return nil
}
