package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"hitchdoor/internal/cluster"
)

// candidateHeap is a heap of the machines on which tasks of a job may start now, best first: by
// load in steps, then by fetch time of the image, then by exact load. The machines are scored
// once for all tasks of the job; scoring them for each task would cost machines x tasks.
type candidateHeap struct {
	scheduler *Scheduler
	job       *cluster.Job
	entries   []candidate // in heap order

	slowFetchExcluded bool // machines with a long image fetch are excluded
}

// candidate is a feasible machine with its score; lower values are better.
type candidate struct {
	machine                *cluster.Machine
	drainPenalty, loadStep int
	fetchSeconds, load     float64
}

// Len, Swap, Push, Less and Pop implement heap.Interface.
func (c *candidateHeap) Len() int { return len(c.entries) }

func (c *candidateHeap) Swap(i, j int) { c.entries[i], c.entries[j] = c.entries[j], c.entries[i] }

func (c *candidateHeap) Push(x any) { c.entries = append(c.entries, x.(candidate)) }

func (c *candidateHeap) Less(i, j int) bool {
	a, b := &c.entries[i], &c.entries[j]
	return cmp.Or(
		cmp.Compare(a.drainPenalty, b.drainPenalty),
		cmp.Compare(a.loadStep, b.loadStep),
		cmp.Compare(a.fetchSeconds, b.fetchSeconds),
		cmp.Compare(a.load, b.load),
		cmp.Compare(a.machine.Name, b.machine.Name),
	) < 0
}

// Pop removes the last element, as container/heap requires.
func (c *candidateHeap) Pop() any {
	last := c.entries[len(c.entries)-1]
	c.entries = c.entries[:len(c.entries)-1]
	return last
}

// FindCandidates filters and scores the machines for a job. Unless mayFetch is set, only machines
// that have the job's image qualify.
func (s *Scheduler) FindCandidates(j *cluster.Job, machines []*cluster.Machine, mayFetch bool) *candidateHeap {
	candidates := &candidateHeap{scheduler: s, job: j}
	maxFetch := math.Inf(1)
	if mayFetch {
		maxFetch = s.maxFetchSeconds(j)
		candidates.slowFetchExcluded = !math.IsInf(maxFetch, 1)
	}
	// Faulty machines are idle, so the score alone would choose them again and again.
	avoidFailedMachines := j.FailsEverywhere && s.Clock.Now() < j.NextProbeAt+3*s.HeartbeatInterval()
	for _, m := range machines {
		s.CandidatesExamined++
		if avoidFailedMachines && j.FailedMachines[m.Name] {
			continue
		}
		if !s.acceptsTask(m, j) {
			continue
		}
		if m.HasImage(j.Spec.Image) || mayFetch && j.Spec.ImageGB/m.MachineType.PullGBPerSecond <= maxFetch {
			candidates.entries = append(candidates.entries, candidates.score(m))
		}
	}
	heap.Init(candidates)
	return candidates
}

// acceptsTask reports whether a machine may run a task of the job now, image aside.
func (s *Scheduler) acceptsTask(m *cluster.Machine, j *cluster.Job) bool {
	available := m.Schedulable() || m.IsLastResort() && s.mayUseLastResort(j)
	return available && s.fitsBesideReservation(j, m) && cluster.Feasible(&j.Spec, m)
}

// maxFetchSeconds returns how long a task of the job may fetch its image. A job with a start
// objective of seconds waits for a machine that has the image, if there is one, because a long
// fetch elsewhere would miss the objective for certain; but it waits only for imageWaitPercent of
// that objective.
func (s *Scheduler) maxFetchSeconds(j *cluster.Job) float64 {
	limit := s.StartSLO(j)
	if limit == 0 || !s.TooSoonToScaleOut(limit) || s.Clock.Now() > j.EligibleAt+limit*imageWaitPercent/100 {
		return math.Inf(1)
	}
	if j.ImageCheckedAt != s.LastPass {
		// Once per full pass: scanning all machines on each heartbeat would cost machines x jobs.
		j.ImageCheckedAt, j.ImageAvailable = s.LastPass, false
		for _, m := range s.MachinesByName() {
			s.CandidatesExamined++
			if m.Schedulable() && m.HasImage(j.Spec.Image) && cluster.Feasible(&j.Spec, m) {
				j.ImageAvailable = true
				break
			}
		}
	}
	if j.ImageAvailable {
		return (j.EligibleAt + limit - s.Clock.Now()).Seconds()
	}
	return math.Inf(1)
}

// imageWaitPercent is the percentage of a start objective during which a job waits for a machine
// that has its image.
const imageWaitPercent = 60

// score returns a machine's score for the job.
func (c *candidateHeap) score(m *cluster.Machine) candidate {
	scored := candidate{machine: m, load: max(m.UsedCores/m.MachineType.Cores, m.UsedRAM/m.MachineType.MemoryGB)}
	scored.loadStep = int(scored.load * float64(c.scheduler.Settings.LoadSteps))
	if image := c.job.Spec.Image; !m.HasImage(image) {
		scored.fetchSeconds = c.job.Spec.ImageGB / m.MachineType.PullGBPerSecond
	}
	if m.Draining {
		scored.drainPenalty = 1 // keep surplus machines empty unless no other has room
		if m.DrainReason == cluster.SlowExecution {
			scored.drainPenalty = 2
		}
	}
	return scored
}

// BestMachine returns the best machine for a task, or nil. It skips the machine on which the task
// failed last.
func (c *candidateHeap) BestMachine(avoidedMachine string) *cluster.Machine {
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
		case m.Name == avoidedMachine:
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
func (c *candidateHeap) satisfiesZoneConstraints(m *cluster.Machine) bool {
	spec := &c.job.Spec
	if !spec.SameZone && !spec.Spread {
		return true
	}
	tasksInZone := 0
	for _, r := range c.job.Attempts {
		if r.Machine.Zone == m.Zone {
			tasksInZone++
		} else if spec.SameZone {
			return false
		}
	}
	return !spec.Spread || tasksInZone < (spec.TaskCount+1)/2
}

// rescore updates a machine's score after a task was placed on it.
func (c *candidateHeap) rescore(m *cluster.Machine) {
	position := slices.IndexFunc(c.entries, func(x candidate) bool { return x.machine == m })
	if c.scheduler.fitsBesideReservation(c.job, m) {
		c.entries[position] = c.score(m)
		heap.Fix(c, position)
	} else {
		heap.Remove(c, position)
	}
}
