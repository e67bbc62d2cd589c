package coordination

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/config"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
)

// leadership is all that a node knows while it leads. It is made anew for each
// term and dropped when the term ends.
type leadership struct {
	n        *Node
	term     uint64
	since    Instant
	loaded   bool
	dirty    bool
	complete bool // all machines were accounted for once

	attempts  uint64
	partTasks int // that one part of a bitmap covers
	widePart  int // the same, as level 0 has it
	writer    *storage.Writer
	probing   bool

	jobs         map[string]*job
	runnable     map[string]*job           // those of them that wait for no others
	after        map[string][]*job         // those that wait for a job that is not known to be over, by its id
	needs        map[string][]storage.Item // read before the jobs that need them
	reading      map[string]bool           // jobs of which that is under way
	lookups      map[string]Instant        // needed jobs that are not open here: when to read what became of them
	lookupBudget bucket                    // those reads
	over         map[string]bool           // ended in this term
	classes      map[string]*class
	aims         map[string][]aim   // by class, shortest first
	shares       map[string]float64 // by class, the least share of jobs that an aim asks for
	startWithin  time.Duration      // aim on starting guaranteed work; 0: none
	usage        map[string]*usage  // by team

	machines       map[string]*machine
	catalogShape   string        // of the machine types last stored, without prices
	groups         []*group      // that record them
	groupBytes     int           // how large their records may grow
	groupsFrom     int           // the least number that a new one gets
	sorted         []*machine    // by name; nil: to be made anew
	checkedAt      Instant       // when all were looked at
	totals         machineTotals // of them, as of the last change
	totalsValid    bool
	order          []ranked           // jobs that wait, as of the last full pass
	guaranteedJobs map[*job]bool      // those that fit into their team's guarantee, as of then
	pressed        bool               // pressing work had waited for too long then
	active         [2]int             // tasks on machines, by class: batch, pressing
	gone           map[string]Instant // returned or taken, and when
	heardWorker    Instant
	servesMostAt   Instant   // when clearly more workers were last not stranded elsewhere
	servedAt       Instant   // when an answer was last known to have reached its worker
	servedDirectAt Instant   // the same, over a connection of this node's own
	elsewhereSince Instant   // since when workers come to other nodes
	earlyReports   []Request // reports that came while loading
	quarantine     quarantine
	recovery       *recovery.Recovery
	unreadBits     map[string][]storage.Item // parts of bitmaps of jobs that are not read yet
	needsReads     map[string]int            // how often the jobs that a job needs were read

	looked        int // machines and jobs looked at for admission: what must not grow with a report
	watchRev      uint64
	watching      bool
	watchFailures int // watches in a row of which nothing came
	scheduled     Instant
	preemptedAt   Instant
	timers        []timer
	fleet         fleetControl
	admission     admissionControl
}

// usage is what a team's tasks hold, from command to confirmed end.
type usage struct{ cores, accelerators float64 }

func newLeadership(n *Node, term, leaderVer uint64) *leadership {
	l := &leadership{
		n: n, term: term, since: n.now, heardWorker: n.now, servesMostAt: n.now, servedAt: n.now, servedDirectAt: n.now, elsewhereSince: never,
		partTasks:  storage.PartTasks(n.cfg.Cluster.State.ValueBytes()),
		widePart:   storage.PartTasks(int(n.cfg.Cluster.State.ValueKB * 1024)),
		groupBytes: storage.GroupBytes(n.cfg.Cluster.State.ValueBytes()),
		writer:     storage.NewWriter(n.cfg.Cluster.State.Ops(), leaderVer),
		scheduled:  never, checkedAt: never,
		lookupBudget: newBucket(n.cfg.Cluster.State.RPS*lookupShare, n.cfg.Cluster.State.RPS*lookupShare),
		jobs:         map[string]*job{}, runnable: map[string]*job{}, after: map[string][]*job{}, needs: map[string][]storage.Item{}, reading: map[string]bool{}, lookups: map[string]Instant{},
		over: map[string]bool{}, classes: map[string]*class{},
		aims: map[string][]aim{}, shares: map[string]float64{}, usage: map[string]*usage{},
		machines: map[string]*machine{}, gone: map[string]Instant{},
		quarantine: newQuarantine(), recovery: n.newRecovery(), unreadBits: map[string][]storage.Item{}, needsReads: map[string]int{},
	}
	for _, o := range n.cfg.Cluster.Objectives {
		if o.Kind == "guarantee" {
			l.startWithin = config.Seconds(o.WithinS)
		}
		if least, ok := l.shares[o.Class]; o.Class != "" && (!ok || o.Share < least) {
			l.shares[o.Class] = o.Share
		}
		if o.Kind == "finished" || o.Kind == "wait" {
			l.aims[o.Class] = append(l.aims[o.Class], aim{config.Seconds(o.WithinS), o.Kind == "wait"})
		}
	}
	for class, aims := range l.aims {
		if slices.ContainsFunc(aims, func(a aim) bool { return !a.start }) {
			aims = slices.DeleteFunc(aims, func(a aim) bool { return a.start })
		}
		slices.SortFunc(aims, func(a, b aim) int { return cmp.Compare(a.within, b.within) })
		l.aims[class] = aims
	}
	for _, t := range n.cfg.Cluster.Teams {
		l.usage[t.Name] = &usage{}
	}
	l.fleet.init(l)
	l.admission.init(l)
	return l
}

// attemptBits is the counter's share of an attempt; the term is above it, so
// that an attempt is never used twice. Together they stay under 2^53 for two million terms.
// Of 24 bits, 4,000 machines with short tasks used up all within hours, and the next ones
// were those of the term after.
const attemptBits = 32

// lastAttempt is where a leader hands over to a new term, some passes before its counter ends.
const lastAttempt = 1<<attemptBits - 1<<24

func (l *leadership) nextAttempt() uint64 {
	l.attempts++
	return l.term<<attemptBits | l.attempts
}

// close answers everybody who waits.
func (l *leadership) close() {
	for _, j := range l.jobs {
		for _, o := range j.cancel {
			l.n.unavailable(o)
		}
	}
	l.turnEarlyAway()
}

// turnEarlyAway answers the reports that wait for the records to be read: workers would
// wait for four seconds for an answer that can't come now.
func (l *leadership) turnEarlyAway() {
	for _, r := range l.earlyReports {
		l.n.reply(r.Origin, 503, 1, nil)
	}
	l.earlyReports = nil
}

// load reads all records. Nothing is decided before they are all there.
func (l *leadership) load() {
	steps := []struct {
		prefix string
		take   func([]storage.Item)
	}{
		{storage.VersionPrefix, l.n.takeVersions},
		{storage.NeedsPrefix, l.loadNeeds}, // before the jobs: what is written later is read with them
		{storage.JobPrefix, l.loadJobs},
		{storage.BitsPrefix, l.loadBits},
		{storage.GroupPrefix, l.loadGroups},
		{storage.MachinePrefix, l.loadMachines},
		{storage.RentPrefix, l.loadRentals},
		{storage.FlowKey, l.fleet.loadForecast},
		{storage.CatalogKey, l.knowAll},
		{storage.PolicyKey, l.admission.load},
	}
	var next func(int)
	next = func(i int) {
		if i == len(steps) {
			l.ready()
			return
		}
		l.readAll(steps[i].prefix, "", steps[i].take, func() { next(i + 1) })
	}
	next(0)
}

// pageItems bounds one page of a listing, so that it fits the memory.
const pageItems = 200

func (l *leadership) readAll(prefix, since string, take func([]storage.Item), then func()) {
	n := l.n
	n.stateCall("GET", storage.ListPath(prefix, since, pageItems), nil, func(r Result) {
		if n.lead != l {
			return
		}
		var page storage.Page
		if r.Status != 200 || json.Unmarshal(r.Body, &page) != nil {
			l.later(func() { l.readAll(prefix, since, take, then) })
			return
		}
		if prefix == storage.JobPrefix && since == "" {
			l.watchRev = page.Revision
		}
		take(page.Items)
		if page.Truncated && len(page.Items) > 0 {
			l.readAll(prefix, page.Items[len(page.Items)-1].Key, take, then)
			return
		}
		then()
	})
}

// later does something after a short while.
func (l *leadership) later(f func()) {
	at := l.n.now + l.n.lease()/50
	l.timers = append(l.timers, timer{at, f})
}

type timer struct {
	at Instant
	f  func()
}

func (l *leadership) loadJobs(items []storage.Item) {
	for _, it := range items {
		id := strings.TrimPrefix(it.Key, storage.JobPrefix)
		if l.quarantine.jobs[id] {
			// Mended, or read once more. Its revision would say that no earlier leader can have
			// started it, so only the next leader takes it.
			l.quarantine.checkAt = l.n.now
			continue
		}
		rec, err := storage.ReadJob(it)
		if err != nil {
			l.holdUnreadJob(id, it, err)
			continue
		}
		if !rec.TakeNeeds(l.needs[id]) {
			l.readNeeds(it, rec.More)
			continue
		}
		delete(l.needs, id)
		if _, over := l.n.finals.byID[id]; over && !l.loaded {
			l.setAside(it, errOpenAndOver)
			continue
		}
		if l.addJob(rec, it.Version) != nil {
			bits := l.unreadBits[id]
			delete(l.unreadBits, id)
			l.loadBits(bits)
		}
	}
}

// loadNeeds reads what does not fit the records of the jobs that need it.
func (l *leadership) loadNeeds(items []storage.Item) {
	l.knowAll(items)
	for _, it := range items {
		id := storage.NeedsOf(it.Key)
		if _, err := storage.ReadNeeds(it); err != nil {
			l.holdUnreadJob(id, it, err)
		}
		l.needs[id] = append(l.needs[id], it)
	}
}

// readNeeds does the same for one job that has come since. A job is not known before
// all that it needs is: it would start at once.
func (l *leadership) readNeeds(job storage.Item, records int) {
	id := strings.TrimPrefix(job.Key, storage.JobPrefix)
	if l.jobs[id] != nil || l.reading[id] || l.quarantine.jobs[id] {
		return
	}
	if l.needsReads[id]++; l.needsReads[id] > maxNeedsReads {
		l.holdUnreadJob(id, job, errNeedsMissing)
		return
	}
	l.reading[id] = true
	delete(l.needs, id)
	l.readAll(storage.NeedsPrefix+id+"/", "", l.loadNeeds, func() {
		delete(l.reading, id)
		if len(l.needs[id]) != records {
			l.later(func() { l.readNeeds(job, records) })
			return
		}
		l.loadJobs([]storage.Item{job})
	})
}

// maxNeedsReads is how often the jobs that a job needs are read: they were written together
// with it, so they are all there unless a page was read before that.
const maxNeedsReads = 3

var errNeedsMissing = errors.New("names more records of the jobs that it needs than there are")

// dropNeeds drops what is left of jobs that are over.
func (l *leadership) dropNeeds() {
	for _, id := range slices.Sorted(maps.Keys(l.needs)) {
		for _, it := range l.needs[id] {
			if l.jobs[id] == nil && !l.reading[id] && !l.quarantine.jobs[id] {
				l.dropKnown(it.Key)
			}
		}
		delete(l.needs, id)
	}
}

func (l *leadership) loadBits(items []storage.Item) {
	for _, it := range items {
		l.writer.Know(it.Key, it.Version)
		id, from, ok := storage.ParseBitsKey(it.Key, l.widePart)
		if !ok {
			continue // no name of ours: a newer version may know it
		}
		if l.reading[id] || l.quarantine.jobs[id] {
			l.unreadBits[id] = append(l.unreadBits[id], it)
			continue
		}
		j := l.jobs[id]
		if j == nil {
			l.dropKnown(it.Key)
			continue
		}
		bits, err := storage.ReadBits(it)
		if err != nil {
			l.holdJob(j, it, err)
			continue
		}
		if from >= j.spec.Tasks {
			l.dropKnown(it.Key)
			continue
		}
		at := slices.IndexFunc(j.parts, func(p *partState) bool { return p.key == it.Key })
		if at >= 0 {
			j.parts[at].stored = bits
		}
		for i := range bits {
			for b := 0; b < 8; b++ {
				index := from + i*8 + b
				if bits[i]&(1<<b) != 0 && index < j.spec.Tasks {
					l.setDone(j, index)
				}
			}
		}
		if at < 0 {
			l.dropKnown(it.Key) // of another layout; what it holds is written first
		}
	}
}

// knowAll notes the versions of records that are read elsewhere.
func (l *leadership) knowAll(items []storage.Item) {
	for _, it := range items {
		l.writer.Know(it.Key, it.Version)
	}
}

func (l *leadership) loadGroups(items []storage.Item) {
	for _, it := range items {
		rec, unreadable, err := storage.ReadGroup(it)
		if err != nil {
			l.holdGroup(it, err)
			continue
		}
		if len(unreadable) > 0 {
			l.loadDamagedGroup(it, rec, unreadable)
			continue
		}
		l.writer.Know(it.Key, it.Version)
		g := l.newGroup(it.Key)
		for name, r := range rec {
			m := l.machines[name]
			if m == nil {
				m = l.loadMachine(name, r)
			} else if m.group != nil {
				// An earlier leader was about to move it.
				m.group.remove(l, m)
				l.storeGroup(m.group, false)
			}
			m.used = m.used || r.Used
			m.wantsUse, m.accounted = m.used, !m.used
			g.add(l, m)
			if !r.Used && m.used {
				l.storeGroup(g, true) // before the other group's record, which says so, goes
			}
		}
	}
}

// loadDamagedGroup takes over the machines of a group of which some entries can't be read. The
// group is set aside, and its machines are recorded in others. Of one whose entry can't be read
// only the name is known, so it may be running anything.
func (l *leadership) loadDamagedGroup(it storage.Item, rec storage.GroupRecord, unreadable []string) {
	slices.Sort(unreadable)
	l.setAside(it, fmt.Errorf("the entries of these machines can't be read: %s", strings.Join(unreadable, ", ")))
	for _, name := range unreadable {
		rec[name] = storage.MachineRecord{Used: true, AtMS: l.n.wallMS()}
	}
	for _, name := range slices.Sorted(maps.Keys(rec)) {
		m := l.machines[name]
		if m == nil {
			m = l.loadMachine(name, rec[name])
			m.used = rec[name].Used
		}
		m.accounted = m.accounted && !rec[name].Used
		if m.typ != "" {
			l.record(m, m.used)
		}
	}
}

// loadMachines reads the records of single machines that earlier versions wrote,
// and moves them into groups.
func (l *leadership) loadMachines(items []storage.Item) {
	for _, it := range items {
		var rec storage.MachineRecord
		name := strings.TrimPrefix(it.Key, storage.MachinePrefix)
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			l.setAside(it, err)
			if l.machines[name] == nil {
				l.loadMachine(name, storage.MachineRecord{Used: true, AtMS: l.n.wallMS()})
			}
			continue
		}
		l.writer.Know(it.Key, it.Version)
		m := l.machines[name]
		if m == nil {
			m = l.loadMachine(name, rec)
		}
		m.accounted = m.accounted && !rec.Used
		l.record(m, rec.Used)
		l.dropKnown(it.Key)
	}
}

func (l *leadership) loadMachine(name string, rec storage.MachineRecord) *machine {
	m := l.newMachine(name, rec.Type, rec.Zone, rec.Spot)
	m.accounted = !rec.Used
	m.rentedAt = min(l.n.instantOf(rec.AtMS), l.n.now)
	return m
}

func (l *leadership) loadRentals(items []storage.Item) {
	for _, it := range items {
		rental, err := storage.ReadRental(it)
		if err != nil {
			l.setAside(it, err)
			continue
		}
		l.writer.Know(it.Key, it.Version)
		l.fleet.rentals = append(l.fleet.rentals, &renting{Rental: rental, durable: true})
	}
}

// ready begins to decide.
func (l *leadership) ready() {
	l.loaded, l.dirty = true, true
	l.dropNeeds()
	l.splitGroups()
	l.fleet.inherit()
	l.storeCatalog()
	l.tickRecovery()
	l.n.log.Info("records read", "jobs", len(l.jobs), "machines", len(l.machines))
	early := l.earlyReports
	l.earlyReports = nil
	for _, r := range early {
		l.onReport(r)
	}
}

func (l *leadership) tick() {
	n := l.n
	timers := l.timers
	l.timers = nil
	for _, t := range timers {
		if n.now >= t.at {
			t.f()
		} else {
			l.timers = append(l.timers, t)
		}
	}
	if !l.loaded && n.elect.stateLost() {
		l.turnEarlyAway()
	}
	l.tickRecovery()
	if !l.loaded || n.lead != l {
		return
	}
	if !l.watching {
		l.watch()
	}
	l.tickLookups()
	l.tickQuarantine()
	if n.lead != l {
		return
	}
	l.checkMachines()
	l.fleet.tick()
	l.admission.tick()
	if n.now >= l.scheduled+n.report()/passesPerReport && (l.dirty || n.now >= l.scheduled+n.report()) {
		// Without any change, too: what waits may not wait any longer.
		l.schedule()
	}
	l.pump()
}

// pump keeps one transaction of the writer under way.
func (l *leadership) pump() {
	n := l.n
	if l.probing || l.writer.InFlight() || l.writer.Pending() == 0 {
		return
	}
	n.writeBudget.refill(n.now)
	if t := l.writer.Next(int(n.writeBudget.level)); t != nil {
		l.commit(t)
	}
}

func (l *leadership) commit(t *storage.Txn) {
	n := l.n
	n.writeBudget.level -= float64(l.writer.Ops())
	n.stateCall("POST", "/multi", t, func(r Result) {
		if n.lead != l {
			return
		}
		var res storage.TxnResult
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &res) == nil:
			l.writer.Applied(res.Revision)
			l.pump()
		case r.Status == 409 && l.writer.WasUnclear():
			l.resolve(func() { n.stepDown("a transaction was refused") })
		case r.Status == 400 && l.writer.WasUnclear():
			l.resolve(l.refused)
		case r.Status == 400:
			n.log.Warn("transaction refused", "status", r.Status, "body", string(r.Body))
			l.refused()
		case r.Status == 409:
			// Somebody else wrote where only a leader writes: we are replaced,
			// or our picture is wrong. Either way it must be read again.
			n.log.Warn("transaction refused", "status", r.Status, "body", string(r.Body))
			n.stepDown("a transaction was refused")
		default:
			if r.Status == 0 || r.Status == 504 {
				l.writer.Unclear()
			}
			l.again()
		}
	})
}

// again sends the transaction under way once more after a pause. It is the same
// to the letter: if the first copy was executed, or is executed late, the
// conditions let only one of them through.
func (l *leadership) again() {
	l.later(func() { l.commit(l.writer.Again()) })
}

// refused forms smaller transactions of one that the state service refuses as it
// stands: its limits are lower than the settings say. It is no reason to stop leading.
func (l *leadership) refused() {
	for _, key := range l.writer.Refused() {
		l.n.log.Error("change refused for good", "key", key)
	}
}

// resolve finds out whether a transaction whose first outcome was unclear was
// executed, by reading a key of it; otherwise tells what to do if it was not.
func (l *leadership) resolve(otherwise func()) {
	n := l.n
	l.probing = true
	n.stateCall("GET", "/store/"+l.writer.Probe(), nil, func(r Result) {
		if n.lead != l {
			return
		}
		l.probing = false
		var item storage.Item
		switch {
		case r.Status == 404 && l.writer.Matches(nil):
			l.writer.Applied(0)
		case r.Status == 200 && json.Unmarshal(r.Body, &item) == nil && l.writer.Matches(&item):
			l.writer.Applied(item.Version)
		case r.Status == 200 || r.Status == 404:
			otherwise()
		default:
			l.later(func() { l.resolve(otherwise) })
			l.probing = true
		}
	})
}

// watch follows the open jobs: any node may have written a submission.
func (l *leadership) watch() {
	n := l.n
	l.watching = true
	sent, wait := n.now, n.lease()/2
	n.call(State, "GET", storage.FollowPath(storage.JobPrefix, l.watchRev, wait.Milliseconds()), nil, 4*n.lease(), func(r Result) {
		if n.lead != l {
			return
		}
		var events storage.Events
		switch {
		case r.Status == 200 && json.Unmarshal(r.Body, &events) == nil:
			l.takeEvents(events, n.now < sent+wait/2)
		case r.Status == 410:
			// Too far behind: read the open jobs again. Jobs in the table stay.
			l.rereadJobs()
		case r.Status == 503:
			l.watchFailures = 1 // an outage, as short as may be
			l.watchLater()
		case l.watchFailures == 0:
			l.watchFailures = 1
			l.watchLater()
		default:
			// Twice in a row, so it may be what has changed that can't be told, as it is too
			// much for one answer; pages may get through.
			l.rereadJobs()
		}
	})
}

// maxWatchFailures bounds the pause between two watches, which doubles with each.
const maxWatchFailures = 4

// takeEvents takes what a watch has seen. One that comes back early and brings nothing new
// is no reason to ask again at once: that would be as fast as answers come.
func (l *leadership) takeEvents(events storage.Events, early bool) {
	for _, e := range events.Log {
		if e.Set != "" {
			l.loadJobs([]storage.Item{{Key: e.Set, Value: e.Value, Version: e.Version}})
		}
	}
	if early && (len(events.Log) == 0 || events.Revision <= l.watchRev) {
		l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
		l.watchLater()
		return
	}
	l.watchRev = max(l.watchRev, events.Revision)
	l.watching, l.watchFailures = false, 0
}

// rereadJobs reads the open jobs again, and then goes on watching.
func (l *leadership) rereadJobs() {
	l.watchFailures = min(l.watchFailures+1, maxWatchFailures)
	l.readAll(storage.JobPrefix, "", l.loadJobs, l.watchLater)
}

// watchLater watches again after a pause that grows while nothing comes of it.
func (l *leadership) watchLater() {
	at := l.n.now + l.n.lease()/100<<l.watchFailures
	l.timers = append(l.timers, timer{at, func() { l.watching = false }})
}

// team finds a team's settings.
func (n *Node) team(name string) *config.Team {
	for i := range n.cfg.Cluster.Teams {
		if n.cfg.Cluster.Teams[i].Name == name {
			return &n.cfg.Cluster.Teams[i]
		}
	}
	return nil
}
