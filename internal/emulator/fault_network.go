package emulator

import (
	"time"

	"hitchdoor/internal/fakes"
)

// link is a connection between two controllers, by name.
type link struct{ from, to string }

// faultNetwork is the network of a fault test. All messages between controllers and to the key-value store
// pass through relays and proxies on which faults occur. The workers simulate the faults of their own links.
type faultNetwork struct {
	members      []*controller
	peerRelays   map[link]*fakes.Relay
	storeProxies map[string]*fakes.StoreProxy
}

// newFaultNetwork starts the relays and proxies.
func newFaultNetwork(members []*controller, store *fakes.Store, seed uint64) (*faultNetwork, error) {
	n := &faultNetwork{members: members, peerRelays: map[link]*fakes.Relay{},
		storeProxies: map[string]*fakes.StoreProxy{}}
	var err error
	for i, member := range members {
		if n.storeProxies[member.name], err = fakes.NewStoreProxy(store, seed+uint64(i)); err != nil {
			return nil, err
		}
		for _, other := range members {
			if other == member {
				continue
			}
			if n.peerRelays[link{other.name, member.name}], err = fakes.NewRelay(member.peerAddress); err != nil {
				return nil, err
			}
		}
	}
	return n, nil
}

// routes returns the addresses at which the controllers reach the services and each other.
func (n *faultNetwork) routes(cloudAddress string) routes {
	return routes{cloud: cloudAddress,
		store: func(node string) string { return n.storeProxies[node].Server.Address() },
		peer:  func(from, to *controller) string { return n.peerRelays[link{from.name, to.name}].Address() }}
}

// close ends all relays and proxies.
func (n *faultNetwork) close() {
	for _, relay := range n.peerRelays {
		relay.Close()
	}
	for _, proxy := range n.storeProxies {
		proxy.Close()
	}
}

// networkState is the sum of all faults of the network at some time.
type networkState struct {
	blockedTo, blockedFrom map[string]bool // peers' messages to and from a controller
	workersTo, workersFrom map[string]bool // workers' messages to and from a controller
	storeFaults            map[string]fakes.StoreFault
	linkDelay              time.Duration
}

// Strengths of faults, as shares of a worker lease.
const (
	slowStoreDelayDivisor = 60
	slowLinkDelayDivisor  = 40
	lateWriteDivisor      = 2
)

// stateOf returns the state of the network under the given faults.
func (n *faultNetwork) stateOf(active []fault, lease time.Duration) networkState {
	state := networkState{blockedTo: map[string]bool{}, blockedFrom: map[string]bool{}, workersTo: map[string]bool{},
		workersFrom: map[string]bool{}, storeFaults: map[string]fakes.StoreFault{}}
	for _, current := range active {
		name := n.members[current.controller].name
		storeFault := state.storeFaults[name]
		switch current.kind {
		case cutPeers, cutAll:
			state.blockedTo[name] = state.blockedTo[name] || current.direction != fromIt
			state.blockedFrom[name] = state.blockedFrom[name] || current.direction != toTarget
			storeFault.Cut = storeFault.Cut || current.kind == cutAll
		case cutWorkers:
			state.workersTo[name] = state.workersTo[name] || current.direction != fromIt
			state.workersFrom[name] = state.workersFrom[name] || current.direction != toTarget
		case cutStore:
			storeFault.Cut = true
		case refuseStore:
			storeFault.Refuse = true
		case slowStore:
			storeFault.Delay = lease / slowStoreDelayDivisor
		case loseAnswers:
			storeFault.LostAnswers = current.share / 2
		case lateWrites:
			storeFault.LateWrites, storeFault.LateBy = current.share/2, lease/lateWriteDivisor
		case slowLinks:
			state.linkDelay = lease / slowLinkDelayDivisor
		}
		state.storeFaults[name] = storeFault
	}
	return state
}

// apply changes the relays and proxies to a state.
func (n *faultNetwork) apply(state networkState) {
	for between, relay := range n.peerRelays {
		// Either controller may have opened the connection, so each direction of it is set separately.
		relay.Block(state.blockedFrom[between.from] || state.blockedTo[between.to],
			state.blockedFrom[between.to] || state.blockedTo[between.from])
		relay.SetDelay(state.linkDelay)
	}
	for name, proxy := range n.storeProxies {
		proxy.SetFault(state.storeFaults[name])
	}
}
