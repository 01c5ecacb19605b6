package system

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

const requestTimeout = 12 * time.Second

// ask is one request of a client.
type ask struct {
	router int
	path   string
	model  string
	key    string
	note   string
}

// result is what came of it.
type result struct {
	status int
	first  time.Duration
	events int
	by     string
}

func asks() []ask {
	return []ask{
		{0, writerPath + "1", "sparrow", tenantKey, "held by two endpoints"},
		{1, writerPath + "2", "sparrow", tenantKey, ""},
		{0, writerPath + "3", "heron", tenantKey, "held by one"},
		{1, writerPath + "4", "wren/a1", tenantKey, "an adapter"},
		{0, writerPath + "5", "stork", tenantKey, "held by none: loaded for this request"},
		{1, writerPath + "6", "stork", tenantKey, "held by now"},
		{1, ledgerPath + "entry", "", tenantKey, "runs once at most"},
		{0, writerPath + "7", "sparrow", "no-key", "key unknown"},
		{0, "/elsewhere/", "", tenantKey, "no such route"},
	}
}

// play sends the requests one after the other and tells what came of them.
func (w *world) play(ctx context.Context) error {
	table := tabwriter.NewWriter(w.options.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\nROUTER\tPATH\tMODEL\tSTATUS\tFIRST BYTE\tEVENTS\tENDPOINT\tNOTE")
	for number, one := range asks() {
		got, err := w.send(ctx, number, one)
		if err != nil {
			return fmt.Errorf("request %d, %s: %w", number+1, one.path, err)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%d\t%d ms\t%d\t%s\t%s\n", one.router+1, one.path, one.model, got.status,
			got.first.Milliseconds(), got.events, got.by, one.note)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	w.printf("")
	for _, endpoint := range w.endpoints {
		w.printf("endpoint %s at %s: %d served, holds %s", endpoint.ID(), endpoint.Address(), endpoint.Served(),
			strings.Join(endpoint.Models(), " "))
	}
	return nil
}

func (w *world) send(ctx context.Context, number int, one ask) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	url := "http://" + w.places.front(one.router) + one.path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("a text"))
	if err != nil {
		return result{}, err
	}
	request.Host = host
	request.Header.Set("X-Request-Id", "try-"+strconv.Itoa(number+1))
	request.Header.Set("X-Deadline-Ms", "10000")
	request.Header.Set("Api-Key", one.key)
	if one.model != "" {
		request.Header.Set("X-Model", one.model)
		request.Header.Set("X-Token-Usage", "120,40")
		request.Header.Set("X-Prefix-Hash", "5c1e07a2:80,e4402b7d:40")
	}
	began := time.Now()
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		return result{}, err
	}
	defer func() { _ = answer.Body.Close() }() // it has been read
	got := result{status: answer.StatusCode, by: answer.Header.Get("X-Served-By")}
	events, err := readEvents(answer.Body, began)
	got.first, got.events = events.first, events.count
	return got, err
}

// receivedEvents is what came of the body of an answer.
type receivedEvents struct {
	first   time.Duration // until the first line, or the end
	count   int
	inOrder bool // the events have the numbers 1, 2 and so on
}

// readEvents reads the body of an answer to its end.
func readEvents(body io.Reader, began time.Time) (receivedEvents, error) {
	events := receivedEvents{inOrder: true}
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		if events.first == 0 {
			events.first = time.Since(began)
		}
		if number, found := strings.CutPrefix(lines.Text(), "id:"); found {
			events.count++
			events.inOrder = events.inOrder && strings.TrimSpace(number) == strconv.Itoa(events.count)
		}
	}
	if events.first == 0 {
		events.first = time.Since(began)
	}
	return events, lines.Err()
}

// printNextSteps says what a newcomer may try.
func (w *world) printNextSteps() {
	control := w.options.Programs + "/raventrestle-control"
	w.printf(`
To try next, in another shell while this runs:

  curl -sN -H 'Host: %[1]s' -H 'Api-Key: %[2]s' -H 'X-Request-Id: my-1' -H 'X-Model: sparrow' \
    -H 'X-Token-Usage: 120,40' -d text http://%[3]s%[4]sby-hand
  %[5]s members -control %[6]s
  %[5]s endpoints -control %[6]s
  %[5]s models -control %[6]s
  %[5]s config -control %[6]s get
  echo '{"generation":2,"delete":{"routes":["ledger"]}}' | %[5]s config -control %[6]s patch -
  %[5]s config -control %[6]s history
  kill -9 %[7]d        # %[8]s: the others go on; members shows it
  curl -i http://%[9]s/-/readyz

Settings and logs are in %[10]s.`,
		host, tenantKey, w.places.front(0), writerPath, control, w.places.control(1),
		w.controls[0].run.Process.Pid, w.controls[0].name, w.places.readiness(0), w.directory)
	if w.options.Stay {
		w.printf("Ctrl-C ends it.")
	}
}
