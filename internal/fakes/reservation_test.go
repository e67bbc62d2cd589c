package fakes

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against a reserved address that another socket takes while no server listens on it, so that
// a restarted server can't listen. Servers must be able to listen on the address repeatedly, but
// neither another reservation nor a socket without SO_REUSEADDR may get it.
func TestReservedAddressesAreExclusive(t *testing.T) {
	reservation, err := ReserveAddresses(20)
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Close()
	reserved := map[string]bool{}
	for _, address := range reservation.Addresses() {
		if reserved[address] {
			t.Errorf("%s is reserved twice by one reservation", address)
		}
		reserved[address] = true
	}
	for _, address := range reservation.Addresses() {
		if err := listenWithoutReuseAddr(address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("listening on %s without SO_REUSEADDR: got error %v, want EADDRINUSE", address, err)
		}
		for range 3 {
			serveOneConnection(t, address)
		}
		if err := listenWithoutReuseAddr(address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("listening on %s without SO_REUSEADDR after its server: got error %v, want EADDRINUSE",
				address, err)
		}
	}
	other, err := ReserveAddresses(200)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	for _, address := range other.Addresses() {
		if reserved[address] {
			t.Errorf("%s is reserved by two reservations", address)
		}
	}
}

// serveOneConnection runs a server on an address with one connection. The server closes it first, so
// that the connection remains in TIME_WAIT at the server's port.
func serveOneConnection(t *testing.T, address string) {
	t.Helper()
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	client, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.Close()
}

// listenWithoutReuseAddr listens on an address without SO_REUSEADDR. The kernel applies the same rules
// when it chooses ports itself.
func listenWithoutReuseAddr(address string) error {
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		var err error
		if controlErr := conn.Control(func(socket uintptr) {
			err = syscall.SetsockoptInt(int(socket), syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	listener, err := config.Listen(context.Background(), "tcp4", address)
	if err == nil {
		listener.Close()
	}
	return err
}
