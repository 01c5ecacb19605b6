package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"

	"github.com/google/subcommands"

	"raventrestle/internal/check"
	"raventrestle/internal/control/api"
)

const configPath = "/-/config"

// configCommand is the verb "config", which reads and changes the operators' configuration.
type configCommand struct {
	client
	onto int64 // version that a change builds on; negative: the newest
}

func (*configCommand) Name() string     { return "config" }
func (*configCommand) Synopsis() string { return "read and change the configuration" }

func (*configCommand) Usage() string {
	return `config [flags] get            prints the newest version
config [flags] put FILE       replaces the configuration by FILE
config [flags] patch FILE     changes the items that FILE names
config [flags] diff FILE      lists the items that FILE would add, change and remove
config [flags] history        lists the accepted versions
  A FILE of - is standard input.
`
}

func (c *configCommand) SetFlags(flags *flag.FlagSet) {
	c.flags(flags)
	flags.Int64Var(&c.onto, "onto", -1, "the `version` that a change builds on; by default the newest one")
}

func (c *configCommand) Execute(ctx context.Context, flags *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	switch flags.Arg(0) {
	case "get":
		return status(c.get(ctx))
	case "put":
		return status(c.change(ctx, http.MethodPut, flags.Arg(1)))
	case "patch":
		return status(c.change(ctx, http.MethodPatch, flags.Arg(1)))
	case "diff":
		return status(c.diff(ctx, flags.Arg(1)))
	case "history":
		return status(c.history(ctx))
	}
	fmt.Fprint(os.Stderr, c.Usage())
	return subcommands.ExitUsageError
}

func (c *configCommand) get(ctx context.Context) error {
	text, err := c.call(ctx, http.MethodGet, configPath, -1, nil)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.out(), string(text))
	return err
}

// change sends the content of a file as a change.
func (c *configCommand) change(ctx context.Context, method, path string) error {
	body, err := check.ReadFile(path)
	if err != nil {
		return err
	}
	onto := c.onto
	if onto < 0 {
		if onto, err = c.newest(ctx); err != nil {
			return err
		}
	}
	text, err := c.call(ctx, method, configPath, onto, body)
	if err != nil {
		return err
	}
	return c.show(text, func(w io.Writer) error {
		var accepted struct {
			Generation int64 `json:"generation"`
		}
		if err := json.Unmarshal(text, &accepted); err != nil {
			return fmt.Errorf("decode the response: %w", err)
		}
		_, err := fmt.Fprintf(w, "version %d is in force, on top of %d\n", accepted.Generation, onto)
		return err
	})
}

// newest returns the number of the newest version, which the instance reads through the chain; 0 before the first.
func (c *configCommand) newest(ctx context.Context) (int64, error) {
	text, err := c.call(ctx, http.MethodGet, configPath, -1, nil)
	if hasStatus(err, http.StatusNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	var newest struct {
		Generation int64 `json:"generation"`
	}
	if err := json.Unmarshal(text, &newest); err != nil {
		return 0, fmt.Errorf("decode the response: %w", err)
	}
	return newest.Generation, nil
}

func (c *configCommand) history(ctx context.Context) error {
	text, err := c.call(ctx, http.MethodGet, "/-/history", -1, nil)
	if err != nil {
		return err
	}
	return c.show(text, func(w io.Writer) error {
		var history struct {
			AsOfMS   int64             `json:"as_of_ms"`
			Versions []api.VersionView `json:"versions"`
		}
		if err := json.Unmarshal(text, &history); err != nil {
			return fmt.Errorf("decode the response: %w", err)
		}
		warnStale(w, history.AsOfMS)
		fmt.Fprintln(w, "GENERATION\tINDEX\tBY\tBYTES")
		for _, version := range history.Versions {
			fmt.Fprintf(w, "%d\t%d\t%s\t%d\n", version.Generation, version.Index, version.Method, version.Bytes)
		}
		return nil
	})
}

func (c *configCommand) diff(ctx context.Context, path string) error {
	body, err := check.ReadFile(path)
	if err != nil {
		return err
	}
	text, err := c.call(ctx, http.MethodGet, configPath, -1, nil)
	if err != nil {
		return err
	}
	changes, err := differences(text, body)
	if err != nil {
		return err
	}
	if c.asJSON {
		text, err := json.Marshal(map[string]any{"changes": changes})
		if err != nil {
			return fmt.Errorf("diff: %w", err)
		}
		_, err = fmt.Fprintln(c.out(), string(text))
		return err
	}
	for _, change := range changes {
		fmt.Fprintln(c.out(), change.Sign, change.Item)
	}
	return nil
}
