package scenario

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// The standard fleet, which demo/run starts as well.
const (
	demoDir   = "../demo"
	hostCount = 3
)

var hostDomains = []string{"guadalupe-a", "ensenada-b", "tecate-c"}

// cmdFleet implements "fleet [new|start]". It writes the settings and the
// bundle of the standard fleet. Unless the argument is "new", it also starts
// the processes log, hosts, voz-1, voz-2, cuadrilla-1, host-1, host-2 and
// host-3, and rolls out the bundle.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	writeFleetFiles(ts)
	if len(args) == 1 && args[0] == "new" {
		return
	}
	startStandins(ts)
	specs := []processSpec{}
	for i := 1; i <= hostCount; i++ {
		name := hostName(i)
		specs = append(specs, processSpec{name, "mustarddoord", []string{"--settings", name + ".json"}})
	}
	startProcesses(ts, specs)
	runOperatorCommand(ts, "publish", "alma", "bundle.json")
	runOperatorCommand(ts, "approve", "berta", "first")
	runOperatorCommand(ts, "roll", "alma", "first")
	for i := 1; i <= hostCount; i++ {
		cmdEventually(ts, false, []string{`host +host-\S+ +ready`, "mustarddoor", "status", "--admin", hostAddress(ts, i, adminPort)})
	}
}

// Ports of a host, as in the demo's settings.
const (
	callerPort = 7000
	meshPort   = 7001
	adminPort  = 7002
)

func hostName(index int) string { return "host-" + strconv.Itoa(index) }

func hostAddress(ts *testscript.TestScript, index, port int) string {
	return fmt.Sprintf("%s.%d:%d", ts.Getenv("NET"), index, port)
}

// startStandins starts the stand-ins for the platform, the engines and the
// plain service, at the addresses in the bundle and settings of the demo.
func startStandins(ts *testscript.TestScript) {
	network := ts.Getenv("NET")
	startProcesses(ts, []processSpec{
		{"log", "standin", []string{"log", "--listen", network + ".11:8000"}},
		{"hosts", "standin", []string{"hosts", "--listen", network + ".12:8000"}},
		{"voz-1", "standin", []string{"engine", "--listen", network + ".21:8000", "--version", "v1"}},
		{"voz-2", "standin", []string{"engine", "--listen", network + ".22:8000", "--version", "v1"}},
		{"cuadrilla-1", "standin", []string{"plain", "--listen", network + ".31:8000", "--lookup"}},
	})
}

// runOperatorCommand runs an operator's subcommand against the first host.
func runOperatorCommand(ts *testscript.TestScript, subcommand, operator, target string) {
	admin := hostAddress(ts, 1, adminPort)
	ts.Check(ts.Exec("mustarddoor", subcommand, "--admin", admin, "--as", operator, "--key-file", operator+".key", target))
}

// writeFleetFiles generates the operators' keys and writes bundle.json and
// host-N.json from the templates of the demo.
func writeFleetFiles(ts *testscript.TestScript) {
	keys := []string{}
	for _, operator := range []string{"alma", "berta"} {
		ts.Check(ts.Exec("mustarddoor", "keygen", "--key-file", operator+".key", "--public-file", operator+".pub"))
		keys = append(keys, strings.TrimSpace(ts.ReadFile(operator+".pub")))
	}
	network := ts.Getenv("NET")
	fillTemplate(ts, "bundle.json", "bundle.json", strings.NewReplacer("NET", network))
	for i := 1; i <= hostCount; i++ {
		index := strconv.Itoa(i)
		replacer := strings.NewReplacer("NET", network, "INDEX", index, "DOMAIN", hostDomains[i-1],
			"ALMA", keys[0], "BERTA", keys[1])
		fillTemplate(ts, "host.json", "host-"+index+".json", replacer)
	}
}

// fillTemplate writes a template of the demo with its placeholders replaced. If
// the script has a file of the template's name, that file is the template.
func fillTemplate(ts *testscript.TestScript, template, target string, replacer *strings.Replacer) {
	content, err := os.ReadFile(ts.MkAbs(template))
	if os.IsNotExist(err) {
		content, err = os.ReadFile(filepath.Join(demoDir, template))
	}
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(target), []byte(replacer.Replace(string(content))), 0o600))
}

// cmdFetch implements "fetch METHOD URL FILE [BODY]": it sends an HTTP request
// and writes the response body to FILE. It fails on an error status.
func cmdFetch(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 3 {
		ts.Fatalf("usage: fetch METHOD URL FILE [BODY]")
	}
	req, err := http.NewRequest(args[0], args[1], strings.NewReader(strings.Join(args[3:], " ")))
	ts.Check(err)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	ts.Check(err)
	if resp.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("%s %s: %d: %s", args[0], args[1], resp.StatusCode, body)
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), body, 0o600))
}
