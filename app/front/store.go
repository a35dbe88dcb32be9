package front

import (
	"net/http"
	"time"

	"github.com/kumquatsill/kumquatsill/app/httpconn"
)

const (
	// maxIdleStoreConns is the number of connections to the store that are kept while they
	// carry no call, storeIdleTimeout how long they are.
	maxIdleStoreConns = 4
	storeIdleTimeout  = 10 * time.Second
)

// newStoreTransport returns the transport of the calls to the platform's store.
func newStoreTransport() http.RoundTripper {
	return httpconn.NewTransport(&http.Transport{
		MaxIdleConnsPerHost: maxIdleStoreConns, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
	})
}
