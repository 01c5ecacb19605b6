package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"time"
)

// callInstance sends an endpoint's call to one control instance; nil if it is acknowledged.
func callInstance(address, method, id string, body []byte, limit time.Duration) error {
	client := http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	request, err := http.NewRequest(method, "http://"+address+"/-/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(request)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	if answer.StatusCode/100 != 2 {
		return fmt.Errorf("status %d", answer.StatusCode)
	}
	return nil
}
