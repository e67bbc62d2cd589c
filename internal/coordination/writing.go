package coordination

import (
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/storage"
)

// How a leader's changes are written: by one writer, one transaction at a time.

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
