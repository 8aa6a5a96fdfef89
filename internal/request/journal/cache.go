package journal

import "mustarddoor/internal/request/key"

// maxCachedRecords is how many log records are kept decoded.
const maxCachedRecords = 16

// cachedRecord is a decoded log record.
type cachedRecord struct {
	offset  uint64
	entries map[key.Key]Entry
}

// recordCache keeps the log records that were read last. Requests that were
// caught by one host's death stand close together in the log.
type recordCache struct {
	records []cachedRecord
}

func (c *recordCache) get(offset uint64) (map[key.Key]Entry, bool) {
	for _, record := range c.records {
		if record.offset == offset {
			return record.entries, true
		}
	}
	return nil, false
}

func (c *recordCache) put(offset uint64, entries map[key.Key]Entry) {
	if len(c.records) >= maxCachedRecords {
		c.records = c.records[1:]
	}
	c.records = append(c.records, cachedRecord{offset: offset, entries: entries})
}
