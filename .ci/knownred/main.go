// Command knownred reads the output of "go test -json" from its standard input
// and exits with status 1 if a test failed unexpectedly.
//
// A failure is expected only if KNOWN-RED.txt lists the test on a line
// "test: package.TestName". A listed test that passes or does not exist fails
// the run too, so that the list does not become outdated.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"slices"
	"strings"
)

// listName is the file that lists the known failures. Lines that name a test
// start with testPrefix.
const (
	listName   = "KNOWN-RED.txt"
	testPrefix = "test: "
)

// action is the type of an event.
type action string

// The actions that are evaluated. go test reports others too.
const (
	actionPass        action = "pass"
	actionFail        action = "fail"
	actionSkip        action = "skip"
	actionOutput      action = "output"
	actionBuildOutput action = "build-output"
	actionBuildFail   action = "build-fail"
)

// event is one line of the output of "go test -json".
type event struct {
	Action  action
	Package string
	Test    string
	Output  string
}

// testRun is the collected outcome of a run.
type testRun struct {
	// results and output hold the results and the output of tests by
	// package.TestName.
	results map[string]action
	output  map[string][]string
	// packages holds the results of packages by import path.
	packages map[string]action
}

func main() {
	listed, err := readList(listName)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	run, err := readEvents(bufio.NewReaderSize(os.Stdin, 1<<20))
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	if !evaluate(run, listed) {
		os.Exit(1)
	}
}

func readList(name string) (map[string]bool, error) {
	listed := map[string]bool{}
	content, err := os.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return listed, nil
	}
	if err != nil {
		return nil, err
	}
	for _, line := range strings.Split(string(content), "\n") {
		if test, found := strings.CutPrefix(line, testPrefix); found {
			listed[strings.TrimSpace(test)] = true
		}
	}
	return listed, nil
}

func readEvents(in *bufio.Reader) (*testRun, error) {
	run := &testRun{
		results:  map[string]action{},
		output:   map[string][]string{},
		packages: map[string]action{},
	}
	decoder := json.NewDecoder(in)
	for decoder.More() {
		var ev event
		if err := decoder.Decode(&ev); err != nil {
			return nil, fmt.Errorf("decoding the output of go test -json: %w", err)
		}
		run.addEvent(ev)
	}
	return run, nil
}

func (r *testRun) addEvent(ev event) {
	name := ev.Package
	if ev.Test != "" {
		name += "." + ev.Test
	}
	switch ev.Action {
	case actionOutput, actionBuildOutput:
		if ev.Test == "" {
			fmt.Print(ev.Output)
		}
		r.output[name] = append(r.output[name], ev.Output)
	case actionBuildFail:
		r.packages[name] = actionFail
	case actionPass, actionFail, actionSkip:
		if ev.Test == "" {
			r.packages[name] = ev.Action
			return
		}
		r.results[name] = ev.Action
		if ev.Action == actionPass {
			delete(r.output, name)
		}
	}
}

// evaluate prints the failures and reports whether all of them are listed.
func evaluate(run *testRun, listed map[string]bool) bool {
	ok := true
	passed, failed, skipped := 0, 0, 0
	packagesWithFailedTest := map[string]bool{}
	for _, name := range slices.Sorted(maps.Keys(run.results)) {
		switch run.results[name] {
		case actionPass:
			passed++
		case actionSkip:
			skipped++
		case actionFail:
			failed++
			packagesWithFailedTest[packageOf(name)] = true
			if !isListed(name, listed) {
				ok = false
			}
			fmt.Print(strings.Join(run.output[name], ""))
		}
	}
	for _, name := range slices.Sorted(maps.Keys(run.packages)) {
		if run.packages[name] == actionFail && !packagesWithFailedTest[name] {
			fmt.Printf("package %s failed outside its tests\n", name)
			ok = false
		}
	}
	for _, name := range slices.Sorted(maps.Keys(listed)) {
		result := run.results[name]
		fmt.Printf("known red: %s: %s\n", name, result)
		if result != actionFail {
			fmt.Printf("%s lists %s, which did not fail in this run\n", listName, name)
			ok = false
		}
	}
	if passed == 0 {
		fmt.Println("no tests passed")
		ok = false
	}
	fmt.Printf("tests: %d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return ok
}

// isListed reports whether a failed test, one of its subtests, or a test of which
// it is a subtest is listed.
func isListed(name string, listed map[string]bool) bool {
	for entry := range listed {
		if name == entry || strings.HasPrefix(name, entry+"/") || strings.HasPrefix(entry, name+"/") {
			return true
		}
	}
	return false
}

// packageOf returns the package part of package.TestName. Import paths may
// contain dots, so it searches for the start of the test name.
func packageOf(name string) string {
	end := len(name)
	for _, prefix := range []string{".Test", ".Fuzz", ".Example"} {
		if at := strings.Index(name, prefix); at >= 0 {
			end = min(end, at)
		}
	}
	return name[:end]
}
