package emulator

import (
	"context"
	"os"
	"slices"
	"time"
)

// change is the begin or the end of a fault.
type change struct {
	at    time.Duration
	begin bool
	fault fault
}

// inject plays the schedule, and then ends what is left of it.
func (f *faultTest) inject(ctx context.Context, planned schedule, startedAt time.Time) error {
	var changes []change
	for _, next := range planned {
		changes = append(changes, change{next.begin, true, next}, change{next.end, false, next})
	}
	slices.SortStableFunc(changes, func(a, b change) int { return int(a.at - b.at) })
	var active []fault
	for _, next := range changes {
		if !sleep(ctx, time.Until(startedAt.Add(next.at))) {
			return ctx.Err()
		}
		f.recordExits()
		if next.begin {
			active = append(active, next.fault)
		} else {
			active = slices.DeleteFunc(active, func(other fault) bool { return other == next.fault })
		}
		f.applyAll(active)
		f.applyOnce(ctx, next)
	}
	f.pending.Wait()
	for _, member := range f.set.members {
		member.pause(false)
	}
	return f.restartAll()
}

// applyAll brings everything that depends on the sum of the active faults into the state that they ask for.
func (f *faultTest) applyAll(active []fault) {
	state := f.network.stateOf(active, f.options.LeaseDuration)
	f.network.apply(state)
	f.fleet.BlockNodes(state.workersTo, state.workersFrom)
	outage, cloudDown, lateShare := false, false, 0.0
	paused := map[int]bool{}
	for _, current := range active {
		outage = outage || current.kind == storeOutage
		cloudDown = cloudDown || current.kind == cloudOutage
		if current.kind == lateHeartbeats {
			lateShare = max(lateShare, current.share)
		}
		paused[current.controller] = paused[current.controller] || current.kind == pauseOne
	}
	f.store.SetOutage(outage)
	f.fleet.SetCloudUnavailable(cloudDown)
	f.fleet.SetLateHeartbeats(lateShare)
	for i, member := range f.set.members {
		member.pause(paused[i])
	}
}

// Shares of a worker lease.
const (
	maxDowntimeDivisor   = 3 // a killed controller is back after at most 1/maxDowntimeDivisor
	leaderKillGapDivisor = 2 // time between two kills of leaders in a series
)

// applyOnce carries out what a fault does at its begin or end only.
func (f *faultTest) applyOnce(ctx context.Context, next change) {
	switch {
	case next.fault.kind == partitionFleet:
		f.partition(next.fault.share, next.begin)
	case !next.begin:
	case next.fault.kind == preemptMachines:
		inventories := f.fleet.Inventories()
		for _, machine := range inventories[:int(next.fault.share/4*float64(len(inventories)))] {
			f.fleet.PreemptMachine(machine.Machine)
		}
	case next.fault.kind == killOne:
		f.killAndRestart(ctx, f.downtime(next.fault), f.set.members[next.fault.controller])
	case next.fault.kind == killAll:
		f.killAndRestart(ctx, f.downtime(next.fault), f.set.members...)
	case next.fault.kind == killLeaders:
		f.pending.Go(func() { f.killLeadersUntil(ctx, next.fault.end-next.fault.begin) })
	}
}

// downtime returns how long the controllers that a fault kills stay down.
func (f *faultTest) downtime(current fault) time.Duration {
	return time.Duration(current.share * float64(f.options.LeaseDuration) / maxDowntimeDivisor)
}

// partition cuts a share of the machines off from all controllers, or reconnects them.
func (f *faultTest) partition(share float64, begin bool) {
	inventories := f.fleet.Inventories()
	for _, machine := range inventories[:int(share*float64(len(inventories)))] {
		f.fleet.SetPartitioned(machine.Machine, begin)
	}
}

// killAndRestart kills controllers at once and starts them again later.
func (f *faultTest) killAndRestart(ctx context.Context, downtime time.Duration, members ...*controller) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range members {
		member.signal(os.Kill)
	}
	f.pending.Go(func() {
		sleep(ctx, downtime)
		f.restartAll()
	})
}

// killLeadersUntil kills whichever controller leads, again and again, for some time.
func (f *faultTest) killLeadersUntil(ctx context.Context, duration time.Duration) {
	gap := f.options.LeaseDuration / leaderKillGapDivisor
	for deadline := time.Now().Add(duration); time.Now().Before(deadline) && sleep(ctx, gap); {
		if leader := f.leader(); leader != nil {
			f.killAndRestart(ctx, 0, leader)
		}
	}
}

// leader returns the controller that leads by the store, or nil.
func (f *faultTest) leader() *controller {
	name := f.store.LeaderName()
	index := slices.IndexFunc(f.set.members, func(member *controller) bool { return member.name == name })
	if index < 0 {
		return nil
	}
	return f.set.members[index]
}

// restartAll starts all controllers that were killed.
func (f *faultTest) restartAll() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, member := range f.set.members {
		if member.isRunning() {
			continue
		}
		member.waitForExit()
		if err := member.start(f.options.Program, f.set.settingsFile); err != nil {
			return err
		}
	}
	return nil
}
