package main

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's log store. It serves the three calls that a
// router needs: log-append, log-read and log-newest, each for the only partition of a
// topic. It keeps all records.
type Store struct {
	mu      sync.Mutex
	topics  map[string][][]byte
	changed chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string][][]byte{}, changed: make(chan struct{})}
}

// Put appends a record for a key to a keyed topic, as the operator and engines do. A nil
// value drops the key.
func (s *Store) Put(topic, key string, value any) {
	content := append([]byte{byte(len(key))}, key...)
	if value != nil {
		data, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		content = append(content, data...)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topic, [][]byte{content})
}

// append appends records and wakes the waiting reads; mu must be held.
func (s *Store) append(topic string, records [][]byte) {
	s.topics[topic] = append(s.topics[topic], records...)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.Method + " " + r.URL.Path {
	case "POST /kumquatsill/log-append":
		s.serveAppend(w, r, q.Get("topic"), q.Get("at"))
	case "GET /kumquatsill/log-read":
		from, _ := strconv.Atoi(q.Get("from"))
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveRead(w, r, q.Get("topic"), from, time.Duration(min(wait, 30_000))*time.Millisecond)
	case "GET /kumquatsill/log-newest":
		s.serveNewest(w, q.Get("topic"), q.Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request, topic, at string) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 || int(binary.BigEndian.Uint32(body)) > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		n := 4 + int(binary.BigEndian.Uint32(body))
		records = append(records, bytes.Clone(body[4:n]))
		body = body[n:]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.topics[topic])
	if at != "" && at != strconv.Itoa(offset) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end": offset})
		return
	}
	s.append(topic, records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end": len(s.topics[topic])})
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request, topic string, from int, wait time.Duration) {
	timeout := time.After(wait)
	for timedOut := wait == 0; ; {
		s.mu.Lock()
		records, changed := s.topics[topic], s.changed
		s.mu.Unlock()
		if from < len(records) || timedOut {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, topic, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	records := s.topics[topic]
	s.mu.Unlock()
	newest := map[string]item{}
	for offset, record := range records {
		key, value := string(record[1:1+record[0]]), record[1+record[0]:]
		if len(value) == 0 {
			delete(newest, key)
			continue
		}
		newest[key] = item{key, base64.StdEncoding.EncodeToString(value), offset}
	}
	items := []item{}
	for _, i := range newest {
		if i.Key > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	const pageSize = 500
	writeJSON(w, http.StatusOK, map[string]any{
		"items": items[:min(len(items), pageSize)], "hasMore": len(items) > pageSize, "end": len(records),
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
