package client

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Entry lists the hosts to use.
type Entry struct {
	// Addresses are IP:port, in order of preference.
	Addresses []string `json:"addresses"`
	// TTLMillis is how long the entry may be cached.
	TTLMillis int64 `json:"keep_ms"`
	// Session is the first part of request keys.
	Session string `json:"session"`
}

// entryCache caches an entry for its TTL.
type entryCache struct {
	mu        sync.Mutex
	entry     Entry
	expiresAt time.Time
}

func (c *entryCache) get() (Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entry, time.Now().Before(c.expiresAt)
}

func (c *entryCache) put(entry Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry = entry
	c.expiresAt = time.Now().Add(time.Duration(entry.TTLMillis) * time.Millisecond)
}

func (c *entryCache) invalidate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = time.Time{}
}

// Entry returns the cached entry or requests one from the known hosts. It fails
// with ErrNoHost.
func (c *Client) Entry(ctx context.Context) (Entry, error) {
	return c.findEntry(ctx, nil)
}

// findEntry returns the cached entry or requests one: first from the preferred
// hosts, then from those of the expired entry and of the options.
func (c *Client) findEntry(ctx context.Context, preferred []string) (Entry, error) {
	if cached, ok := c.entries.get(); ok {
		return cached, nil
	}
	expired, _ := c.entries.get()
	hosts := append(append([]string{}, preferred...), expired.Addresses...)
	hosts = append(hosts, c.options.Hosts...)
	var lastErr error
	for _, host := range hosts {
		entry, err := c.fetchEntry(ctx, host)
		if err == nil {
			c.entries.put(entry)
			return entry, nil
		}
		lastErr = err
	}
	return Entry{}, eris.Wrapf(ErrNoHost, "%v", lastErr)
}

// entryTimeout limits the time for an entry request to one host.
const entryTimeout = 2 * time.Second

func (c *Client) fetchEntry(ctx context.Context, host string) (Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+pathEntry, nil)
	if err != nil {
		return Entry{}, err
	}
	resp, err := c.options.HTTP.Do(req)
	if err != nil {
		return Entry{}, err
	}
	defer resp.Body.Close()
	if refusal := parseRefusal(resp); refusal != nil {
		return Entry{}, refusal
	}
	var entry Entry
	if err := json.NewDecoder(resp.Body).Decode(&entry); err != nil {
		return Entry{}, err
	}
	if len(entry.Addresses) == 0 || entry.Session == "" {
		return Entry{}, eris.New("entry has no addresses or no session")
	}
	return entry, nil
}
