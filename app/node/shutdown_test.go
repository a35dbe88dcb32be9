package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Guards against a shutdown that times out because a client opened a connection in
// advance: an HTTP server waits 5 s for the first request of a connection.
func TestShutdownOutlastsUnusedConnections(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	opened := make(chan struct{})
	var once sync.Once
	server := &http.Server{
		Handler:   http.NotFoundHandler(),
		ConnState: func(net.Conn, http.ConnState) { once.Do(func() { close(opened) }) },
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	<-opened
	ctx, cancel := context.WithTimeout(context.Background(), internalShutdownTimeout)
	defer cancel()
	if err := shutdown(ctx, server); err != nil {
		t.Error(err)
	}
	if err := ignoreServerClosed(<-served); err != nil {
		t.Error(err)
	}
}
