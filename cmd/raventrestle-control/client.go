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

// client is the part that all commands which ask an instance share: flags, calls and output.
type client struct {
	control string // address of an instance's HTTP interface; "": that of the settings
	asJSON  bool
	output  io.Writer // nil: standard output
}

func (c *client) flags(flags *flag.FlagSet) {
	flags.StringVar(&c.control, "control", "",
		"`address` of a control instance, host:port; by default that of the settings file")
	flags.BoolVar(&c.asJSON, "json", false, "print the answer as JSON")
}

func (c *client) out() io.Writer {
	if c.output != nil {
		return c.output
	}
	return os.Stdout
}

// base returns the URL of the instance to ask: that of the flag, else the own one or the first seed of the settings.
func (c *client) base() (string, error) {
	if c.control != "" {
		return "http://" + c.control, nil
	}
	config, err := nodeconfig.FromEnvironment()
	if err != nil {
		return "", fmt.Errorf("no -control given, and no settings file to take it from: %w", err)
	}
	if config.ControlAddress != "" {
		return "http://" + config.ControlAddress, nil
	}
	if len(config.Seeds) > 0 {
		return "http://" + config.Seeds[0], nil
	}
	return "", errors.New("no -control given, and the settings file names no instance")
}

// call sends a request to the instance and returns the response's body. Version is the If-Match of a change; negative:
// none. A status other than 200 is a *statusError.
func (c *client) call(ctx context.Context, method, path string, version int64, body []byte) ([]byte, error) {
	base, err := c.base()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	builder := withMethod(sling.New().Base(base).Path(path), method, path)
	if version >= 0 {
		builder = builder.Set("If-Match", strconv.FormatInt(version, 10))
	}
	if body != nil {
		builder = builder.Body(bytes.NewReader(body)).Set("Content-Type", "application/json")
	}
	request, err := builder.Request()
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	response, err := http.DefaultClient.Do(request.WithContext(ctx))
	if err != nil {
		return nil, fmt.Errorf("%s %s: %w", method, path, err)
	}
	defer func() { _ = response.Body.Close() }() // it has been read
	text, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("%s %s: read the response: %w", method, path, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, &statusError{call: method + " " + path, status: response.StatusCode, reason: reasonIn(text)}
	}
	return text, nil
}

// statusError is the error of a response with a status other than 200.
type statusError struct {
	call   string // method and path
	status int
	reason string // from the body
}

// Error returns call, status and reason.
func (e *statusError) Error() string {
	return fmt.Sprintf("%s: %d %s: %s", e.call, e.status, http.StatusText(e.status), e.reason)
}

// hasStatus reports whether an error is a response with this status.
func hasStatus(err error, status int) bool {
	var response *statusError
	return errors.As(err, &response) && response.status == status
}

// withMethod sets one of the methods that the commands use.
func withMethod(builder *sling.Sling, method, path string) *sling.Sling {
	switch method {
	case http.MethodPut:
		return builder.Put(path)
	case http.MethodPatch:
		return builder.Patch(path)
	}
	return builder.Get(path)
}

// reasonIn returns the reason in the body of an error response, or the body.
func reasonIn(text []byte) string {
	var body struct {
		Error string `json:"error"`
	}
	if json.Unmarshal(text, &body) == nil && body.Error != "" {
		return body.Error
	}
	return string(text)
}

// show prints a response: as it is with -json, else as a table.
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

// status prints an error and returns the exit status.
func status(err error) subcommands.ExitStatus {
	if err == nil {
		return subcommands.ExitSuccess
	}
	fmt.Fprintln(os.Stderr, "raventrestle-control:", err)
	return subcommands.ExitFailure
}
