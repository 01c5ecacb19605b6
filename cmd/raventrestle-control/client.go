package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/subcommands"

	"raventrestle/internal/nodeconfig"
)

const (
	callTimeout      = 5 * time.Second
	maxResponseBytes = 16 << 20
	tablePadding     = 2
)

// client is what all commands that ask an instance have in common.
type client struct {
	control string // address of an instance's public interface
	asJSON  bool
	output  io.Writer
}

func (c *client) flags(flags *flag.FlagSet) {
	flags.StringVar(&c.control, "control", "",
		"`address` of a control instance, host:port; left out, the one of the settings file")
	flags.BoolVar(&c.asJSON, "json", false, "print the answer as JSON")
}

func (c *client) out() io.Writer {
	if c.output != nil {
		return c.output
	}
	return os.Stdout
}

// base returns where the instance is asked.
func (c *client) base() (string, error) {
	if c.control != "" {
		return "http://" + c.control, nil
	}
	settings, err := nodeconfig.FromEnvironment()
	if err != nil {
		return "", fmt.Errorf("no -control given, and no settings to take it from: %w", err)
	}
	if settings.ControlAddress != "" {
		return "http://" + settings.ControlAddress, nil
	}
	if len(settings.Seeds) > 0 {
		return "http://" + settings.Seeds[0], nil
	}
	return "", fmt.Errorf("no -control given, and the settings name no instance")
}

// call asks the instance; version is the If-Match of a change, negative for none.
func (c *client) call(ctx context.Context, method, path string, version int64, body []byte) ([]byte, error) {
	base, err := c.base()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ask := sling.New().Base(base).Path(path)
	ask = withMethod(ask, method, path)
	if version >= 0 {
		ask = ask.Set("If-Match", strconv.FormatInt(version, 10))
	}
	if body != nil {
		ask = ask.Body(bytes.NewReader(body)).Set("Content-Type", "application/json")
	}
	request, err := ask.Request()
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	answer, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = answer.Body.Close() }() // it has been read
	text, err := io.ReadAll(io.LimitReader(answer.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%s %s: read the answer: %w", method, path, err)
	}
	if answer.StatusCode != http.StatusOK {
		return nil, &statusError{call: method + " " + path, status: answer.StatusCode, reason: reasonIn(text)}
	}
	return text, nil
}

// statusError is an answer other than 200.
type statusError struct {
	call   string
	status int
	reason string
}

func (r *statusError) Error() string {
	return fmt.Sprintf("%s: %d %s: %s", r.call, r.status, http.StatusText(r.status), r.reason)
}

// hasStatus says whether an error is the answer with this status.
func hasStatus(err error, status int) bool {
	var refused *statusError
	return errors.As(err, &refused) && refused.status == status
}

func withMethod(ask *sling.Sling, method, path string) *sling.Sling {
	switch method {
	case http.MethodPut:
		return ask.Put(path)
	case http.MethodPatch:
		return ask.Patch(path)
	}
	return ask.Get(path)
}

// reasonIn takes the reason out of an error's body.
func reasonIn(text []byte) string {
	var told struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &told) == nil && told.Error != "" {
		return told.Error
	}
	return string(text)
}

// show prints an answer: as it is, or as a table.
func (c *client) show(text []byte, table func(w io.Writer) error) error {
	if c.asJSON {
		_, err := fmt.Fprintln(c.out(), string(text))
		return err
	}
	writer := tabwriter.NewWriter(c.out(), 0, 0, tablePadding, ' ', 0)
	if err := table(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// status turns an error into the program's end.
func status(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "raventrestle-control:", err)
	return subcommands.ExitFailure
}
