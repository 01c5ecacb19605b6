// Package wire translates between the bench's JSON lines and raventrestle's types.
// It decides nothing.
package wire

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"time"

	"raventrestle"
	"raventrestle/internal/config"
)

// Op says what an Item does to its instance.
type Op uint8

const (
	Boot  Op = iota // start afresh with Settings and Seed
	Kill            // forget everything
	Event           // an event for the running instance
	Other           // the instance has an event that the library does not know
)

// Item is one event of a batch, for one instance.
type Item struct {
	Instance int
	Op       Op
	Seed     uint64
	Settings raventrestle.Settings
	Event    raventrestle.Event
}

// Batch is one line of input.
type Batch struct {
	Clock time.Duration
	Items []Item
}

// Decoder reads batches. It keeps the numbered lists and each instance's names.
type Decoder struct {
	tables map[int][]rawEntry
	names  map[int]*config.Names
}

type rawEntry struct {
	target, kind, zone string
	dest               int64
	state              raventrestle.Readiness
	size               float64
	joined             int64
}

// NewDecoder returns an empty Decoder.
func NewDecoder() *Decoder {
	return &Decoder{tables: map[int][]rawEntry{}, names: map[int]*config.Names{}}
}

var states = map[string]raventrestle.Readiness{
	"Ready": raventrestle.Ready, "Terminating": raventrestle.Draining, "Gone": raventrestle.Removed,
}

var listKinds = map[string]raventrestle.ListKind{
	"diff": raventrestle.ListChanges, "snapshot": raventrestle.ListSnapshot,
	"disk": raventrestle.ListCached, "error": raventrestle.ListFailed,
}

var statuses = map[int]raventrestle.Status{
	0: raventrestle.OK, 255: raventrestle.Error, 254: raventrestle.Rejected, 253: raventrestle.TimedOut,
	252: raventrestle.ConnectFailed, 251: raventrestle.Reset, 250: raventrestle.Canceled, 249: raventrestle.NotSent,
}

// Decode reads one line.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw struct {
		Clock    *int64               `json:"clock_us"`
		Arrivals *[][]json.RawMessage `json:"arrivals"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a batch: %v", err)
	}
	if raw.Clock == nil || raw.Arrivals == nil {
		return Batch{}, fmt.Errorf("not a batch: clock_us or arrivals is missing")
	}
	b := Batch{Clock: us(*raw.Clock)}
	for _, msg := range *raw.Arrivals {
		r := row{vals: msg}
		name := r.text(0)
		if r.err == nil && name == "table" {
			d.table(&r)
		} else if r.err == nil {
			b.Items = append(b.Items, d.item(&r, name))
		}
		if r.err != nil {
			return Batch{}, fmt.Errorf("event %q: %v", name, r.err)
		}
	}
	return b, nil
}

func (d *Decoder) table(r *row) {
	var items [][]json.RawMessage
	n := r.integer(1)
	r.into(2, &items)
	list := make([]rawEntry, 0, len(items))
	for _, it := range items {
		e := row{vals: it}
		x := rawEntry{
			target: e.text(0), dest: e.integer(1), kind: e.text(3), zone: e.text(4), size: e.number(5),
			joined: e.integer(6),
		}
		state, ok := states[e.text(2)]
		if e.err == nil && !ok {
			e.err = fmt.Errorf("unknown readiness %q", e.text(2))
		}
		if e.err != nil {
			r.err = e.err
			return
		}
		x.state = state
		list = append(list, x)
	}
	d.tables[int(n)] = list
}

func (d *Decoder) item(r *row, name string) Item {
	it := Item{Instance: int(r.integer(1)), Op: Event}
	if r.err != nil {
		return it
	}
	if name == "boot" {
		it.Op, it.Seed = Boot, uint64(r.integer(2))
		if len(r.vals) > 3 && r.err == nil {
			it.Settings, d.names[it.Instance], r.err = config.ParseSettings(r.vals[3])
		}
		return it
	}
	nm := d.names[it.Instance]
	if nm == nil {
		r.err = fmt.Errorf("instance %d has not booted", it.Instance)
		return it
	}
	switch name {
	case "crash_now":
		it.Op = Kill
	case "wake":
		it.Event = raventrestle.Wake{}
	case "timed_out_client":
		it.Event = raventrestle.Withdrawn{ID: raventrestle.MessageID(r.text(2))}
	case "ingress":
		class, ok := nm.Classes[r.text(3)]
		if !ok && r.err == nil {
			r.err = fmt.Errorf("unknown class %q", r.text(3))
		}
		a := raventrestle.Arrival{
			ID: raventrestle.MessageID(r.text(2)), Class: class,
			Budget: us(r.integer(6)), Dest: raventrestle.DestID(r.integer(8)), Tenant: r.tenant(4, nm.Tenants),
			Resubmitted: r.integer(9)&2 != 0, Orphaned: r.integer(9)&16 != 0,
		}
		if r.integer(9)&1 != 0 {
			a.Estimate = us(r.integer(7))
		}
		it.Event = a
	case "report_back":
		status, ok := statuses[int(r.integer(5))]
		if !ok && r.err == nil {
			r.err = fmt.Errorf("unknown status %d", r.integer(5))
		}
		o := raventrestle.Outcome{
			ID: raventrestle.MessageID(r.text(2)), Target: raventrestle.TargetID(r.text(4)),
			Attempt: int(r.integer(3)), Status: status, Duration: us(r.integer(6)), Final: r.flag(7),
		}
		if status == raventrestle.Rejected {
			o.RetryAfter = time.Duration(r.integer(8)) * time.Millisecond
		}
		o.Report = r.report(9)
		it.Event = o
	case "probe_result":
		status, ok := statuses[int(r.integer(2))]
		if !ok && r.err == nil {
			r.err = fmt.Errorf("unknown status %d", r.integer(2))
		}
		it.Event = raventrestle.ProbeResult{
			Target: raventrestle.TargetID(r.text(4)), Status: status, Duration: us(r.integer(3)),
			Report: r.report(5),
		}
	case "from_peer":
		n := raventrestle.PeerMessage{From: int(r.integer(2))}
		r.into(3, &n.Data)
		it.Event = n
	case "directory_update":
		how, ok := listKinds[r.text(2)]
		if !ok && r.err == nil {
			r.err = fmt.Errorf("unknown list kind %q", r.text(2))
		}
		l := raventrestle.ListUpdate{Kind: how}
		if how != raventrestle.ListFailed {
			list, ok := d.tables[int(r.integer(4))]
			if !ok && r.err == nil {
				r.err = fmt.Errorf("unknown table %d", r.integer(4))
			}
			for _, e := range list {
				l.Entries = append(l.Entries, raventrestle.Entry{
					Target: raventrestle.TargetID(e.target),
					Dest:   raventrestle.DestID(e.dest), State: e.state, Kind: config.Index(nm.Kinds, e.kind),
					Zone: config.Index(nm.Zones, e.zone), RateLimit: e.size, JoinedAt: us(e.joined),
				})
			}
		}
		it.Event = l
	default:
		it.Op = Other
	}
	return it
}

// row is one message of the wire; the first fault met is kept.
type row struct {
	vals []json.RawMessage
	err  error
}

func (r *row) into(i int, v any) {
	if r.err != nil || i >= len(r.vals) || bytes.Equal(r.vals[i], []byte("null")) {
		return
	}
	if err := json.Unmarshal(r.vals[i], v); err != nil {
		r.err = fmt.Errorf("value %d: %v", i, err)
	}
}

func (r *row) text(i int) (s string) { r.into(i, &s); return }
func (r *row) flag(i int) (b bool)   { r.into(i, &b); return }

// tenant reads a tenant's name; sites without tenants leave it out or put 0.
func (r *row) tenant(i int, m map[string]int) int {
	var v any
	r.into(i, &v)
	name, _ := v.(string)
	return config.Index(m, name)
}

func (r *row) number(i int) (f float64) { r.into(i, &f); return }

// integer reads a whole number; seeds may pass the signed range.
func (r *row) integer(i int) int64 {
	var n json.Number
	r.into(i, &n)
	if n == "" || r.err != nil {
		return 0
	}
	if v, err := strconv.ParseInt(string(n), 10, 64); err == nil {
		return v
	}
	if v, err := strconv.ParseUint(string(n), 10, 64); err == nil {
		return int64(v)
	}
	f, err := n.Float64()
	if err != nil || f != math.Trunc(f) {
		r.err = fmt.Errorf("value %d: %s is not a whole number", i, n)
	}
	return int64(f)
}

func (r *row) report(i int) (rep raventrestle.LimitReport) {
	var m map[string]any
	r.into(i, &m)
	rep.Remaining, _ = m["x0"].(float64)
	rep.Limit, _ = m["x1"].(float64)
	return
}

func us(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// Reply collects the actions of one batch.
type Reply struct{ buf []byte }

// Add appends one action of an instance.
func (r *Reply) Add(instance int, a raventrestle.Action) {
	if len(r.buf) > 0 {
		r.buf = append(r.buf, ',')
	}
	put := func(name string, vals ...any) {
		r.buf = append(r.buf, `["`...)
		r.buf = append(r.buf, name...)
		r.buf = append(r.buf, `",`...)
		r.buf = strconv.AppendInt(r.buf, int64(instance), 10)
		for _, v := range vals {
			b, _ := json.Marshal(v)
			r.buf = append(append(r.buf, ','), b...)
		}
		r.buf = append(r.buf, ']')
	}
	switch a := a.(type) {
	case raventrestle.Send:
		put("attempt", a.ID, a.Timeout.Microseconds(), a.Target)
	case raventrestle.Refuse:
		put("reject", a.ID, a.RetryAfter.Microseconds())
	case raventrestle.Fail:
		put("surrender", a.ID)
	case raventrestle.Cancel:
		put("cancel", a.ID, a.Attempt)
	case raventrestle.Probe:
		put("test", a.Target)
	case raventrestle.SendPeerMessage:
		put("signal", a.To, a.Data)
	case raventrestle.CloseIdle:
		put("close", a.Target)
	case raventrestle.Subscribe:
		put("listen", true)
	case raventrestle.WakeAt:
		put("notify_me", "w", (a.At + time.Microsecond - 1).Microseconds())
	case raventrestle.Log:
		put("log", a.Text)
	}
}

// AddError appends the message that an instance could not start.
func (r *Reply) AddError(instance int, err error) {
	if len(r.buf) > 0 {
		r.buf = append(r.buf, ',')
	}
	text, _ := json.Marshal(err.Error())
	r.buf = append(r.buf, fmt.Sprintf(`["internal_error",%d,%s]`, instance, text)...)
}

// Line returns the reply as one line and empties it.
func (r *Reply) Line() []byte {
	line := make([]byte, 0, len(r.buf)+16)
	line = append(append(append(line, `{"cmds":[`...), r.buf...), "]}\n"...)
	r.buf = r.buf[:0]
	return line
}
