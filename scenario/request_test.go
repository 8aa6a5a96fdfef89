package scenario

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"mustarddoor/internal/connection/caller"
	"mustarddoor/internal/request/key"
	"mustarddoor/internal/standin/executions"
	"mustarddoor/internal/version/bundle"
)

// cmdSession implements "session VAR ADDRESS": it requests an entry from a host
// and sets VAR to the session, VAR_OWNER and VAR_WITNESS to the owner and the
// witness in the session, VAR_THIRD to the remaining host, and
// VAR_WITNESS_ADDRESS, VAR_WITNESS_MESH, VAR_WITNESS_ADMIN and
// VAR_THIRD_ADDRESS to their caller, mesh and admin addresses.
func cmdSession(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: session VAR ADDRESS")
	}
	resp, err := http.Get("http://" + args[1] + caller.PathEntry)
	ts.Check(err)
	defer resp.Body.Close()
	var entry caller.Entry
	ts.Check(json.NewDecoder(resp.Body).Decode(&entry))
	session, err := key.ParseSession(entry.Session)
	ts.Check(err)
	ts.Setenv(args[0], entry.Session)
	ts.Setenv(args[0]+"_OWNER", session.Owner.Host)
	ts.Setenv(args[0]+"_WITNESS", session.Witness.Host)
	for i := 1; i <= hostCount; i++ {
		name := hostName(i)
		if name == session.Witness.Host {
			ts.Setenv(args[0]+"_WITNESS_ADDRESS", hostAddress(ts, i, callerPort))
			ts.Setenv(args[0]+"_WITNESS_MESH", hostAddress(ts, i, meshPort))
			ts.Setenv(args[0]+"_WITNESS_ADMIN", hostAddress(ts, i, adminPort))
		}
		if name != session.Owner.Host && name != session.Witness.Host {
			ts.Setenv(args[0]+"_THIRD", name)
			ts.Setenv(args[0]+"_THIRD_ADDRESS", hostAddress(ts, i, callerPort))
		}
	}
}

// cmdRan implements "ran COUNT KEY": it fails unless the endpoints of the
// standard fleet ran the request COUNT times in total.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: ran COUNT KEY")
	}
	if got := strconv.Itoa(executionCounts(ts)[args[1]]); got != args[0] {
		ts.Fatalf("request %s ran %s times, want %s", args[1], got, args[0])
	}
}

// cmdStarted implements "started KEY": it waits until an endpoint has started
// the request.
func cmdStarted(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 1 {
		ts.Fatalf("usage: started KEY")
	}
	waitFor(ts, "the start of "+args[0], func() bool { return executionCounts(ts)[args[0]] > 0 })
}

// bundleEndpoints returns the endpoints in the script's bundle.
func bundleEndpoints(ts *testscript.TestScript) []bundle.Endpoint {
	var b bundle.Bundle
	ts.Check(json.Unmarshal([]byte(ts.ReadFile("bundle.json")), &b))
	return b.Endpoints
}

// executionCounts returns the number of executions at all endpoints by request
// key.
func executionCounts(ts *testscript.TestScript) map[string]int {
	counts := map[string]int{}
	for _, endpoint := range bundleEndpoints(ts) {
		resp, err := http.Get("http://" + endpoint.Address + executions.Path)
		ts.Check(err)
		var list []executions.Execution
		err = json.NewDecoder(resp.Body).Decode(&list)
		resp.Body.Close()
		ts.Check(err)
		for _, execution := range list {
			counts[strings.TrimSpace(execution.Key)] += execution.Count
		}
	}
	return counts
}
