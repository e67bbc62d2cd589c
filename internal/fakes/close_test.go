package fakes

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"hitchdoor/internal/storage"
)

// closeTimeout bounds the time that closing a fake may take.
const closeTimeout = 3 * time.Second

// checkCloseTime fails the test if a function takes longer than closeTimeout.
func checkCloseTime(t *testing.T, name string, closeAll func()) {
	t.Helper()
	startedAt := time.Now()
	closeAll()
	if took := time.Since(startedAt); took > closeTimeout {
		t.Errorf("closing the %s took %v, want at most %v", name, took, closeTimeout)
	}
}

// Guards against fakes whose Close hangs or leaves goroutines behind while a worker waits for the
// response of an unresponsive controller and while a watch is open. TestMain checks that no goroutine
// remains.
func TestCloseEndsHeartbeatsAndWatches(t *testing.T) {
	unresponsive, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { unresponsive.Close() })
	store, err := NewStore(0)
	if err != nil {
		t.Fatal(err)
	}
	fleet, err := NewFleet(FleetSettings{InitialMachines: 3, MaxMachines: 3, HeartbeatInterval: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	fleet.SetNodes(map[string]string{"n0": unresponsive.Addr().String()})
	watchResult := make(chan error, 1)
	go func() { watchResult <- watchOnce(t.Context(), store.Server.URL) }()
	heartbeatConn, err := unresponsive.Accept() // a worker's heartbeat is in flight
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { heartbeatConn.Close() })
	checkCloseTime(t, "fleet", fleet.Close)
	checkCloseTime(t, "store", store.Server.Close)
	if err := <-watchResult; err == nil {
		t.Error("watch of a closed store: got a response, want an error")
	}
}

// watchOnce sends a watch request to the store, and waits for the response. The store sends it after
// a minute if no key changes.
func watchOnce(ctx context.Context, url string) error {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url+storage.WatchPath("", 0, 60_000), nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Guards against a Close of a relay that hangs or leaves connections open, in particular while a
// direction is blocked and bytes are held back.
func TestRelayCloseEndsConnections(t *testing.T) {
	for _, c := range []struct {
		name                 string
		toTarget, fromTarget bool
	}{{"open", false, false}, {"blocked to the target", true, false}, {"blocked from the target", false, true}} {
		t.Run(c.name, func(t *testing.T) {
			target, err := net.Listen("tcp4", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { target.Close() })
			relay, err := NewRelay(target.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			relay.Block(c.toTarget, c.fromTarget)
			client, err := net.Dial("tcp4", relay.Address())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { client.Close() })
			server, err := target.Accept()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { server.Close() })
			for _, conn := range []net.Conn{client, server} {
				if _, err := io.WriteString(conn, "x"); err != nil {
					t.Fatal(err)
				}
			}
			checkCloseTime(t, "relay", relay.Close)
			client.SetReadDeadline(time.Now().Add(closeTimeout))
			if _, err := io.Copy(io.Discard, client); errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("the client's connection is still open after Close")
			}
		})
	}
}
