package fakes

import (
	"context"
	"errors"
	"net"
	"syscall"
	"testing"
)

// A reserved address can be listened on again and again, and nobody gets it who did not ask
// for it: neither another reservation nor a socket that does not share addresses.
func TestReservedAddressesAreExclusive(t *testing.T) {
	reservation, err := ReserveAddresses(20)
	if err != nil {
		t.Fatal(err)
	}
	defer reservation.Close()
	reserved := map[string]bool{}
	for _, address := range reservation.Addresses() {
		if reserved[address] {
			t.Errorf("%s is reserved twice", address)
		}
		reserved[address] = true
	}
	for _, address := range reservation.Addresses() {
		if err := listenWithoutReuseAddr(address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s without SO_REUSEADDR: error %v, not EADDRINUSE", address, err)
		}
		for range 3 {
			serveOneConnection(t, address)
		}
		if err := listenWithoutReuseAddr(address); !errors.Is(err, syscall.EADDRINUSE) {
			t.Errorf("%s without SO_REUSEADDR, after its server: error %v, not EADDRINUSE", address, err)
		}
	}
	other, err := ReserveAddresses(200)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	for _, address := range other.Addresses() {
		if reserved[address] {
			t.Errorf("%s is reserved by two", address)
		}
	}
}

// serveOneConnection runs a server at an address, with one connection that the server closes first, so
// that the connection stays behind in TIME_WAIT at the server's port.
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

// listenWithoutReuseAddr listens at an address without SO_REUSEADDR, under the rules by which the kernel
// also chooses ports.
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
