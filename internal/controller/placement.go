package controller

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
)

// candidateHeap is a heap of the machines on which tasks of a job may start now, best first: by
// load in steps, then by fetch time of the image, then by exact load. The machines are scored
// once for all tasks of the job; scoring them for each task would cost machines x tasks.
type candidateHeap struct {
	scheduler *scheduler
	job       *job
	entries   []candidate // in heap order

	slowFetchExcluded bool // machines with a long image fetch are excluded
}

// candidate is a feasible machine with its score; lower values are better.
type candidate struct {
	machine                *machine
	drainPenalty, loadStep int
	fetchSeconds, load     float64
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (c *candidateHeap) Len() int { return len(c.entries) }

func (c *candidateHeap) Swap(i, j int) { c.entries[i], c.entries[j] = c.entries[j], c.entries[i] }

func (c *candidateHeap) Push(x any) { c.entries = append(c.entries, x.(candidate)) }

func (c *candidateHeap) Less(i, j int) bool {
	a, b := &c.entries[i], &c.entries[j]
	return cmp.Or(cmp.Compare(a.drainPenalty, b.drainPenalty), cmp.Compare(a.loadStep, b.loadStep), cmp.Compare(a.fetchSeconds, b.fetchSeconds),
		cmp.Compare(a.load, b.load), cmp.Compare(a.machine.name, b.machine.name)) < 0
}

func (c *candidateHeap) Pop() any {
	last := c.entries[len(c.entries)-1]
	c.entries = c.entries[:len(c.entries)-1]
	return last
}

// findCandidates filters and scores the machines for a job. Unless mayFetch is set, only machines
// that have the job's image qualify.
func (s *scheduler) findCandidates(j *job, machines []*machine, mayFetch bool) *candidateHeap {
	candidates := &candidateHeap{scheduler: s, job: j}
	maxFetch := math.Inf(1)
	if mayFetch {
		maxFetch = s.maxFetchSeconds(j)
		candidates.slowFetchExcluded = !math.IsInf(maxFetch, 1)
	}
	// Faulty machines are idle, so the score alone would choose them again and again.
	avoidFailedMachines := j.failsEverywhere && s.clock.Now() < j.nextProbeAt+3*s.heartbeatInterval()
	for _, m := range machines {
		s.candidatesExamined++
		if avoidFailedMachines && j.failedMachines[m.name] {
			continue
		}
		if (m.schedulable() || m.isLastResort() && s.mayUseLastResort(j)) && s.fitsBesideReservation(j, m) && feasible(&j.spec, m) &&
			(m.hasImage(j.spec.Image) || (mayFetch && j.spec.ImageGB/m.machineType.PullGBPerSecond <= maxFetch)) {
			candidates.entries = append(candidates.entries, candidates.score(m))
		}
	}
	heap.Init(candidates)
	return candidates
}

// maxFetchSeconds returns how long a task of the job may fetch its image. A job with a start
// objective of seconds waits for a machine that has the image, if there is one, because a long
// fetch elsewhere would miss the objective for certain; but it waits only for imageWaitPercent of
// that objective.
func (s *scheduler) maxFetchSeconds(j *job) float64 {
	limit := s.startSLO(j)
	if limit == 0 || !s.tooSoonToScaleOut(limit) || s.clock.Now() > j.eligibleAt+limit*imageWaitPercent/100 {
		return math.Inf(1)
	}
	if j.imageCheckedAt != s.lastPass {
		// Once per full pass: scanning all machines on each heartbeat would cost machines x jobs.
		j.imageCheckedAt, j.imageAvailable = s.lastPass, false
		for _, m := range s.machinesByName() {
			s.candidatesExamined++
			if m.schedulable() && m.hasImage(j.spec.Image) && feasible(&j.spec, m) {
				j.imageAvailable = true
				break
			}
		}
	}
	if j.imageAvailable {
		return (j.eligibleAt + limit - s.clock.Now()).Seconds()
	}
	return math.Inf(1)
}

// imageWaitPercent is the percentage of a start objective during which a job waits for a machine
// that has its image.
const imageWaitPercent = 60

// score returns a machine's score for the job.
func (c *candidateHeap) score(m *machine) candidate {
	scored := candidate{machine: m, load: max(m.usedCores/m.machineType.Cores, m.usedRAM/m.machineType.MemoryGB)}
	scored.loadStep = int(scored.load * float64(c.scheduler.settings.LoadSteps))
	if image := c.job.spec.Image; !m.hasImage(image) {
		scored.fetchSeconds = c.job.spec.ImageGB / m.machineType.PullGBPerSecond
	}
	if m.draining {
		scored.drainPenalty = 1 // keep surplus machines empty unless no other has room
		if m.drainReason == slowExecution {
			scored.drainPenalty = 2
		}
	}
	return scored
}

// bestMachine returns the best machine for a task, or nil. It skips the machine on which the task
// failed last.
func (c *candidateHeap) bestMachine(avoidedMachine string) *machine {
	var avoided *candidate
	defer func() {
		if avoided != nil {
			heap.Push(c, *avoided)
		}
	}()
	for len(c.entries) > 0 {
		m := c.entries[0].machine
		switch {
		case !c.satisfiesZoneConstraints(m):
			heap.Pop(c)
		case m.name == avoidedMachine:
			skipped := heap.Pop(c).(candidate)
			avoided = &skipped
		default:
			return m
		}
	}
	return nil
}

// satisfiesZoneConstraints reports whether the placement of the job's other tasks allows one in
// the machine's zone.
func (c *candidateHeap) satisfiesZoneConstraints(m *machine) bool {
	spec := &c.job.spec
	if !spec.SameZone && !spec.Spread {
		return true
	}
	tasksInZone := 0
	for _, r := range c.job.attempts {
		if r.machine.zone == m.zone {
			tasksInZone++
		} else if spec.SameZone {
			return false
		}
	}
	return !spec.Spread || tasksInZone < (spec.TaskCount+1)/2
}

// rescore updates a machine's score after a task was placed on it.
func (c *candidateHeap) rescore(m *machine) {
	position := slices.IndexFunc(c.entries, func(x candidate) bool { return x.machine == m })
	if c.scheduler.fitsBesideReservation(c.job, m) {
		c.entries[position] = c.score(m)
		heap.Fix(c, position)
	} else {
		heap.Remove(c, position)
	}
}
