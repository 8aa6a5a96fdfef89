// Command knownred reads the output of "go test -json" and gives the verdict.
//
// A failing test passes over only if KNOWN-RED.txt lists it on a line
// "test: package.TestName". A listed test that passes, or does not exist, fails
// the run, so that the list cannot grow stale.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"sort"
	"strings"
)

const listName = "KNOWN-RED.txt"

const testPrefix = "test: "

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// report collects what the run said.
type report struct {
	results  map[string]string
	output   map[string][]string
	packages map[string]string
}

func main() {
	listed, err := readList(listName)
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	rep, err := readEvents(bufio.NewReaderSize(os.Stdin, 1<<20))
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	if !judge(rep, listed) {
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

func readEvents(in *bufio.Reader) (*report, error) {
	rep := &report{
		results:  map[string]string{},
		output:   map[string][]string{},
		packages: map[string]string{},
	}
	decoder := json.NewDecoder(in)
	for decoder.More() {
		var ev event
		if err := decoder.Decode(&ev); err != nil {
			return nil, fmt.Errorf("reading go test -json: %w", err)
		}
		rep.add(ev)
	}
	return rep, nil
}

func (r *report) add(ev event) {
	name := ev.Package
	if ev.Test != "" {
		name += "." + ev.Test
	}
	switch ev.Action {
	case "output", "build-output":
		if ev.Test == "" {
			fmt.Print(ev.Output)
		}
		r.output[name] = append(r.output[name], ev.Output)
	case "build-fail":
		r.packages[name] = "fail"
	case "pass", "fail", "skip":
		if ev.Test == "" {
			r.packages[name] = ev.Action
			return
		}
		r.results[name] = ev.Action
		if ev.Action == "pass" {
			delete(r.output, name)
		}
	}
}

// judge prints the failures and reports whether all of them are listed.
func judge(rep *report, listed map[string]bool) bool {
	green := true
	passed, failed, skipped := 0, 0, 0
	explained := map[string]bool{}
	for _, name := range sortedKeys(rep.results) {
		switch rep.results[name] {
		case "pass":
			passed++
		case "skip":
			skipped++
		case "fail":
			failed++
			explained[packageOf(name)] = true
			if !isListed(name, listed) {
				green = false
			}
			fmt.Print(strings.Join(rep.output[name], ""))
		}
	}
	for _, name := range sortedKeys(rep.packages) {
		if rep.packages[name] == "fail" && !explained[name] {
			fmt.Printf("%s failed outside its tests\n", name)
			green = false
		}
	}
	for name := range listed {
		result := rep.results[name]
		fmt.Printf("known red: %s: %s\n", name, result)
		if result != "fail" {
			fmt.Printf("%s lists %s, which does not fail here\n", listName, name)
			green = false
		}
	}
	if passed == 0 {
		fmt.Println("no test ran")
		green = false
	}
	fmt.Printf("tests: %d passed, %d failed, %d skipped\n", passed, failed, skipped)
	return green
}

// isListed reports whether a failing test, or the test that it is a part of or
// whose part it is, is listed.
func isListed(name string, listed map[string]bool) bool {
	for entry := range listed {
		if name == entry || strings.HasPrefix(name, entry+"/") || strings.HasPrefix(entry, name+"/") {
			return true
		}
	}
	return false
}

// packageOf gives the package of package.Test; import paths may hold dots,
// test names hold none.
func packageOf(name string) string {
	slash := strings.Index(name, ".Test")
	if other := strings.Index(name, ".Fuzz"); slash < 0 || other >= 0 && other < slash {
		slash = other
	}
	if other := strings.Index(name, ".Example"); slash < 0 || other >= 0 && other < slash {
		slash = other
	}
	if slash < 0 {
		return name
	}
	return name[:slash]
}

func sortedKeys(m map[string]string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
