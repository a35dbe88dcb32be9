// Package hosting simulates the hosting platform in tests: its log store, its
// engines and plain services. It implements the part of the platform's published
// interface that package platform uses.
package hosting

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxWait limits how long a read may wait for a record.
	maxWait = 30 * time.Second
	// headerStoreEra names, in each response, the number of restores plus one.
	headerStoreEra = "Store-Era"
)

// LogStore is an in-memory log store with one partition per topic. It is safe
// for concurrent use.
type LogStore struct {
	mu     sync.Mutex
	topics map[string]*topic
	// changed is closed and replaced at each append.
	changed chan struct{}
	down    bool
	// losesWakeups is set if waiting reads do not notice new records.
	losesWakeups bool
	writes       int
	// era is the value of headerStoreEra.
	era int64
}

type topic struct {
	// first is the offset of the first retained record.
	first   int64
	records [][]byte
	// newest holds the offset of the newest record of each key.
	newest map[string]int64
}

// NewLogStore returns an empty store.
func NewLogStore() *LogStore {
	return &LogStore{topics: map[string]*topic{}, changed: make(chan struct{}), era: 1}
}

// Backup is a copy of the contents of a LogStore. It is immutable.
type Backup struct{ topics map[string]*topic }

// Backup returns a copy of the contents.
func (s *LogStore) Backup() *Backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Backup{topics: cloneTopics(s.topics)}
}

// Restore replaces the contents by an earlier copy and begins a new era. Offsets that
// were assigned after the copy was taken are assigned again.
func (s *LogStore) Restore(b *Backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topics = cloneTopics(b.topics)
	s.era++
	s.wakeReaders()
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clone := make(map[string]*topic, len(topics))
	for name, t := range topics {
		clone[name] = &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest)}
	}
	return clone
}

// wakeReaders makes waiting reads check for records. mu must be held.
func (s *LogStore) wakeReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetDown makes the store respond to every call with status 503, or serve calls
// again.
func (s *LogStore) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetLosesWakeups makes waiting reads return only at the end of their time, as a read
// does that reaches the store just as a record is appended.
func (s *LogStore) SetLosesWakeups(loses bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losesWakeups = loses
}

// AppendCalls returns the number of append calls so far.
func (s *LogStore) AppendCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

// PutKey appends a record for a key, as the operator and the endpoints do. A nil
// value removes the key.
func (s *LogStore) PutKey(name, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic("value cannot be encoded as JSON: " + err.Error())
		}
		content = append(content, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, [][]byte{content})
}

// PutBytes appends a record for a key whose value may be any bytes, as another writer
// does.
func (s *LogStore) PutBytes(name, key string, value []byte) {
	content := append([]byte{byte(len(key))}, key...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, [][]byte{append(content, value...)})
}

// PutContent appends a record without regard to the format of keyed records.
func (s *LogStore) PutContent(name string, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, [][]byte{content})
}

// Keys returns the keys of a topic that have a value.
func (s *LogStore) Keys(name string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	var keys []string
	for key, offset := range t.newest {
		if offset >= t.first && len(t.records[offset-t.first]) > 1+len(key) {
			keys = append(keys, key)
		}
	}
	return keys
}

// Value returns the newest value of a key, or nil if it has none.
func (s *LogStore) Value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset, ok := t.newest[key]
	if !ok || offset < t.first {
		return nil
	}
	return slices.Clone(t.records[offset-t.first][1+len(key):])
}

// Truncate deletes all records of a topic, including the newest of each key.
func (s *LogStore) Truncate(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// topic returns a topic and creates it on first use. mu must be held.
func (s *LogStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// append appends records and wakes the waiting readers. mu must be held.
func (s *LogStore) append(name string, records [][]byte) {
	t := s.topic(name)
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 && len(r) > int(r[0]) {
			t.newest[string(r[1:1+r[0]])] = t.end()
		}
		t.records = append(t.records, r)
	}
	s.wakeReaders()
}

// ServeHTTP implements http.Handler.
func (s *LogStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.writeEra(w)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/kumquatsill/log-newest":
		s.serveNewest(w, name, r.URL.Query().Get("after"))
	case "/kumquatsill/log-read":
		s.serveRead(w, r, name)
	case "/kumquatsill/log-append":
		s.serveAppend(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// writeEra sets the header that names the era. mu must be held.
func (s *LogStore) writeEra(w http.ResponseWriter) {
	w.Header().Set(headerStoreEra, strconv.FormatInt(s.era, 10))
}

const pageSize = 500

func (s *LogStore) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	items := []item{}
	for key, offset := range t.newest {
		if key <= after || offset < t.first {
			continue
		}
		value := t.records[offset-t.first][1+len(key):]
		if len(value) > 0 {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(value), offset})
		}
	}
	end := t.end()
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": more, "end": end})
}

func (s *LogStore) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs")) // absent means no wait
	timeout := time.After(min(time.Duration(wait)*time.Millisecond, maxWait))
	for {
		s.mu.Lock()
		t := s.topic(name)
		changed := s.changed
		if s.losesWakeups {
			changed = nil
		}
		s.writeEra(w) // it may have changed while the read waited
		if from < t.first || from > t.end() {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if from < t.end() || wait == 0 {
			data := t.encode(from)
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (t *topic) encode(from int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for i := from; i < t.end(); i++ {
		record := t.records[i-t.first]
		out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
		out = append(out, record...)
	}
	return out
}

func (s *LogStore) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, err := splitRecords(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	t := s.topic(name)
	offset := t.end()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(offset, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	s.append(name, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": t.end()})
}

func splitRecords(body []byte) ([][]byte, error) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			return nil, fmt.Errorf("a record is cut short")
		}
		n := int(binary.BigEndian.Uint32(body))
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // fails only if the client has disconnected
}
