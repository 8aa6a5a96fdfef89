package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"mustarddoor/client"
	"mustarddoor/internal/connection/caller"
)

// requestCallers is the number of concurrent callers of cmdRequests.
const requestCallers = 8

// cmdRequests implements "requests COUNT FILE ADDRESS...": it sends COUNT short
// chat requests and writes the number of failed ones to FILE.
func cmdRequests(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: requests COUNT FILE ADDRESS...")
	}
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	var sent, failed atomic.Int64
	var callers sync.WaitGroup
	for range requestCallers {
		fleetClient := client.New(client.Options{Hosts: args[2:], Team: "foremen"})
		callers.Go(func() {
			for sent.Add(1) <= int64(count) {
				if !sendChatRequest(fleetClient) {
					failed.Add(1)
				}
			}
		})
	}
	callers.Wait()
	ts.Logf("%d of %d requests failed", failed.Load(), count)
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), fmt.Appendln(nil, failed.Load()), 0o600))
}

// sendChatRequest sends one request and reports whether it succeeded.
func sendChatRequest(fleetClient *client.Client) bool {
	body := `{"model":"voz-modelo","stream":true,"max_tokens":4,"messages":[{"role":"user","content":"frost"}]}`
	response, err := fleetClient.Do(context.Background(), client.Request{
		Path:  caller.PathChat,
		Route: "frost-check",
		Body:  []byte(body),
	})
	if err != nil {
		return false
	}
	defer response.Close()
	_, err = io.Copy(io.Discard, response)
	return err == nil && response.Status == http.StatusOK
}
