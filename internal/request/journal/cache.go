package journal

import "mustarddoor/internal/request/key"

// maxCachedRecords is the maximum number of decoded log records in the cache.
const maxCachedRecords = 16

// cachedRecord is a decoded log record.
type cachedRecord struct {
	offset  uint64
	entries map[key.Key]Entry
}

// recordCache holds the log records that were read last. Requests interrupted by
// the crash of one host are close together in the log, so that lookups of them
// hit the same records.
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
