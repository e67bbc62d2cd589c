package coordination

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// candidateHeap is a heap of the machines on which tasks of a job may start now, best first: by
// load in steps, then by fetch time of the image, then by exact load. The machines are scored
// once for all tasks of the job; scoring them for each task would cost machines x tasks.
type candidates struct {
	scheduler *scheduler
	job       *job
	list      []candidate // in heap order

	quick bool // machines with a long image fetch are excluded
}

// candidate is a feasible machine with its score; lower values are better.
type candidate struct {
	m           *machine
	spare, step int
	image, load float64
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (c *candidates) Len() int { return len(c.list) }

func (c *candidates) Swap(i, j int) { c.list[i], c.list[j] = c.list[j], c.list[i] }

func (c *candidates) Push(x any) { c.list = append(c.list, x.(candidate)) }

func (c *candidates) Less(i, j int) bool {
	a, b := &c.list[i], &c.list[j]
	return cmp.Or(cmp.Compare(a.spare, b.spare), cmp.Compare(a.step, b.step), cmp.Compare(a.image, b.image),
		cmp.Compare(a.load, b.load), cmp.Compare(a.m.name, b.m.name)) < 0
}

func (c *candidates) Pop() any {
	last := c.list[len(c.list)-1]
	c.list = c.list[:len(c.list)-1]
	return last
}

// findCandidates filters and scores the machines for a job. Unless mayFetch is set, only machines
// that have the job's image qualify.
func (s *scheduler) candidates(j *job, machines []*machine, fetch bool) *candidates {
	c := &candidates{scheduler: s, job: j}
	quick := math.Inf(1)
	if fetch {
		quick = s.quickFetch(j)
		c.quick = !math.IsInf(quick, 1)
	}
	// Faulty machines are idle, so the score alone would choose them again and again.
	elsewhere := j.bad && s.clock.Now() < j.probeAt+3*s.report()
	for _, m := range machines {
		s.looked++
		if elsewhere && j.failedOn[m.name] {
			continue
		}
		if (m.ready() || m.lastResort() && s.leftWaiting(j)) && s.mayPlace(j, m) && allowed(&j.spec, m) &&
			(m.hasImage(j.spec.Image) || (fetch && j.spec.ImageGB/m.kind.PullGBPerS <= quick)) {
			c.list = append(c.list, c.rate(m))
		}
	}
	heap.Init(c)
	return c
}

// maxFetchSeconds returns how long a task of the job may fetch its image. A job with a start
// objective of seconds waits for a machine that has the image, if there is one, because a long
// fetch elsewhere would miss the objective for certain; but it waits only for imageWaitPercent of
// that objective.
func (s *scheduler) quickFetch(j *job) float64 {
	within := s.startAim(j)
	if within == 0 || !s.tooSoonToRent(within) || s.clock.Now() > j.from+within*imageWait/100 {
		return math.Inf(1)
	}
	if j.imageSeen != s.scheduled {
		// Once per full pass: scanning all machines on each heartbeat would cost machines x jobs.
		j.imageSeen, j.imageHeld = s.scheduled, false
		for _, m := range s.held() {
			s.looked++
			if m.ready() && m.hasImage(j.spec.Image) && allowed(&j.spec, m) {
				j.imageHeld = true
				break
			}
		}
	}
	if j.imageHeld {
		return (j.from + within - s.clock.Now()).Seconds()
	}
	return math.Inf(1)
}

// imageWaitPercent is the percentage of a start objective during which a job waits for a machine
// that has its image.
const imageWait = 60

// score returns a machine's score for the job.
func (c *candidates) rate(m *machine) candidate {
	x := candidate{m: m, load: max(m.cores/m.kind.Cores, m.ram/m.kind.RAM)}
	x.step = int(x.load * float64(c.scheduler.settings.LoadSteps))
	if image := c.job.spec.Image; !m.hasImage(image) {
		x.image = c.job.spec.ImageGB / m.kind.PullGBPerS
	}
	if m.emptying {
		x.spare = 1 // keep surplus machines empty unless no other has room
		if m.why == slow {
			x.spare = 2
		}
	}
	return x
}

// bestMachine returns the best machine for a task, or nil. It skips the machine on which the task
// failed last.
func (c *candidates) leastLoaded(avoid string) *machine {
	var passed *candidate
	defer func() {
		if passed != nil {
			heap.Push(c, *passed)
		}
	}()
	for len(c.list) > 0 {
		m := c.list[0].m
		switch {
		case !c.inPlace(m):
			heap.Pop(c)
		case m.name == avoid:
			x := heap.Pop(c).(candidate)
			passed = &x
		default:
			return m
		}
	}
	return nil
}

// satisfiesZoneConstraints reports whether the placement of the job's other tasks allows one in
// the machine's zone.
func (c *candidates) inPlace(m *machine) bool {
	spec := &c.job.spec
	if !spec.SameZone && !spec.Spread {
		return true
	}
	there := 0
	for _, r := range c.job.runs {
		if r.m.zone == m.zone {
			there++
		} else if spec.SameZone {
			return false
		}
	}
	return !spec.Spread || there < (spec.Tasks+1)/2
}

// rescore updates a machine's score after a task was placed on it.
func (c *candidates) placed(m *machine) {
	at := slices.IndexFunc(c.list, func(x candidate) bool { return x.m == m })
	if c.scheduler.mayPlace(c.job, m) {
		c.list[at] = c.rate(m)
		heap.Fix(c, at)
	} else {
		heap.Remove(c, at)
	}
}
