package routing_test

import (
	"fmt"
	"reflect"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"mustarddoor/internal/version/routing"
)

func TestMatch(t *testing.T) {
	table := routing.NewTable(routing.Config{Version: 3, Routes: []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/x/"},
		{Name: "long", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	}})
	for _, test := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"}, {"A.Example:80", "/x/y/", "long"},
		{"a.example", "/x/y", "short"}, {"b.example", "/x/y/1", "other"}, {"a.example", "/z/", ""}, {"c.example", "/x/", ""},
	} {
		got := ""
		if route := table.Match(test.host, test.path); route != nil {
			got = route.Name
		}
		assert.Equal(t, got, test.want, "%s%s", test.host, test.path)
	}
}

func TestTeams(t *testing.T) {
	table := routing.NewTable(routing.Config{Teams: []routing.Team{{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b"}}})
	assert.Equal(t, table.TeamByKey("k2").Name, "a")
	assert.Assert(t, table.TeamByKey("k3") == nil && table.TeamByKey("") == nil)
	assert.Assert(t, table.HasTeams())
	assert.Equal(t, table.Team("b").Name, "b")
	assert.Assert(t, !routing.NewTable(routing.Config{}).HasTeams())
}

func TestChoose(t *testing.T) {
	route := routing.Route{Shares: []routing.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[string]int{}
	for i := range 1000 {
		count[route.ChooseService(float64(i)/1000)]++
	}
	assert.DeepEqual(t, count, map[string]int{"a": 900, "b": 100})
	assert.Equal(t, (&routing.Route{}).ChooseService(0.5), "")
}

// manyRoutes returns a configuration of some size, of which the last route differs in each
// version.
func manyRoutes(version uint64) routing.Config {
	config := routing.Config{Version: version}
	for number := range 3000 {
		name := fmt.Sprintf("route-%06d", number)
		config.Routes = append(config.Routes, routing.Route{Name: name, Host: "a.example", Prefix: "/" + name + "/", Shares: []routing.Share{{Service: "s", Weight: 1}}})
	}
	config.Routes[2999].Timeout = time.Duration(version)
	return config
}

// Requests in progress held the tables of the versions by which they began, each with all of
// its routes.
func TestTablesOfOlderVersionsShareRoutes(t *testing.T) {
	heapBytes := func() int64 {
		runtime.GC()
		stats := runtime.MemStats{}
		runtime.ReadMemStats(&stats)
		return int64(stats.HeapAlloc)
	}
	before := heapBytes()
	tables := []*routing.Table{routing.NewTable(manyRoutes(1))}
	first := heapBytes() - before
	const versions = 100
	for version := range uint64(versions) {
		tables = append(tables, tables[version].Next(manyRoutes(version+2)))
	}
	further := (heapBytes() - before - first) / versions
	assert.Assert(t, further < first/5, "%d bytes for the first version, %d for each further one", first, further)
	for i, table := range tables {
		assert.Equal(t, table.Match("a.example", "/route-002999/").Timeout, time.Duration(i+1))
	}
}

// A field that two routes are not compared by would stay as it was.
func TestRoutesDifferInEachField(t *testing.T) {
	base := routing.Route{Name: "r", Host: "a.example", Prefix: "/x/"}
	known := routing.NewTable(routing.Config{Routes: []routing.Route{base}})
	changes := map[string]any{
		"Name": "other", "Host": "A.example", "Prefix": "/x", "Kind": routing.KindSafe, "Timeout": time.Second, "TargetLatency": time.Second, "TargetGap": time.Second,
		"Priority": 1, "Shares": []routing.Share{{Service: "s", Weight: 1}}, "MaxAttempts": 1, "Anonymous": true, "Resumable": true,
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[routing.Route]()) {
		changed := base
		reflect.ValueOf(&changed).Elem().FieldByIndex(field.Index).Set(reflect.ValueOf(changes[field.Name]))
		got := known.Next(routing.Config{Routes: []routing.Route{changed}}).Match("a.example", "/x/")
		assert.DeepEqual(t, *got, changed)
	}
}
