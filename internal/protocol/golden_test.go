package protocol

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"raventrestle/internal/transport"
)

// The golden data were written by build 73ca247. They hold what processes of that build send each other, so they
// never change: a new message type or field gets a line of its own, and the numbers of the old ones stay.

// goldenMessage is one message with the name of its line in testdata/golden/messages.txt.
type goldenMessage struct {
	line    string
	message any
}

var filledOrigin = Origin{Address: "10.0.0.1:7500", Incarnation: 0x8000000000000001, SentAt: 71 * time.Millisecond}

// filledMessages returns one message of each kind, with every field set to a value of its own.
func filledMessages() []goldenMessage {
	origin := filledOrigin
	standing := FreshnessProof{Epoch: 301, HasMajorityContact: true, MajorityContactAge: 302, SentAt: 303, EchoedSequence: 304}
	return []goldenMessage{
		{"1", &Subscribe{Node: "node-1", Zone: "zone-2", Incarnation: 103, Generation: 104, Ready: true, EchoSequence: 106}},
		{"2", &Update{
			Sequence: 201, Generation: 202, Document: []byte("document-203"), Snapshot: true,
			Endpoints:           []Endpoint{goldenEndpoint(2)},
			Members:             []Member{{Identity: "member-1", Address: "member-2", ControlAddress: "member-3", Zone: "member-4"}},
			RouterCount:         207,
			Quotas:              []QuotaGrant{goldenGrant(1)},
			GenerationConfirmed: true,
			Freshness:           standing,
			IssuesCredit:        true,
		}},
		{"3", &UpdateAck{Sequence: 401, EchoSequence: 402}},
		{"4", &Beacon{Sequence: 501, Generation: 502, Freshness: standing}},
		{"5", goldenReport(1)},
		{"6", &ReplicaMessage{From: "from-1", Body: []byte{0xb0, 0xd1}}},
		{"7", &Probe{EchoSequence: 701}},
		{"8", &ProbeReply{Generation: 801, Freshness: standing}},
		{"9", &CreditRequest{ID: 901, Tenant: "tenant-902", Amount: 903.5, Waiting: 904.5, Minimum: 905.5, Rank: 906}},
		{"10", &CreditGrant{ID: 1001, Tenant: "tenant-1002", Amount: 1003.5, RetryAfter: 1004}},
		{"32", &RegistryDelta{
			Origin: origin, Sequence: 3202, Records: []Record{{Endpoint: goldenEndpoint(3), HeartbeatAge: 3203}}, InForceAckRequested: true,
			FromCompleteTable: true,
		}},
		{"33", &RegistryAck{Origin: origin, SenderIncarnation: 3302, Received: []uint64{3303, 3304}, InForce: []uint64{3305, 3306}}},
		{"34", &RegistrySummary{
			Origin:   origin,
			Versions: []RecordVersion{{ID: "version-1", Sequence: 3401, ContentHash: 3402, Departed: true}},
			IsReply:  true,
		}},
		{"35", &RegistryDigest{
			Origin: origin, AliveHashes: []uint32{3501, 3502}, TableHash: 3503, RoutersIncluded: true, RouterHashes: []uint32{3504, 3505},
		}},
		{"36", &LoadingTable{
			Origin: origin, Epoch: 3601, Sequence: 3602,
			Loading: []EndpointLoading{{Endpoint: "endpoint-1", Loads: []ModelLoad{goldenLoad(3)}}},
		}},
		{"37", &ReportBatch{
			Origin:    origin,
			Reports:   []Report{*goldenReport(2)},
			GrantAcks: []GrantAck{{Node: "node-3701", Incarnation: 3702, Epoch: 3703, Batch: 3704}},
		}},
		{"38", &GrantBatch{
			Origin: origin,
			Routers: []RouterGrants{{
				Node: "node-3801", Incarnation: 3802, Grants: []QuotaGrant{goldenGrant(2)}, Epoch: 3804, Batch: 3805,
			}},
		}},
		{"39", &PeerCreditRequest{Origin: origin, ID: 3902, Tenant: "tenant-3903", Amount: 3904.5, Rank: 3905}},
		{"40", &PeerCreditGrant{Origin: origin, ID: 4002, Amount: 4003.5, RetryAfter: 4004, Cell: 4005, Tenant: "tenant-4006"}},
		{"41", &PeerCreditReturn{Origin: origin, Tenant: "tenant-4102", Amount: 4103.5, Cell: 4104, Incarnation: 4105}},
		{"42", &PeerRecord{Origin: origin, Identity: "identity-4202", Sequence: 4203, Record: []byte{0x42, 0x04}}},
		{"43", &PeerRecordAck{Origin: origin, Sequence: 4302}},
		{"44", &PeerCopyRequest{Origin: origin, Owner: "owner-4402", Table: 4403}},
		{"45", &PeerCopy{Origin: origin, Identity: "identity-4502", Owner: "owner-4503", Table: 4504, Record: []byte{0x45, 0x05}, Age: 4506}},
	}
}

func goldenEndpoint(set int) Endpoint {
	text := func(field int) string { return fmt.Sprintf("endpoint-%d-%d", set, field) }
	return Endpoint{
		ID: text(1), Service: text(2), Address: text(3), Zone: text(4), SoftwareVersion: text(5), Slots: 1006 + set,
		State: EndpointState(set), Sequence: uint64(1008 + 100*set), WarmUpRemaining: time.Duration(1009 + 100*set),
		Models:  []LoadedModel{{Name: text(10), Generation: int64(1011 + 100*set), Adapters: []string{text(12), text(13)}}},
		Loading: []ModelLoad{goldenLoad(set)},
	}
}

func goldenLoad(set int) ModelLoad {
	return ModelLoad{
		Model: fmt.Sprintf("load-model-%d", set), Adapter: fmt.Sprintf("load-adapter-%d", set), Unload: true,
		Remaining: time.Duration(1104 + 100*set),
	}
}

func goldenGrant(set int) QuotaGrant {
	base := float64(10 * set)
	return QuotaGrant{
		Tenant: fmt.Sprintf("grant-tenant-%d", set), RatePerSecond: base + 1.25, Burst: base + 2.25,
		TTL: time.Duration(1200 + 100*set), Credit: base + 3.25,
	}
}

func goldenReport(set int) *Report {
	text := func(field int) string { return fmt.Sprintf("report-%d-%d", set, field) }
	number := func(field int) int { return 1300 + 100*set + field }
	return &Report{
		Node: text(1), Incarnation: uint64(number(2)), Sequence: uint64(number(3)), Window: time.Duration(number(4)),
		Models: []ModelDemand{{
			Service: text(11), Model: text(12), Adapter: text(13), Requests: number(14), Unserved: number(15),
			Queued: number(16), InFlight: number(17), Tokens: int64(number(18)), Value: int64(number(19)),
		}},
		Tenants: []TenantDemand{{
			Tenant: text(21), Requested: float64(number(22)) + 0.5, Admitted: float64(number(23)) + 0.5,
			Shortfall: float64(number(24)) + 0.5, RemainingCredit: float64(number(25)) + 0.5,
		}},
		Unreachable: []string{text(31), text(32)},
		Reachable:   []string{text(33), text(34)},
	}
}

// filledUpdateOf73ca247 returns the filled update without the fields that build 73ca247 did not know.
func filledUpdateOf73ca247() *Update {
	for _, filled := range filledMessages() {
		if update, isUpdate := filled.message.(*Update); isUpdate {
			update.IssuesCredit = false
			return update
		}
	}
	return nil
}

// partialsBeforeStates is how many partial messages stand before those with the states of an endpoint.
const partialsBeforeStates = 7

// partialMessages returns messages that the filled ones can't tell apart: those with one of two booleans, each state
// of an endpoint, messages without anything in them, and such with empty ones nested in them.
func partialMessages() []goldenMessage {
	messages := []goldenMessage{
		{"2 full", &Update{Snapshot: true}},
		{"2 issues credit", &Update{IssuesCredit: true}},
		{"2 of 73ca247", filledUpdateOf73ca247()},
		{"2 confirmed", &Update{GenerationConfirmed: true}},
		{"45 of 00765aa6", &PeerCopy{Origin: filledOrigin, Identity: "identity-4502", Owner: "owner-4503", Table: 4504, Record: []byte{0x45, 0x05}}},
		{"32 settle", &RegistryDelta{InForceAckRequested: true}},
		{"32 whole", &RegistryDelta{FromCompleteTable: true}},
	}
	for _, state := range []EndpointState{Ready, Draining, Unresponsive, Departed} {
		messages = append(messages, goldenMessage{
			line: fmt.Sprintf("2 state %d", len(messages)-partialsBeforeStates), message: &Update{Endpoints: []Endpoint{{State: state}}},
		})
	}
	for _, filled := range filledMessages() {
		empty := reflect.New(reflect.TypeOf(filled.message).Elem())
		messages = append(messages, goldenMessage{line: filled.line + " empty", message: empty.Interface()})
		nested := reflect.New(reflect.TypeOf(filled.message).Elem())
		nestZeros(nested.Elem())
		messages = append(messages, goldenMessage{line: filled.line + " nested empty", message: nested.Interface()})
	}
	return messages
}

// nestZeros gives each list of structs one element without anything in it, at all depths: it shows which fields of
// nested messages are left out where they are zero.
func nestZeros(value reflect.Value) {
	for i := range value.NumField() {
		field := value.Field(i)
		switch {
		case field.Kind() == reflect.Struct:
			nestZeros(field)
		case field.Kind() == reflect.Slice && field.Type().Elem().Kind() == reflect.Struct:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
			nestZeros(field.Index(0))
		}
	}
}

func newGoldenCodec() *transport.Codec {
	codec := NewCodec()
	RegisterPeerMessages(codec)
	return codec
}

// readGoldenFrames reads "LINE: HEX" lines.
func readGoldenFrames(t *testing.T) map[string][]byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", "golden", "messages.txt"))
	if err != nil {
		t.Fatal(err)
	}
	frames := make(map[string][]byte)
	scanner := bufio.NewScanner(bytes.NewReader(text))
	for scanner.Scan() {
		line, encoded, _ := strings.Cut(scanner.Text(), ": ")
		frame, err := hex.DecodeString(encoded)
		if err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		frames[line] = frame
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return frames
}

func TestGoldenMessages(t *testing.T) {
	codec := newGoldenCodec()
	frames := readGoldenFrames(t)
	cases := append(filledMessages(), partialMessages()...)
	for _, test := range cases {
		t.Run(test.line, func(t *testing.T) {
			want, known := frames[test.line]
			if !known {
				got, err := codec.Encode(test.message)
				t.Fatalf("no golden line for %T, which is encoded as\n%s: %x (%v)", test.message, test.line, got, err)
			}
			got, err := codec.Encode(test.message)
			if err != nil {
				t.Fatalf("encode %T: got %v, want no error", test.message, err)
			}
			if !bytes.Equal(got, want) {
				t.Errorf("encode %T:\n got %x\nwant %x", test.message, got, want)
			}
			decoded, err := codec.Decode(want[4], want[5:])
			if err != nil {
				t.Fatalf("decode %T: got %v, want no error", test.message, err)
			}
			if difference := cmp.Diff(test.message, decoded); difference != "" {
				t.Errorf("decode %T: got other content than wanted (-want +got):\n%s", test.message, difference)
			}
		})
	}
	if len(frames) != len(cases) {
		t.Errorf("got %d golden lines, want one for each of %d cases", len(frames), len(cases))
	}
}

// TestGoldenMessagesCoverEachKind fails when a kind is registered that has no filled message, or is registered no more.
func TestGoldenMessagesCoverEachKind(t *testing.T) {
	codec := newGoldenCodec()
	filled := make(map[string]reflect.Type)
	for _, golden := range filledMessages() {
		filled[golden.line] = reflect.TypeOf(golden.message)
	}
	registered := 0
	for kind := range 256 {
		message, err := codec.Decode(byte(kind), []byte{0xa0}) // an empty cbor map
		if err != nil {
			continue
		}
		registered++
		if got, want := filled[fmt.Sprint(kind)], reflect.TypeOf(message); got != want {
			t.Errorf("kind %d: got a filled message of type %v, want %v", kind, got, want)
		}
	}
	if registered != len(filled) {
		t.Errorf("got %d registered kinds, want %d, one for each filled message", registered, len(filled))
	}
}

// TestGoldenMessagesFillEachField fails when a field is added that no golden line shows, and when two fields of one
// message have the same value, so that the bytes could not tell them apart.
func TestGoldenMessagesFillEachField(t *testing.T) {
	for _, golden := range filledMessages() {
		t.Run(golden.line, func(t *testing.T) {
			seen := make(map[string]string)
			checkFilled(t, reflect.ValueOf(golden.message).Elem(), fmt.Sprintf("%T", golden.message), seen)
		})
	}
}

// checkFilled wants every leaf under value to be set, and to be unlike the others of its message but for booleans.
func checkFilled(t *testing.T, value reflect.Value, path string, seen map[string]string) {
	t.Helper()
	switch {
	case value.IsZero():
		t.Errorf("%s: got the zero value %v, want a value of its own", path, value)
	case value.Kind() == reflect.Struct:
		for i := range value.NumField() {
			checkFilled(t, value.Field(i), path+"."+value.Type().Field(i).Name, seen)
		}
	case value.Kind() == reflect.Slice && value.Type().Elem().Kind() != reflect.Uint8:
		for i := range value.Len() {
			checkFilled(t, value.Index(i), fmt.Sprintf("%s[%d]", path, i), seen)
		}
	case value.Kind() == reflect.Bool:
	default:
		leaf := fmt.Sprint(value)
		if value.CanInt() {
			leaf = fmt.Sprint(value.Int())
		}
		if other, taken := seen[leaf]; taken {
			t.Errorf("%s: got the value %s of %s, want one of its own", path, leaf, other)
		}
		seen[leaf] = path
	}
}

// TestGoldenMessagesNumberEachField fails when a field of a message has no number of its own in its tag.
func TestGoldenMessagesNumberEachField(t *testing.T) {
	for _, golden := range filledMessages() {
		checkNumbered(t, reflect.TypeOf(golden.message).Elem())
	}
}

func checkNumbered(t *testing.T, message reflect.Type) {
	t.Helper()
	for message.Kind() == reflect.Slice {
		message = message.Elem()
	}
	if message.Kind() != reflect.Struct {
		return
	}
	for i := range message.NumField() {
		field := message.Field(i)
		if tag := field.Tag.Get("cbor"); !strings.Contains(tag, ",keyasint") {
			t.Errorf("%v.%s: got the tag %q, want a number with keyasint", message, field.Name, tag)
		}
		checkNumbered(t, field.Type)
	}
}

// goldenDocument is a configuration above the size from which documents are compressed.
func goldenDocument() []byte {
	var text bytes.Buffer
	text.WriteString(`{"generation":1,"routes":[`)
	for i := range 400 {
		fmt.Fprintf(&text, `{"name":"r-%d","hostname":"h%d.example","path_prefix":"/p%d/"},`, i*7919%1000, i%13, i)
	}
	text.WriteString(`{}],"services":[]}`)
	return text.Bytes()
}

// TestGoldenCompressedDocument reads what build 73ca247 compressed, and compresses to the same bytes. Should a new
// compress/zlib give other bytes, the data stay for the reading side, and a second file is added for the writing side.
func TestGoldenCompressedDocument(t *testing.T) {
	compressed, err := os.ReadFile(filepath.Join("testdata", "golden", "document.zlib"))
	if err != nil {
		t.Fatal(err)
	}
	document := goldenDocument()
	got, err := DecompressDocument(compressed)
	if err != nil || !bytes.Equal(got, document) {
		t.Errorf("decompress: got %d bytes and %v, want the %d bytes that were compressed", len(got), err, len(document))
	}
	if got := CompressDocument(document); !bytes.Equal(got, compressed) {
		t.Errorf("compress: got %d bytes %.20x, want %d bytes %.20x", len(got), got, len(compressed), compressed)
	}
}

// TestGoldenCompressionBounds pins above which size documents are compressed, and which are accepted.
func TestGoldenCompressionBounds(t *testing.T) {
	plain := append([]byte("{"), bytes.Repeat([]byte("a"), 16383)...)
	if got := CompressDocument(plain); !bytes.Equal(got, plain) {
		t.Errorf("16384 bytes: got %.8x of %d bytes, want them as they are", got, len(got))
	}
	if got := CompressDocument(append(plain, 'a')); len(got) == 0 || got[0] != 0x78 {
		t.Errorf("16385 bytes: got %.8x, want 78, the first byte of zlib data", got)
	}
	largest := append([]byte("{"), bytes.Repeat([]byte("a"), 16<<20-1)...)
	if got, err := DecompressDocument(CompressDocument(largest)); err != nil || len(got) != 16<<20 {
		t.Errorf("16 MiB: got %d bytes and %v, want all of them", len(got), err)
	}
	if got, err := DecompressDocument(CompressDocument(append(largest, 'a'))); err == nil {
		t.Errorf("16 MiB and a byte: got %d bytes, want an error", len(got))
	}
}
