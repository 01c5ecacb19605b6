// Package settings defines the operators' settings as typed records and loads them. A helper program validates the CUE
// file against the schema in internal/settings/schema and exports it as JSON, which this package decodes without
// validating it again.
package settings

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	jsoniter "github.com/json-iterator/go"
)

// Settings are the settings that operators write. The zero value is the behavior without a settings file: no dead
// letters are stored and there is no admin socket.
type Settings struct {
	Log           Log           `json:"log"`
	Admin         Admin         `json:"admin"`
	Undeliverable Undeliverable `json:"undeliverable"`
	Fleet         *Fleet        `json:"fleet"`   // nil: the courier shares nothing with others
	History       *History      `json:"history"` // nil: no history is written
}

// Log configures the log on standard error.
type Log struct {
	Format string     `json:"format"` // text or json
	Level  slog.Level `json:"level"`
}

// Admin configures the Unix socket through which the operators' commands reach the courier.
type Admin struct {
	Socket string `json:"socket"` // "" for none
}

// Undeliverable configures the store of dead letters: messages whose delivery failed for good.
type Undeliverable struct {
	Keep           bool    `json:"keep"`
	Dir            string  `json:"folder"` // "" for a directory in the courier's state directory
	MaxBytes       int64   `json:"max_bytes"`
	MaxDeadLetters int     `json:"max_letters"`
	MaxAge         Seconds `json:"max_age_s"`
	ResolvedMaxAge Seconds `json:"settled_age_s"`
	Sync           bool    `json:"sync"`
	Resend         Resend  `json:"resend"`
}

// Fleet configures the gossip between couriers. Addresses are IP:port.
type Fleet struct {
	BindAddress      string   `json:"bind"`
	AdvertiseAddress string   `json:"advertise"` // "" for BindAddress
	Seeds            []string `json:"seeds"`
	Site             string   `json:"site"`
	KeyFile          string   `json:"key_file"` // "" for no encryption
	MaxMembers       int      `json:"max_members"`
	MaxFacts         int      `json:"max_facts"`
	MaxBytes         int      `json:"max_bytes"`
	GossipInterval   Seconds  `json:"gossip_interval_s"`
	ProbeInterval    Seconds  `json:"probe_interval_s"`
	SeedsInterval    Seconds  `json:"seeds_interval_s"`
	MaxDatagramBytes int      `json:"max_datagram"`
}

// History configures the file in which the courier records its actions, to be checked after a run.
type History struct {
	File     string `json:"file"`
	MaxBytes int64  `json:"max_bytes"`
}

// Resend configures the repeated delivery of dead letters. Rates are in calls per second to one destination.
type Resend struct {
	Automatic       bool    `json:"automatic"`
	MaxResends      int     `json:"max_resends"`
	MaxAge          Seconds `json:"last_date_s"`
	InitialRate     float64 `json:"first_rate"`
	MaxRate         float64 `json:"max_rate"`
	Growth          float64 `json:"growth"`
	Backoff         Seconds `json:"backoff_s"`
	MaxBackoff      Seconds `json:"max_backoff_s"`
	Jitter          float64 `json:"jitter"`
	MaxSlotShare    float64 `json:"slots_share"`
	MaxPendingShare float64 `json:"held_share"`
}

// Seconds is a duration in seconds.
type Seconds float64

// Duration converts s to a time.Duration.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

var api = jsoniter.Config{EscapeHTML: true, DisallowUnknownFields: true}.Froze()

// Decode parses the JSON that the helper exports. An unknown field is an error, because it means that the helper
// comes from another build.
func Decode(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := api.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// HelperProgram is the file name of the program that validates settings files.
const HelperProgram = "raventrestle-settings"

// helperTimeout limits one run of the helper, which takes about 10 ms.
const helperTimeout = 10 * time.Second

// RunHelper runs the helper, which is in the same directory as this program, with the arguments and returns its standard
// output. If it exits with an error message, the message is returned as an [InvalidFileError].
func RunHelper(ctx context.Context, args ...string) ([]byte, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, helperTimeout)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(filepath.Dir(exe), HelperProgram), args...)
	var out, errorOutput bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errorOutput
	err = cmd.Run()
	var exitErr *exec.ExitError
	if errors.As(err, &exitErr) && errorOutput.Len() > 0 {
		return nil, &InvalidFileError{strings.TrimSpace(errorOutput.String())}
	}
	if err != nil {
		return nil, fmt.Errorf("settings: running the helper: %w", err)
	}
	return out.Bytes(), nil
}

// InvalidFileError is the helper's error message about a settings file.
type InvalidFileError struct{ Reason string }

func (e *InvalidFileError) Error() string { return e.Reason }

// Load reads and validates a settings file through the helper.
func Load(ctx context.Context, path string) (*Settings, error) {
	text, err := RunHelper(ctx, "export", path)
	if err != nil {
		return nil, err
	}
	return Decode(text)
}

// NewLogger returns a logger to standard error in the configured format. It sets level to the configured level; setting
// level later changes the logger's level.
func NewLogger(l Log, level *slog.LevelVar) *slog.Logger {
	level.Set(l.Level)
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
