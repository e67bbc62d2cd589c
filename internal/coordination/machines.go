package coordination

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hitchdoor/internal/config"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/storage"
)

// machine is a rented machine as its leader knows it.
type machine struct {
	name, typ, zone string
	spot            bool
	kind            *protocol.MachineType // nil while the catalogue doesn't name it

	used, wantsUse bool // may have tasks: durable, and to be made so
	group          *group
	accounted      bool // nothing runs on it that this leader doesn't know of
	rentedAt       Instant

	up           bool
	session, seq uint64
	lost         uint64                 // the highest session declared lost
	heard        Instant                // last report in order
	answered     Instant                // last answer that may have renewed its lease
	shown        bool                   // its last report shows our token: it has heard us
	unheard      int                    // answers in a row that its reports show no sign of
	reborn       bool                   // it began a new session though it spoke all along
	last         *protocol.ReportAnswer // the last answer, until the next report
	notice       Instant                // when the cloud takes it; never: no notice

	runs          map[string]*run
	list          []*run // the same, by attempt
	strays        int    // reported tasks that no run of ours stands for
	results       int    // reported results that the worker must still keep
	cores, ram    float64
	accelerators  float64
	images        []image // most recently used last
	spareSince    Instant // since when it has been more than is needed
	failures      int     // in a row
	failedJobs    map[string]bool
	sick          bool
	emptying      bool // to be returned when empty
	returning     bool
	failedListing bool
	asked         bool      // the cloud was asked to return it, and may still do so
	why           cause     // why it is returned
	pace          []float64 // of its last tasks: log of real over expected run time
}

type image struct {
	name string
	gb   float64
}

func (l *leadership) newMachine(name, typ, zone string, spot bool) *machine {
	m := &machine{name: name, typ: typ, zone: zone, spot: spot, runs: map[string]*run{},
		rentedAt: l.n.now, heard: never, answered: never, notice: never, spareSince: l.n.now,
		failedJobs: map[string]bool{}, kind: l.n.catalog[typ]}
	l.machines[name] = m
	l.machinesChanged()
	return m
}

// obtained takes a machine that no leader recorded, so that none gave it a task.
func (l *leadership) obtained(name, typ, zone string, spot bool, rentedAt Instant) *machine {
	m := l.newMachine(name, typ, zone, spot)
	m.accounted, m.rentedAt = true, rentedAt
	l.record(m, false)
	return m
}

func (l *leadership) typesChanged() {
	for _, m := range l.machines {
		if k := l.n.catalog[m.typ]; k != nil {
			m.kind = k
		}
	}
	l.machinesChanged()
	l.dirty = true
	l.storeCatalog()
}

// storeCatalog stores the machine types for the next start, when they have changed;
// prices move all the time and are left as they were.
func (l *leadership) storeCatalog() {
	if !l.loaded || !l.n.catalogSure {
		return
	}
	c, shape := protocol.Catalog{}, []protocol.MachineType{}
	for _, name := range slices.Sorted(maps.Keys(l.n.catalog)) {
		k := *l.n.catalog[name]
		c.Types = append(c.Types, k)
		k.Rate, k.SpotRate = 0, 0
		shape = append(shape, k)
	}
	now := string(storage.Encode(shape))
	if now == l.catalogShape || len(storage.Encode(c)) > int(l.n.cfg.Cluster.State.ValueKB*1024) {
		return
	}
	l.catalogShape = now
	l.writer.AddLazy(storage.Unit{Build: func() []storage.Write {
		return []storage.Write{storage.Set(storage.CatalogKey, c)}
	}})
}

// group is the machines that one record names. One record for each machine took
// two changes before its first task, and hundreds of machines that came up together
// waited for theirs for as long as they had taken to boot.
type group struct {
	key      string
	machines map[string]*machine
	changed  bool // since the last write was formed
	queued   bool // a write waits, that will hold whatever changes until then
	hurried  bool // the same, ahead of what can wait
}

// record makes the machine's name durable, with used set before its first task.
func (l *leadership) record(m *machine, used bool) {
	if m.group != nil && (m.wantsUse || !used) {
		return
	}
	m.wantsUse = used
	if m.group == nil {
		m.group = l.roomyGroup()
		m.group.machines[m.name] = m
	}
	l.storeGroup(m.group, true)
}

// roomyGroup finds a group that has room, or makes one.
func (l *leadership) roomyGroup() *group {
	for _, g := range l.groups {
		if len(g.machines) < l.groupSize {
			return g
		}
	}
	used := map[string]bool{}
	for _, g := range l.groups {
		used[g.key] = true
	}
	for i := 0; ; i++ {
		if key := storage.GroupKey(i); !used[key] {
			return l.newGroup(key)
		}
	}
}

func (l *leadership) newGroup(key string) *group {
	g := &group{key: key, machines: map[string]*machine{}}
	l.groups = append(l.groups, g)
	return g
}

// storeGroup queues the write of a group, as it is when its turn comes. Machines
// that are gone can wait for it, those that are to be used can't.
func (l *leadership) storeGroup(g *group, hurry bool) {
	g.changed = true
	if g.hurried || (g.queued && !hurry) {
		return
	}
	waits, add := &g.queued, l.writer.AddLazy
	if hurry {
		waits, add = &g.hurried, l.writer.Add
	}
	*waits = true
	var used []*machine
	add(storage.Unit{
		Build: func() []storage.Write {
			used = used[:0]
			switch {
			case !g.changed || (len(g.machines) == 0 && l.writer.Version(g.key) == 0):
				*waits = false
				return nil
			case len(g.machines) == 0:
				return []storage.Write{storage.Drop(g.key)}
			}
			rec := make(storage.GroupRecord, len(g.machines))
			for name, m := range g.machines {
				rec[name] = storage.MachineRecord{Type: m.typ, Zone: m.zone, Spot: m.spot, Used: m.wantsUse,
					AtMS: l.n.wall.Add(m.rentedAt).UnixMilli()}
				if m.wantsUse {
					used = append(used, m)
				}
			}
			return []storage.Write{storage.Set(g.key, rec)}
		},
		Taken: func() { *waits, g.changed = false, false },
		Done: func() {
			for _, m := range used {
				if !m.used {
					m.used, l.dirty = true, true
				}
			}
		},
	})
}

// forgetMachine drops a machine that is surely gone, with everything on it.
func (l *leadership) forgetMachine(m *machine) {
	for _, r := range m.list {
		l.release(r)
	}
	delete(l.machines, m.name)
	l.machinesChanged()
	l.gone[m.name] = l.n.now
	l.dirty = true
	if g := m.group; g != nil {
		delete(g.machines, m.name)
		l.storeGroup(g, false)
	}
}

// addRun and dropRun keep a machine's runs in order of their attempts, so that a
// step repeats. Whoever walks the list may release runs meanwhile: it is never
// changed in place below its end.
func (m *machine) addRun(r *run) {
	m.runs[r.key()] = r
	if n := len(m.list); n == 0 || m.list[n-1].attempt < r.attempt {
		m.list = append(m.list, r)
		return
	}
	at, _ := slices.BinarySearchFunc(m.list, r.attempt, func(x *run, attempt uint64) int { return cmp.Compare(x.attempt, attempt) })
	m.list = slices.Insert(slices.Clone(m.list), at, r)
}

func (m *machine) dropRun(r *run) {
	delete(m.runs, r.key())
	m.list = slices.DeleteFunc(slices.Clone(m.list), func(x *run) bool { return x == r })
}

// place books a run on its machine and with its team.
func (l *leadership) place(r *run) {
	j, m := r.job, r.m
	if j.tasks[r.index] == taskPending {
		j.pending--
	}
	j.tasks[r.index] = taskActive
	j.runs[r.index] = r
	m.addRun(r)
	l.count(j, 1)
	m.touch(j.spec.Image, j.spec.ImageGB) // held, or fetched once for all
	m.cores += j.spec.Cores
	m.ram += j.spec.RAM
	m.accelerators += j.spec.Accelerators
	if u := l.usage[j.spec.Team]; u != nil {
		u.cores += j.spec.Cores
		u.accelerators += j.spec.Accelerators
	}
}

// release ends a run whose end is confirmed and gives back what it held.
func (l *leadership) release(r *run) {
	j, m := r.job, r.m
	if m.runs[r.key()] != r {
		return
	}
	m.dropRun(r)
	l.count(j, -1)
	delete(j.runs, r.index)
	m.cores -= j.spec.Cores
	m.ram -= j.spec.RAM
	m.accelerators -= j.spec.Accelerators
	if u := l.usage[j.spec.Team]; u != nil {
		u.cores -= j.spec.Cores
		u.accelerators -= j.spec.Accelerators
	}
	if len(m.runs) == 0 {
		m.cores, m.ram, m.accelerators = 0, 0, 0
	}
	if j.tasks[r.index] == taskActive {
		j.tasks[r.index] = taskPending
		j.pending++
		j.first = min(j.first, r.index)
		if j.pending == 1 {
			j.waiting = l.n.now
		}
	}
	l.dirty = true
}

// stopRun asks for a run's end; one that was never commanded ends at once.
func (l *leadership) stopRun(r *run, grace float64) {
	if r.phase == phaseAssigned {
		l.release(r)
		return
	}
	if r.stop != nil && *r.stop <= grace {
		return
	}
	r.stop = &grace
}

// leaseOver is after what silence a worker's lease is surely over.
func (l *leadership) leaseOver() time.Duration { return drift(l.n.lease()) + l.n.lease()/50 }

// checksPerReport is how often, per report interval, all machines are looked at.
const checksPerReport = 8

// checkMachines declares lost what has been silent for a lease.
func (l *leadership) checkMachines() {
	now := l.n.now
	if now < l.checkedAt+l.n.report()/checksPerReport {
		return // each step would walk all machines: it comes with every report
	}
	l.checkedAt = now
	for _, m := range l.held() {
		since := max(m.answered, l.since)
		if now <= since+l.leaseOver() {
			continue
		}
		if !m.accounted {
			m.accounted, l.dirty, l.censusOK = true, true, false
		}
		if m.up {
			// Its session has ended by its own clock: what it ran is dead, and
			// the session never gets another 200.
			l.n.log.Info("machine silent for a lease", "machine", m.name, "tasks", len(m.runs))
			m.up, l.censusOK = false, false
			m.lost = m.session
			m.strays = 0
			for _, r := range m.list {
				l.release(r)
			}
			l.leave(m, silent)
		}
	}
	if len(l.gone) > maxGone {
		for name, at := range l.gone {
			if now > at+8*config.Seconds(l.n.cfg.Cluster.Cloud.ListLagS)+l.n.lease() {
				delete(l.gone, name)
			}
		}
	}
}

// maxGone bounds the names of returned machines that are kept, within a term, so
// that neither a lagging list nor a late copy of a report brings one back.
const maxGone = 20_000

// held lists the machines in order of their names. The list is kept between
// changes: made anew at each step, it was two thirds of a busy leader's work.
func (l *leadership) held() []*machine {
	if l.sorted == nil {
		l.sorted = make([]*machine, 0, len(l.machines))
		for _, m := range l.machines {
			l.sorted = append(l.sorted, m)
		}
		slices.SortFunc(l.sorted, func(a, b *machine) int { return cmp.Compare(a.name, b.name) })
	}
	return l.sorted
}

// machinesChanged drops what is kept of the list of machines.
func (l *leadership) machinesChanged() { l.sorted, l.censusOK = nil, false }

// onReport takes a worker's report and answers it.
func (l *leadership) onReport(r Request) {
	n := l.n
	if !l.loaded {
		if len(l.early) >= n.maxWaiting() {
			n.reply(r.Origin, 503, 1, nil)
			return
		}
		l.early = append(l.early, r)
		return
	}
	rep := r.Report
	l.heardWorker = n.now
	if rep.Token > l.term {
		// The worker has seen a newer leader: our answers would be dropped.
		n.reply(r.Origin, 503, 1, nil)
		n.stepDown("a worker has seen a higher token")
		return
	}
	m := l.machines[rep.Machine]
	if m == nil {
		if _, gone := l.gone[rep.Machine]; gone {
			n.reply(r.Origin, 503, 1, nil)
			return
		}
		if len(rep.Tasks) > 0 {
			// A machine is durable by name before its first task, and its record is
			// dropped only once it is surely gone. So this is a late copy of what a
			// returned machine once said, however fresh it looks to a leader that
			// remembers nothing of it: it must not hold up jobs, nor fill a quota.
			n.reply(r.Origin, 503, 1, nil)
			return
		}
		m = l.newMachine(rep.Machine, rep.Type, rep.Zone, rep.Spot)
		// Nobody recorded it, so no leader has commanded a task to it; its
		// report must still show our token before it counts for anything.
		m.accounted = true
		n.log.Info("unknown machine reports", "machine", m.name, "type", m.typ)
	}
	if rep.Session < m.session || (rep.Session == m.session && rep.Seq <= m.seq) || rep.Session <= m.lost {
		// Late, or of a session that we have declared lost: never a 200.
		n.reply(r.Origin, 503, 1, nil)
		return
	}
	if rep.Session > m.session && m.session != 0 {
		// The worker began a new session, so it has killed everything.
		m.strays, l.censusOK = 0, false
		for _, x := range m.list {
			if x.phase != phaseAssigned {
				l.release(x)
			}
		}
		if l.n.now-m.heard < l.n.lease()/2 {
			// It spoke all along: either its lease ran out, as it hears no answer, or it
			// was back at once after an end. The next command that it gets will tell, or
			// a second time without any sign.
			m.unheard++
			if m.reborn {
				m.unheard = max(m.unheard, deafAnswers)
			}
			m.reborn = true
		}
	}
	shown := rep.Token == l.term
	l.hears(m, rep, shown)
	if m.shown != shown {
		m.shown, l.dirty, l.censusOK = shown, true, false
	}
	if !m.up {
		m.up, l.dirty, l.censusOK = true, true, false
	}
	strays := m.strays
	m.session, m.seq, m.heard = rep.Session, rep.Seq, n.now
	forget := l.reconcile(m, rep)
	if (m.strays > 0) != (strays > 0) {
		l.censusOK = false
	}
	if shown && !m.accounted {
		m.accounted, l.dirty, l.censusOK = true, true, false
	}
	if l.deaf(m) {
		// Whatever we say is lost, and a 200 would only put off the moment at which
		// its lease is surely over.
		n.reply(r.Origin, 503, 1, nil)
		return
	}
	if m.why == silent && !m.asked {
		// It was cut off, or we were, and the cloud has not been asked yet. Where its
		// interface is down, a thousand such machines were returned once it was back,
		// though all of them had been running tasks again for half a minute.
		l.keep(m)
		if m.sick {
			l.leave(m, sick)
		}
	}
	l.takeNotice(m, rep.NoticeS)
	if !m.used {
		l.record(m, true)
	}
	l.fill(m)
	l.pump()
	if n.lead != l || !n.authority() {
		n.reply(r.Origin, 503, 1, nil)
		return
	}
	m.answered, m.last = n.now, &protocol.ReportAnswer{Token: l.term, Commands: l.commands(m, forget)}
	n.reply(r.Origin, 200, 0, m.last)
}

// deafAnswers is how many answers in a row a machine must show no sign of before
// it is taken for deaf: one that hung for a moment, or whose answer came after it
// had stopped waiting, misses one or two.
const deafAnswers = 3

// hears looks in a report for signs that the last answer reached the machine: our
// token, or what it was told first, as commands are executed in their order.
func (l *leadership) hears(m *machine, rep *protocol.Report, shown bool) {
	last := m.last
	m.last = nil
	switch {
	case last == nil:
	case !shown:
		m.unheard++
	case len(last.Commands) > 0:
		if !executed(last.Commands[0], rep) {
			m.unheard++
			return
		}
		m.unheard, m.reborn = 0, false
	case !m.shown:
		m.unheard, m.reborn = 0, false
	}
}

// executed tells whether a report shows that a command was carried out.
func executed(c protocol.Command, rep *protocol.Report) bool {
	at := slices.IndexFunc(rep.Tasks, func(t protocol.TaskReport) bool { return t.Task == c.Task && t.Attempt == c.Attempt })
	switch {
	case c.Op == protocol.OpStart:
		return at >= 0
	case at < 0:
		return true
	case c.Op == protocol.OpForget:
		return false
	default:
		return rep.Tasks[at].State == protocol.TaskSaving || rep.Tasks[at].State == protocol.TaskExited
	}
}

// deaf finds a machine whose reports arrive while answers don't reach it. Its
// reports look alive, so without this it would keep the tasks given to it, count
// as room, and, after a takeover, hold up all older jobs for as long as it speaks.
// It gets no more work and no more answers, and is returned; what it runs ends by
// report, with its lease or with the machine.
func (l *leadership) deaf(m *machine) bool {
	if m.unheard < deafAnswers {
		return false
	}
	if m.why != deaf {
		unsure, up := 0, 0
		for _, x := range l.held() {
			if x.up {
				up++
				if x.unheard > 0 {
					unsure++
				}
			}
		}
		if up > 1 && 2*unsure > up {
			return false // then it is our answers that don't get through
		}
		l.n.log.Info("machine hears no answer", "machine", m.name, "tasks", len(m.runs))
		l.leave(m, deaf)
	}
	return true
}

// maxCommands bounds an answer well inside 64 KiB.
const maxCommands = 300

func (l *leadership) commands(m *machine, commands []protocol.Command) []protocol.Command {
	if commands == nil {
		commands = []protocol.Command{}
	}
	for _, r := range m.list {
		if len(commands) >= maxCommands {
			break
		}
		switch {
		case r.stop != nil && r.phase != phaseAssigned:
			commands = append(commands, protocol.Command{Op: protocol.OpStop, Task: r.key(), Attempt: r.attempt, GraceS: r.stop})
		case r.phase == phaseAssigned && m.shown && m.used:
			r.phase = phaseSent
			commands = append(commands, protocol.Command{Op: protocol.OpStart, Task: r.key(), Attempt: r.attempt})
		}
	}
	return commands
}

// reconcile compares a report with what we believe of the machine, and returns
// the commands that end what should not be there.
func (l *leadership) reconcile(m *machine, rep *protocol.Report) []protocol.Command {
	now := l.n.now
	var commands []protocol.Command
	for _, r := range m.list {
		r.shown = false
	}
	m.strays, m.results = 0, 0
	for _, t := range rep.Tasks {
		id, index, ok := splitTask(t.Task)
		j := l.jobs[id]
		if !ok || j == nil || index >= j.spec.Tasks {
			j = nil
		}
		r := m.runs[t.Task]
		if r != nil && r.attempt == t.Attempt {
			r.shown = true
		}
		if t.State == protocol.TaskExited {
			if l.exited(m, j, index, r, t) && len(commands) < maxCommands {
				commands = append(commands, protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt})
			} else {
				m.results++
			}
			continue
		}
		if r == nil && j != nil && j.tasks[index] == taskPending && !j.gone {
			// Started by an earlier leader: it goes on.
			r = &run{job: j, index: index, attempt: t.Attempt, m: m, phase: phaseSent, since: now}
			l.place(r)
			r.shown = true
		}
		if r == nil || r.attempt != t.Attempt {
			m.strays++
			if len(commands) < maxCommands {
				zero := 0.0
				commands = append(commands, protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: &zero})
			}
			continue
		}
		l.seen(m, r, t)
	}
	for _, r := range m.list {
		if r.shown || r.phase == phaseAssigned {
			continue
		}
		if r.phase == phaseSent {
			// This report is newer than the answer that held the command, and
			// workers drop answers they no longer wait for: it was not executed
			// and never will be.
			if r.stop != nil || r.job.gone {
				l.release(r)
			} else {
				r.phase = phaseAssigned
			}
			continue
		}
		l.release(r)
	}
	return commands
}

// seen updates a run that is on its machine.
func (l *leadership) seen(m *machine, r *run, t protocol.TaskReport) {
	switch t.State {
	case protocol.TaskFetching:
		r.phase = phaseFetching
	case protocol.TaskRunning:
		if r.phase != phaseRunning {
			r.phase, r.started = phaseRunning, l.n.now
			r.job.lastStart = l.n.now
			if r.job.firstStart == 0 {
				r.job.firstStart = l.n.now
			}
			m.touch(r.job.spec.Image, r.job.spec.ImageGB)
		}
	case protocol.TaskSaving:
		r.phase = phaseSaving
	}
}

// touch notes an image as the machine's most recently used.
func (m *machine) touch(name string, gb float64) {
	m.images = slices.DeleteFunc(m.images, func(i image) bool { return i.name == name })
	m.images = append(m.images, image{name, gb})
	if m.kind == nil {
		return
	}
	total := 0.0
	for i := len(m.images) - 1; i >= 0; i-- {
		total += m.images[i].gb
		if total > m.kind.CacheGB {
			m.images = slices.Clone(m.images[i+1:])
			return
		}
	}
}

func (m *machine) hasImage(name string) bool {
	return name == "" || slices.ContainsFunc(m.images, func(i image) bool { return i.name == name })
}

// exited handles a task that has ended and tells whether the worker may forget
// it: a result only once it is durable, as it is the only copy.
func (l *leadership) exited(m *machine, j *job, index int, r *run, t protocol.TaskReport) bool {
	now := l.n.now
	mine := r != nil && r.attempt == t.Attempt
	if j == nil {
		if mine {
			l.release(r)
		}
		return true // the job is over, and its end is durable
	}
	if t.Why == protocol.WhyDone {
		if mine {
			if r.phase == phaseRunning && r.started > r.since {
				took := now - r.started
				l.paced(m, j, took)
				l.learn(j, took)
			}
			m.failures = 0
			clear(m.failedJobs)
			clear(j.failedOn)
			m.touch(j.spec.Image, j.spec.ImageGB)
			l.release(r)
		}
		if x := j.runs[index]; x != nil && x != r {
			l.stopRun(x, 0)
		}
		l.setDone(j, index)
		return l.durable(j, index)
	}
	if !mine {
		return true
	}
	l.release(r)
	if j.gone {
		return true
	}
	switch t.Why {
	case protocol.WhyError:
		l.failed(m, j, index)
	case protocol.WhyHalted:
	default: // refused: our picture of the machine was behind
		l.delay(j, index, m, l.n.report())
	}
	return true
}

func (l *leadership) delay(j *job, index int, m *machine, d time.Duration) {
	t := j.trouble[index]
	if t == nil {
		t = &trouble{}
		j.trouble[index] = t
	}
	t.after, t.avoid, t.until = l.n.now+d, m.name, l.n.now+d+l.n.lease()
}

// Failures: from how many machines a job without any success is taken for bad,
// and from how many tasks in a row a machine is taken for sick.
const (
	badJobMachines   = 3
	sickMachineTasks = 2
)

// failed counts a failure. The task is retried at once on another machine; if it
// fails again it backs off, as an accepted job must run in the end.
func (l *leadership) failed(m *machine, j *job, index int) {
	j.failedOn[m.name] = true
	if len(j.failedOn) >= badJobMachines && j.done == 0 {
		// It fails everywhere: that is the job's own mistake, and no machine's.
		if !j.bad {
			l.n.log.Info("job fails on every machine", "job", j.spec.UID)
		}
		j.bad = true
	}
	l.delay(j, index, m, 0)
	t := j.trouble[index]
	t.failures++
	if t.failures > 1 {
		t.after = l.n.now + min(l.n.report()<<min(t.failures-1, 10), 4*l.n.lease())
	}
	if j.bad {
		t.after = max(t.after, l.n.now+l.n.lease())
		return
	}
	m.failures++
	m.failedJobs[j.spec.UID] = true
	if m.failures >= sickMachineTasks && !m.sick && (len(m.failedJobs) > 1 || j.done > 0 || m.failures >= 2*sickMachineTasks) {
		m.sick = true
		l.leave(m, sick)
	}
}

// Slow machines: how many of the last tasks are looked at, how many at least,
// and how many times the expected time they must take on the mean. Run times
// differ by a factor of two anyway.
const (
	paceMemory  = 4
	paceTasks   = 2
	paceTooSlow = 2.2
	// paceSiblings is how many tasks of a job tell how long the others take.
	paceSiblings = 3
)

// paced notes how fast a machine ran a task, against the job's other tasks:
// estimates are wrong for all tasks of a job alike.
func (l *leadership) paced(m *machine, j *job, took time.Duration) {
	if usual, ok := j.usualTook(); ok {
		if len(m.pace) == paceMemory {
			m.pace = m.pace[1:]
		}
		m.pace = append(m.pace, math.Log(float64(took)/float64(usual)))
	}
	j.tookSum += math.Log(float64(took))
	j.tookCount++
	j.usual = time.Duration(math.Exp(j.tookSum / j.tookCount))
}

// usualTook is how long the job's finished tasks took, once there are some.
func (j *job) usualTook() (time.Duration, bool) {
	if j.tookCount < paceSiblings {
		return 0, false
	}
	return j.usual, true
}

// checkPace empties a machine that runs its tasks far slower than their siblings
// run elsewhere. What is on it moves if it would be done sooner from the start.
func (l *leadership) checkPace(m *machine) {
	if !m.up || m.why == slow {
		return
	}
	sum, count := 0.0, 0
	for _, p := range m.pace {
		sum += p
		count++
	}
	for _, r := range m.list {
		// A task that is overdue says as much as one that has ended.
		if r.phase != phaseRunning || r.job.moved[r.index] {
			continue
		}
		if usual, ok := r.job.usualTook(); ok && l.n.now-r.started > 3*usual/2 {
			ran := l.n.now - r.started
			sum += math.Log(float64(ran) / float64(usual))
			count++
		}
	}
	if count < paceTasks || sum/float64(count) < math.Log(paceTooSlow) {
		return
	}
	factor := math.Exp(sum / float64(count))
	l.n.log.Info("machine is slow", "machine", m.name, "factor", factor, "tasks", count)
	l.leave(m, slow)
	for _, r := range m.list {
		want := l.expected(r.job)
		if usual, ok := r.job.usualTook(); ok {
			want = usual
		}
		ran := l.n.now - r.started
		left := time.Duration(float64(want)*factor) - ran
		if left < ran && ran > want {
			left = ran // overdue: the factor is but a lower bound
		}
		switch {
		case r.stop != nil || r.job.moved[r.index]:
		case r.phase != phaseRunning:
			l.stopRun(r, 0)
		case r.job.spec.CheckpointS > 0:
			l.move(r, l.saveGrace(r))
		case left > want:
			l.move(r, 0)
		}
	}
}

// move stops a run so that it goes on elsewhere, once: a task that simply takes
// longer than its siblings looks the same on every machine, and was stopped on one
// after the other for ever.
func (l *leadership) move(r *run, grace float64) {
	if r.job.moved == nil {
		r.job.moved = map[int]bool{}
	}
	r.job.moved[r.index] = true
	l.stopRun(r, grace)
}

// saveGrace is the time a task is given to save, with room for a slow machine.
func (l *leadership) saveGrace(r *run) float64 {
	return 2*r.job.spec.SaveS + l.n.report().Seconds()
}

// takeNotice drains a machine that the cloud is about to take.
func (l *leadership) takeNotice(m *machine, notice *float64) {
	if notice == nil {
		return
	}
	left := config.Seconds(*notice)
	if m.notice == never {
		l.n.log.Info("spot notice", "machine", m.name, "left", left)
		l.dirty = true
	}
	m.notice = l.n.now + left
	l.leave(m, noticed)
	for _, r := range m.list {
		if r.stop != nil {
			continue
		}
		if l.remaining(r) <= left {
			continue
		}
		grace := 0.0
		if r.job.spec.CheckpointS > 0 {
			grace = *notice
		}
		l.stopRun(r, grace)
	}
}

// remaining is how long a run should still take.
func (l *leadership) remaining(r *run) time.Duration { return l.remainingOf(r, l.expected(r.job)) }

// remainingOf is the same of a run that is expected to take want in all.
func (l *leadership) remainingOf(r *run, want time.Duration) time.Duration {
	if r.phase == phaseRunning {
		return max(want-(l.n.now-r.started), want/8)
	}
	return want
}

// cause is why a machine is returned, as operators read it.
type cause string

const (
	surplus     cause = "surplus"       // it is no longer needed
	noticed     cause = "notice"        // the cloud takes it soon
	slow        cause = "slow"          // it runs its tasks far slower than others
	sick        cause = "sick"          // tasks fail on it
	deaf        cause = "deaf"          // it hears no answer
	silent      cause = "silent"        // it does not report
	neverUp     cause = "never came up" // it has not reported yet
	failedAlone cause = "failed"        // it stopped on its own, says the cloud
	notListed   cause = "not listed"    // the cloud does not name it
)

// leave marks a machine to be returned as soon as it is empty.
func (l *leadership) leave(m *machine, why cause) {
	if m.why == "" || why != surplus {
		m.why = why
	}
	if !m.emptying {
		m.emptying = true
		l.dirty = true
		for _, r := range m.list {
			if r.phase == phaseAssigned {
				l.release(r)
			}
		}
	}
}
