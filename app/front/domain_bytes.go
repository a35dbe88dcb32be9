package front

import (
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"

	"github.com/VictoriaMetrics/metrics"
	"github.com/kumquatsill/kumquatsill/app/upstream"
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// byteKind is what bytes between failure domains are sent for.
type byteKind string

const (
	requestBytes  byteKind = "request"
	responseBytes byteKind = "response"
	// fetchBytes are the cached prompt parts that an endpoint is told to fetch.
	fetchBytes byteKind = "fetch"
	// messageBytes are the messages between routers, without IP and UDP headers.
	messageBytes byteKind = "message"
)

// headerLineOverhead is the number of bytes of a header line beside its name and value.
const headerLineOverhead = len(": \r\n")

// domainBytes counts the bytes that this router sends to, or causes between, failure
// domains. It is safe for concurrent use.
type domainBytes struct {
	set *metrics.Set
	own proto.Domain
	// counters maps a domainPair to its *metrics.Counter.
	counters sync.Map
	// peers maps the addresses of routers in other failure domains to these.
	peers sync.Map
}

type domainPair struct {
	kind     byteKind
	from, to proto.Domain
}

// counter returns the counter of a kind of bytes from one failure domain to another.
func (b *domainBytes) counter(kind byteKind, from, to proto.Domain) *metrics.Counter {
	pair := domainPair{kind, from, to}
	if c, ok := b.counters.Load(pair); ok {
		return c.(*metrics.Counter)
	}
	c := b.set.GetOrCreateCounter(fmt.Sprintf(`kumquatsill_domain_bytes_total{kind=%q,from=%q,to=%q}`, kind, from, to))
	b.counters.Store(pair, c)
	return c
}

// setPeer records the address and the failure domain of a router. The argument old is what
// was known of it before, or nil.
func (b *domainBytes) setPeer(old *peerState, addr netip.AddrPort, domain proto.Domain) {
	if old != nil {
		b.removePeer(old)
	}
	if domain != b.own {
		b.peers.Store(addr, domain)
	}
}

// removePeer forgets a router.
func (b *domainBytes) removePeer(p *peerState) { b.peers.Delete(p.addr) }

// sent counts a message to the router at an address.
func (b *domainBytes) sent(addr netip.AddrPort, bytes int) {
	if domain, ok := b.peers.Load(addr); ok {
		b.counter(messageBytes, b.own, domain.(proto.Domain)).Add(bytes)
	}
}

// countRequest counts a request, and the fetch of cached parts that it causes.
func (a *attempt) countRequest(req *upstream.Request) {
	f := a.request.front
	counts, domain := &f.metrics.domainBytes, a.choice.Endpoint.Domain
	if domain != counts.own {
		counts.counter(requestBytes, counts.own, domain).Add(len(req.Target) + headerBytes(req.Header) + len(req.Body))
	}
	if a.choice.FetchedTokens == 0 {
		return
	}
	if from, bytes := f.placer.FetchOrigin(a.choice); bytes > 0 && from != domain {
		counts.counter(fetchBytes, from, domain).AddInt64(bytes)
	}
}

// countResponse counts a response, the body as it is read.
func (a *attempt) countResponse(resp *upstream.Response) {
	counts, domain := &a.request.front.metrics.domainBytes, a.choice.Endpoint.Domain
	if domain == counts.own {
		return
	}
	counter := counts.counter(responseBytes, domain, counts.own)
	counter.Add(headerBytes(resp.Header))
	resp.Body = countingReader{reader: resp.Body, counter: counter}
}

// headerBytes returns the size of a header as sent by HTTP/1.1.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, value := range values {
			n += len(name) + len(value) + headerLineOverhead
		}
	}
	return n
}

// countingReader adds the bytes read to a counter.
type countingReader struct {
	reader  io.Reader
	counter *metrics.Counter
}

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	r.counter.Add(n)
	return n, err
}
