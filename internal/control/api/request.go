package api

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Bounds of bodies, in bytes.
const (
	maxHeartbeatBytes     = 256 << 10
	maxConfigurationBytes = 4<<20 + 256<<10
)

// readHeartbeatBody reads the body of an endpoint's request.
func readHeartbeatBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxHeartbeatBytes))
	if err != nil {
		return nil, bodyError(err, "heartbeat", maxHeartbeatBytes)
	}
	return body, nil
}

// readConfigurationBody reads the body of a change into one buffer of the announced size, where there is one. A body
// that is announced as too large is not read.
func readConfigurationBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	const content = "configuration"
	if r.ContentLength > maxConfigurationBytes {
		return nil, &BodyTooLargeError{Content: content, Max: maxConfigurationBytes}
	}
	body, err := readAnnounced(http.MaxBytesReader(w, r.Body, maxConfigurationBytes), r.ContentLength)
	if err != nil {
		return nil, bodyError(err, content, maxConfigurationBytes)
	}
	return body, nil
}

// readAnnounced reads a body of the announced length; below 0 the length is unknown.
func readAnnounced(from io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(from, body)
	return body, err
}

// bodyError says why a body could not be read: BodyTooLargeError or ErrBodyIncomplete.
func bodyError(err error, content string, limit int64) error {
	var overflow *http.MaxBytesError
	if errors.As(err, &overflow) {
		return &BodyTooLargeError{Content: content, Max: limit}
	}
	return fmt.Errorf("%w: %w", ErrBodyIncomplete, err)
}

// baseVersion reads If-Match: the version that a change builds on, plain or as an entity tag.
func baseVersion(header http.Header) (int64, error) {
	value := strings.TrimSpace(header.Get("If-Match"))
	if value == "" {
		return 0, &IfMatchError{}
	}
	value = strings.TrimPrefix(value, "W/")
	base, err := strconv.ParseInt(strings.Trim(value, `"`), 10, 64)
	if err != nil || base < 0 {
		return 0, &IfMatchError{Value: value}
	}
	return base, nil
}

// validAddress returns whether text is host:port.
func validAddress(text string) bool {
	name, port, err := net.SplitHostPort(text)
	if err != nil || name == "" {
		return false
	}
	_, err = strconv.ParseUint(port, 10, 16)
	return err == nil
}
