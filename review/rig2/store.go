package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// topic is one partition of the platform's log.
type topic struct {
	records [][]byte
	// newest maps each key of a keyed topic to the index of its newest record.
	newest map[string]int
}

// logStore is a stand-in for the platform's metadata store: the calls of PROTOCOL.md that
// the router makes. It loses nothing and its answers are linearizable.
type logStore struct {
	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// delay is how long after a call was done its answer is sent, in nanoseconds.
	delay atomic.Int64
	addr  string
}

const storeDelay = 4 * time.Millisecond

func newStore() *logStore {
	s := &logStore{topics: map[string]*topic{}, changed: make(chan struct{})}
	s.delay.Store(int64(storeDelay))
	ln := listen("127.0.0.1")
	s.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	return s
}

func listen(ip string) net.Listener {
	ln, err := net.Listen("tcp4", net.JoinHostPort(ip, "0"))
	must(err)
	return ln
}

func (s *logStore) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int{}}
		s.topics[name] = t
	}
	return t
}

func (s *logStore) append(name string, records [][]byte) (offset, end int) {
	t := s.topic(name)
	offset = len(t.records)
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 && len(r) >= 1+int(r[0]) {
			t.newest[string(r[1:1+int(r[0])])] = len(t.records)
		}
		t.records = append(t.records, r)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return offset, len(t.records)
}

// put writes the record of a key, as the operator and the engines do.
func (s *logStore) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func (s *logStore) putJSON(name, key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.put(name, key, data)
}

func (s *logStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	name := q.Get("topic")
	switch r.URL.Path {
	case "/kumquatsill/log-newest":
		s.newest(w, name, q.Get("after"))
	case "/kumquatsill/log-read":
		s.read(w, r, name)
	case "/kumquatsill/log-append":
		s.serveAppend(w, r, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *logStore) pause() { time.Sleep(time.Duration(s.delay.Load())) }

func (s *logStore) newest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	const maxItems, maxBytes = 500, 1 << 20
	s.mu.Lock()
	t := s.topic(name)
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		value := t.records[t.newest[key]][1+len(key):]
		if len(value) == 0 {
			continue
		}
		if len(items) == maxItems || len(items) > 0 && size+len(value) > maxBytes {
			more = true
			break
		}
		size += len(value)
		items = append(items, item{key, base64.StdEncoding.EncodeToString(value), t.newest[key]})
	}
	end := len(t.records)
	s.mu.Unlock()
	s.pause()
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": end})
}

func (s *logStore) read(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit, err := strconv.Atoi(q.Get("maximumKilobytes"))
	if err != nil {
		limit = 1024
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, changed := s.topic(name), s.changed
		if from < len(t.records) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for i := from; i < len(t.records) && (i == from || len(out)+len(t.records[i]) <= limit<<10); i++ {
				out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
				out = append(out, t.records[i]...)
			}
			s.mu.Unlock()
			s.pause()
			_, _ = w.Write(out)
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

func (s *logStore) serveAppend(w http.ResponseWriter, r *http.Request, name string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records, body = append(records, body[4:4+n]), body[4+n:]
	}
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.Itoa(len(s.topic(name).records)) {
		end := len(s.topic(name).records)
		s.mu.Unlock()
		s.pause()
		answerJSON(w, http.StatusPreconditionFailed, map[string]any{"end": end})
		return
	}
	offset, end := s.append(name, records)
	s.mu.Unlock()
	s.pause()
	answerJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": end})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
