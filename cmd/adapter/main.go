// Command adapter runs instances of the decision module for the bench, which it serves through the wire protocol on
// standard input and output. The instances share no state.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"raventrestle"
	"raventrestle/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	decoder, instances := wire.NewDecoder(), map[int]*raventrestle.Policy{}
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 {
			if err := processLine(decoder, instances, line, w); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// processLine processes one line, which is a batch of events, and writes the reply. Each instance gets its events of the
// batch in one step. A boot in the batch replaces the instance by a new one.
func processLine(decoder *wire.Decoder, instances map[int]*raventrestle.Policy, line []byte, w *bufio.Writer) error {
	batch, err := decoder.Decode(line)
	if err != nil {
		return err
	}
	var reply wire.Reply
	var order []int
	events := map[int][]raventrestle.Event{}
	for _, it := range batch.Items {
		if _, seen := events[it.Instance]; !seen {
			order = append(order, it.Instance)
			events[it.Instance] = []raventrestle.Event{}
		}
		switch it.Op {
		case wire.Boot:
			delete(instances, it.Instance)
			events[it.Instance] = []raventrestle.Event{}
			p, err := raventrestle.New(it.Settings, it.Seed)
			if err != nil {
				reply.AddError(it.Instance, err)
				continue
			}
			instances[it.Instance] = p
		case wire.Kill:
			delete(instances, it.Instance)
			events[it.Instance] = []raventrestle.Event{}
		case wire.Event:
			events[it.Instance] = append(events[it.Instance], it.Event)
		}
	}
	for _, i := range order {
		if p := instances[i]; p != nil {
			for _, a := range p.Step(batch.Clock, events[i]) {
				reply.Add(i, a)
			}
		}
	}
	if _, err := w.Write(reply.Line()); err != nil {
		return err
	}
	return w.Flush()
}
