package journal

import "mustarddoor/internal/request/key"

// maxPages is how many log records are kept decoded.
const maxPages = 16

// page is a decoded log record.
type page struct {
	offset  uint64
	entries map[key.Key]Entry
}

// pageCache keeps the log records that were read last. Requests that were
// caught by one host's death stand close together in the log.
type pageCache struct {
	pages []page
}

func (c *pageCache) get(offset uint64) (map[key.Key]Entry, bool) {
	for _, kept := range c.pages {
		if kept.offset == offset {
			return kept.entries, true
		}
	}
	return nil, false
}

func (c *pageCache) put(offset uint64, entries map[key.Key]Entry) {
	if len(c.pages) >= maxPages {
		c.pages = c.pages[1:]
	}
	c.pages = append(c.pages, page{offset: offset, entries: entries})
}
