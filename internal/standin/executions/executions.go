// Package executions counts how often a simulator ran each request, so that a
// test can detect a request that ran more than once.
package executions

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/labstack/echo/v4"
)

// Path serves a list of Execution, ordered by key, on GET.
const Path = "/executions"

// maxKeys bounds the number of counted keys. Further keys are refused.
const maxKeys = 1 << 20

// Execution is the number of times that a request ran.
type Execution struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// Counter counts executions by request key. The zero value is ready to use.
type Counter struct {
	mu     sync.Mutex
	counts map[string]int
	total  int
}

// Add counts one execution. It returns the previous number of executions of the
// key and of all keys. If there are too many keys, it counts nothing and
// reports false.
func (c *Counter) Add(key string) (keyCount, total int, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	keyCount, known := c.counts[key]
	if !known && len(c.counts) >= maxKeys {
		return 0, c.total, false
	}
	total = c.total
	c.counts[key]++
	c.total++
	return keyCount, total, true
}

// Count returns how often the request with a key ran.
func (c *Counter) Count(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[key]
}

// Register adds the route for Path.
func (c *Counter) Register(e *echo.Echo) { e.GET(Path, c.getExecutions) }

// getExecutions responds with the counts of all keys.
func (c *Counter) getExecutions(ctx echo.Context) error {
	c.mu.Lock()
	list := make([]Execution, 0, len(c.counts))
	for key, count := range c.counts {
		list = append(list, Execution{Key: key, Count: count})
	}
	c.mu.Unlock()
	slices.SortFunc(list, func(a, b Execution) int { return strings.Compare(a.Key, b.Key) })
	return ctx.JSON(http.StatusOK, list)
}
