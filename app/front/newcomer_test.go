package front_test

import (
	"net"
	"testing"
	"time"

	"github.com/kumquatsill/kumquatsill/app/front"
	"github.com/kumquatsill/kumquatsill/core/peer"
	"github.com/kumquatsill/kumquatsill/core/proto"
	"github.com/kumquatsill/kumquatsill/core/quota"
)

// Guards against a router that has just started and cannot read the list of routers, which
// nobody tells what crashes endpoints although its peers know its address (soak seed 53010).
func TestNewcomerIsGreetedWithoutTheStore(t *testing.T) {
	peerAddr, conn := startedRouterAndPeer(t)
	r2 := quota.Counts{Router: "r2", Incarnation: 1}
	sendFrom(t, conn, peerAddr, peer.Message{Counts: r2})
	awaitMessage(t, conn, "a greeting", func(m peer.Message) bool {
		return m.Addr == peerAddr && m.Domain == "zone-a" && m.Counts.HasHeardMembers
	})
	sendToRouter(t, peerAddr, peer.Message{Counts: quota.Counts{Router: "r3"}, Addr: "127.0.0.1:9", Domain: "zone-b"})
	r2.Incarnation++
	sendFrom(t, conn, peerAddr, peer.Message{Counts: r2, Addr: conn.LocalAddr().String(), Domain: "zone-a"})
	awaitMessage(t, conn, "the routers that r1 knows", func(m peer.Message) bool {
		return len(m.Routers) == 1 && m.Routers[0] == peer.Member{Router: "r3", Addr: "127.0.0.1:9", Domain: "zone-b"}
	})
}

// Guards against a router that does not learn of the others from one that introduces them.
func TestIntroducedRoutersAreToldMessages(t *testing.T) {
	peerAddr, conn := startedRouterAndPeer(t)
	sendToRouter(t, peerAddr, peer.Message{Counts: quota.Counts{Router: "r2"}, Routers: []peer.Member{
		{Router: "r3", Addr: conn.LocalAddr().String(), Domain: "zone-a"}, {Router: "r4", Addr: "no address"}, {},
	}})
	awaitMessage(t, conn, "a message to r3", func(m peer.Message) bool { return m.Counts.Router == proto.RouterID("r1") })
}

// startedRouterAndPeer returns the address of a router r1 and the socket of a peer.
func startedRouterAndPeer(t *testing.T) (peerAddr string, conn *net.UDPConn) {
	t.Helper()
	newTestbed(t).startWith("r1", func(c *front.Config) { peerAddr = c.Settings.PeerAddr })
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return peerAddr, conn
}

func sendFrom(t *testing.T, conn *net.UDPConn, to string, m peer.Message) {
	t.Helper()
	data, err := peer.Encode(m)
	if err != nil {
		t.Fatal(err)
	}
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := conn.WriteTo(data, addr); err != nil {
		t.Fatal(err)
	}
}

// awaitMessage reads messages until one is as wanted.
func awaitMessage(t *testing.T, conn *net.UDPConn, what string, wanted func(peer.Message) bool) {
	t.Helper()
	buffer := make([]byte, peer.MaxBytes)
	if err := conn.SetReadDeadline(time.Now().Add(testTimeout)); err != nil {
		t.Fatal(err)
	}
	for {
		n, err := conn.Read(buffer)
		if err != nil {
			t.Fatalf("waiting for %s: %v", what, err)
		}
		if m, err := peer.Decode(buffer[:n]); err == nil && wanted(m) {
			return
		}
	}
}
