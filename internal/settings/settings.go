// Package settings holds the operators' settings as the daemon uses them: typed records, read from
// the JSON that the settings helper makes of a checked CUE file. It decides nothing and checks
// nothing twice; the schema is internal/settings/schema.
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

// Settings are the operators' own. The zero value is what a courier without a file does: nothing
// is kept, nobody can reach it by the admin socket.
type Settings struct {
	Log           Log           `json:"log"`
	Admin         Admin         `json:"admin"`
	Undeliverable Undeliverable `json:"undeliverable"`
	Fleet         *Fleet        `json:"fleet"`   // nil: nothing is shared with other couriers
	History       *History      `json:"history"` // nil: none is written
}

// Log is what the courier writes to standard error.
type Log struct {
	Format string     `json:"format"` // text or json
	Level  slog.Level `json:"level"`
}

// Admin is where the operators' commands reach the courier.
type Admin struct {
	Socket string `json:"socket"` // "" for none
}

// Undeliverable is about the messages that the courier gave up as failed.
type Undeliverable struct {
	Keep       bool    `json:"keep"`
	Folder     string  `json:"folder"` // "" for one in the folder that lasts
	MaxBytes   int64   `json:"max_bytes"`
	MaxLetters int     `json:"max_letters"`
	MaxAge     Seconds `json:"max_age_s"`
	SettledAge Seconds `json:"settled_age_s"`
	Sync       bool    `json:"sync"`
	Resend     Resend  `json:"resend"`
}

// Fleet is about what couriers share with one another. Addresses are IP:port.
type Fleet struct {
	Bind           string   `json:"bind"`
	Advertise      string   `json:"advertise"` // "" for Bind
	Seeds          []string `json:"seeds"`
	Site           string   `json:"site"`
	KeyFile        string   `json:"key_file"` // "" for no encryption
	MaxMembers     int      `json:"max_members"`
	MaxFacts       int      `json:"max_facts"`
	MaxBytes       int      `json:"max_bytes"`
	GossipInterval Seconds  `json:"gossip_interval_s"`
	ProbeInterval  Seconds  `json:"probe_interval_s"`
	SeedsInterval  Seconds  `json:"seeds_interval_s"`
	MaxDatagram    int      `json:"max_datagram"`
}

// History is where the courier writes what it does, for a check after a run.
type History struct {
	File     string `json:"file"`
	MaxBytes int64  `json:"max_bytes"`
}

// Resend is about sending dead letters again. Rates are in calls a second for one destination.
type Resend struct {
	Automatic  bool    `json:"automatic"`
	MaxResends int     `json:"max_resends"`
	LastDate   Seconds `json:"last_date_s"`
	FirstRate  float64 `json:"first_rate"`
	MaxRate    float64 `json:"max_rate"`
	Growth     float64 `json:"growth"`
	Backoff    Seconds `json:"backoff_s"`
	MaxBackoff Seconds `json:"max_backoff_s"`
	Jitter     float64 `json:"jitter"`
	SlotsShare float64 `json:"slots_share"`
	HeldShare  float64 `json:"held_share"`
}

// Seconds is a duration, told as a number of seconds.
type Seconds float64

// Duration is the same in nanoseconds.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

var api = jsoniter.Config{EscapeHTML: true, DisallowUnknownFields: true}.Froze()

// Decode reads the JSON of a checked file. A field that this build does not know is an error: the
// helper is then of another build.
func Decode(text []byte) (*Settings, error) {
	s := &Settings{}
	if err := api.Unmarshal(text, s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return s, nil
}

// Helper is the program that checks settings files.
const Helper = "raventrestle-settings"

// helperTime bounds one run of the helper, which takes some 10 ms.
const helperTime = 10 * time.Second

// Run has the helper beside this program do something with settings files, and returns what it
// printed. Its complaint, one sentence, is the error.
func Run(ctx context.Context, args ...string) ([]byte, error) {
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	ctx, stop := context.WithTimeout(ctx, helperTime)
	defer stop()
	cmd := exec.CommandContext(ctx, filepath.Join(filepath.Dir(exe), Helper), args...)
	var out, complaint bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &complaint
	err = cmd.Run()
	var exit *exec.ExitError
	if errors.As(err, &exit) && complaint.Len() > 0 {
		return nil, &Invalid{strings.TrimSpace(complaint.String())}
	}
	if err != nil {
		return nil, fmt.Errorf("settings: helper: %w", err)
	}
	return out.Bytes(), nil
}

// Invalid is a fault of a settings file, as the helper words it.
type Invalid struct{ Why string }

func (e *Invalid) Error() string { return e.Why }

// Load reads a settings file by way of the helper.
func Load(ctx context.Context, path string) (*Settings, error) {
	text, err := Run(ctx, "export", path)
	if err != nil {
		return nil, err
	}
	return Decode(text)
}

// Logger writes events to standard error as the settings say; the level can be changed later.
func Logger(l Log, level *slog.LevelVar) *slog.Logger {
	level.Set(l.Level)
	opts := &slog.HandlerOptions{Level: level}
	if l.Format == "json" {
		return slog.New(slog.NewJSONHandler(os.Stderr, opts))
	}
	return slog.New(slog.NewTextHandler(os.Stderr, opts))
}
