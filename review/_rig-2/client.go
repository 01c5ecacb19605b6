package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// connection is a client's connection to a router.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReaderSize(c, 64<<10)}, nil
}

// outcome is what a client got.
type outcome struct {
	status int
	body   string
	closes bool
	err    error
}

// ask sends one request and reads its answer.
func (c *connection) ask(head string, body string, limit time.Duration) outcome {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)); err != nil {
		return outcome{err: err}
	}
	return c.read()
}

func (c *connection) read() outcome {
	answer, err := http.ReadResponse(c.reader, &http.Request{Method: "POST"})
	if err != nil {
		return outcome{err: err}
	}
	text, err := io.ReadAll(answer.Body)
	return outcome{status: answer.StatusCode, body: string(text), closes: answer.Close, err: err}
}

// head returns the request line and headers of a request, without its length.
func head(path, id string, deadlineMS int, more ...string) string {
	lines := []string{
		"POST " + path + " HTTP/1.1", "Host: site.example", "X-Request-Id: " + id, fmt.Sprintf("X-Deadline-Ms: %d", deadlineMS),
		"Api-Key: key-of-tenant-1",
	}
	return strings.Join(append(lines, more...), "\r\n") + "\r\n"
}

func (o outcome) String() string {
	if o.err != nil {
		return fmt.Sprintf("status %d, error %v", o.status, o.err)
	}
	return fmt.Sprintf("status %d, %d bytes", o.status, len(o.body))
}
