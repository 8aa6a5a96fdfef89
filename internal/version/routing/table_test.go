package routing_test

import (
	"testing"

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
