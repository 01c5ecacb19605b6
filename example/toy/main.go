// Command toy stands for all that surrounds a courier: two endpoints, one of which fails now
// and then, and a discovery service without news. It prints what reaches it.
package main

import (
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net/http"
	"time"
)

func main() {
	failed := make(chan error)
	for addr, handler := range map[string]http.Handler{
		"127.0.0.1:9001": endpoint("s-east", 0), "127.0.0.1:9002": endpoint("s-west", 0.3), "127.0.0.1:8500": discovery(),
	} {
		go func() { failed <- http.ListenAndServe(addr, handler) }()
	}
	log.Fatal(<-failed)
}

// endpoint delivers messages, but for a share of errors.
func endpoint(name string, errors float64) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
		code := http.StatusOK
		if rand.Float64() < errors {
			code = http.StatusInternalServerError
		}
		fmt.Printf("%s: %d for message %s: %q\n", name, code, r.Header.Get("X-Txn"), body)
		w.WriteHeader(code)
	})
	return mux
}

func discovery() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/servers", func(w http.ResponseWriter, r *http.Request) {
		select { // a watch that never has news
		case <-r.Context().Done():
		case <-time.After(10 * time.Second):
			fmt.Fprint(w, `{"index":1,"snapshot":false,"endpoints":[]}`)
		}
	})
	mux.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		if notices, err := io.ReadAll(r.Body); err == nil {
			fmt.Printf("discovery: %s", notices)
		}
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}
