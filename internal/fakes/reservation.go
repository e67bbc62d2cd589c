package fakes

import (
	"fmt"
	"net/netip"
	"syscall"
)

// AddressReservation reserves TCP addresses on loopback for servers whose addresses must be known
// before they listen. The servers may run in this process or in a child, and may listen again after
// a restart.
//
// The reservation keeps a socket with SO_REUSEADDR bound to each address and never listens on it.
// Meanwhile the kernel assigns the port neither to a bind to port 0 nor to an outgoing connection.
// Only a server that binds to exactly this address with SO_REUSEADDR, as net.Listen does, gets it.
type AddressReservation struct {
	sockets   []int
	addresses []string
}

// addressFamilyError reports a socket that is bound to an address of another family than IPv4.
type addressFamilyError struct{ bound syscall.Sockaddr }

// Error implements error.
func (e *addressFamilyError) Error() string {
	return fmt.Sprintf("socket is bound to a %T, not to an IPv4 address", e.bound)
}

// ReserveAddresses reserves the given number of different addresses on loopback.
func ReserveAddresses(count int) (*AddressReservation, error) {
	r := &AddressReservation{}
	for range count {
		if err := r.reserve(); err != nil {
			r.Close()
			return nil, fmt.Errorf("reserve an address on loopback: %w", err)
		}
	}
	return r, nil
}

// Addresses lists the reserved addresses in the form host:port.
func (r *AddressReservation) Addresses() []string { return r.addresses }

// Close releases the addresses. Servers that listen on them are not affected.
func (r *AddressReservation) Close() {
	for _, socket := range r.sockets {
		syscall.Close(socket)
	}
	r.sockets = nil
}

// reserve binds one more socket to a port that the kernel chooses.
func (r *AddressReservation) reserve() error {
	// Without SOCK_CLOEXEC a child process would inherit the socket and keep the address reserved
	// after Close.
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, syscall.IPPROTO_TCP)
	if err != nil {
		return err
	}
	r.sockets = append(r.sockets, socket)
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return err
	}
	// SO_REUSEADDR is set after the bind, so that the kernel chooses a port that no other socket is
	// bound to.
	if err := syscall.SetsockoptInt(socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(socket)
	if err != nil {
		return err
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return &addressFamilyError{bound}
	}
	addressPort := netip.AddrPortFrom(netip.AddrFrom4(loopback), uint16(address.Port))
	r.addresses = append(r.addresses, addressPort.String())
	return nil
}
