package client_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"

	"mustarddoor/client"
)

// fakeHost imitates a host that closes the connection in the middle of the first
// response to each request.
func fakeHost() *httptest.Server {
	const stream = "data: {\"token\":1}\n\ndata: {\"token\":2}\n\ndata: [DONE]\n\n"
	var host *httptest.Server
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/entry", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"addresses":[%q],"keep_ms":1000,"session":"host-1@1.host-2@1.1.1"}`, host.Listener.Addr())
	})
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Mustarddoor-Key", r.Header.Get("Idempotency-Key"))
		io.WriteString(w, stream[:25])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	mux.HandleFunc("GET /v1/requests/", func(w http.ResponseWriter, r *http.Request) {
		offset, _ := strconv.Atoi(r.URL.Query().Get("offset"))
		w.Header().Set("Content-Type", "text/event-stream")
		io.WriteString(w, stream[offset:])
	})
	host = httptest.NewServer(mux)
	return host
}

// A connection failure in the middle of a response is not visible to the caller.
func Example() {
	host := fakeHost()
	defer host.Close()
	fleet := client.New(client.Options{Hosts: []string{host.Listener.Addr().String()}, Team: "foremen"})
	response, err := fleet.Do(context.Background(), client.Request{
		Path: "/v1/chat/completions",
		Body: []byte(`{"model":"usta","stream":true}`),
		Part: "order-17",
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Close()
	text, err := io.ReadAll(response)
	fmt.Println(response.Key())
	fmt.Print(string(text), err)
	// Output:
	// host-1@1.host-2@1.1.1/order-17
	// data: {"token":1}
	//
	// data: {"token":2}
	//
	// data: [DONE]
	//
	// <nil>
}

// After a refusal with the outcome "not run" the request is sent under a new key.
func ExampleClient_Do() {
	var sessions atomic.Int64
	var host *httptest.Server
	host = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := r.Header.Get("Idempotency-Key")
		switch {
		case r.URL.Path == "/v1/entry":
			fmt.Fprintf(w, `{"addresses":[%q],"keep_ms":60000,"session":"s%d"}`, host.Listener.Addr(), sessions.Add(1))
		case strings.HasPrefix(key, "s1/"):
			w.WriteHeader(http.StatusServiceUnavailable)
			io.WriteString(w, `{"outcome":"not_run","reason":"stopping","retry_after_ms":1}`)
		default:
			io.WriteString(w, "booked under "+key)
		}
	}))
	defer host.Close()
	fleet := client.New(client.Options{Hosts: []string{host.Listener.Addr().String()}, Team: "foremen"})
	response, err := fleet.Do(context.Background(), client.Request{Path: "/v1/services/bookings/new", Part: "b-1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer response.Close()
	text, _ := io.ReadAll(response)
	fmt.Println(string(text))
	// Output: booked under s2/b-1
}
