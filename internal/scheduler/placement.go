package scheduler

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"hitchdoor/internal/cluster"
)

// candidateHeap is a heap of the machines on which tasks of a job may start now, best first. Machines
// that are not draining come first; machines are then ordered by load in coarse steps, by the time to
// pull the image and by exact load. The machines are scored once for all tasks of the job, because
// scoring them for each task would cost machines x tasks.
type candidateHeap struct {
	scheduler *Scheduler
	job       *cluster.Job
	entries   []candidate // in heap order

	slowPullExcluded bool // machines on which pulling the image takes too long are left out
}

// candidate is a machine that accepts the job's tasks, with its score. Lower values are better.
type candidate struct {
	machine                *cluster.Machine
	drainPenalty, loadStep int
	pullSeconds, load      float64
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
		cmp.Compare(a.pullSeconds, b.pullSeconds),
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

// FindCandidates filters and scores the machines for a job. Unless mayPull is set, only machines that
// already have the job's image qualify.
func (s *Scheduler) FindCandidates(job *cluster.Job, machines []*cluster.Machine, mayPull bool) *candidateHeap {
	candidates := &candidateHeap{scheduler: s, job: job}
	maxPullSeconds := math.Inf(1)
	if mayPull {
		maxPullSeconds = s.maxPullSeconds(job)
		candidates.slowPullExcluded = !math.IsInf(maxPullSeconds, 1)
	}
	// A machine on which the job's tasks fail is idle, so its score would make it the best candidate again.
	avoidFailedMachines := job.FailsEverywhere && s.Clock.Now() < job.NextProbeAt+3*s.HeartbeatInterval()
	for _, machine := range machines {
		s.CandidatesExamined++
		if avoidFailedMachines && job.FailedMachines[machine.Name] {
			continue
		}
		if !s.acceptsTask(machine, job) {
			continue
		}
		pullSeconds := job.Spec.ImageGB / machine.MachineType.PullGBPerSecond
		if machine.HasImage(job.Spec.Image) || mayPull && pullSeconds <= maxPullSeconds {
			candidates.entries = append(candidates.entries, candidates.score(machine))
		}
	}
	heap.Init(candidates)
	return candidates
}

// acceptsTask reports whether a task of the job may start on a machine now, whether or not the machine
// has the image.
func (s *Scheduler) acceptsTask(machine *cluster.Machine, job *cluster.Job) bool {
	available := machine.Schedulable() || machine.IsLastResort() && s.mayUseLastResort(machine, job)
	return available && s.fitsBesideReservation(job, machine) && cluster.Feasible(&job.Spec, machine)
}

// mayUseLastResort reports whether a task of the job may start on a slow or unhealthy machine now. On an
// unhealthy one, a single task after the other probes whether tasks still fail. A job whose own tasks have failed
// lately would tell nothing about the machine.
func (s *Scheduler) mayUseLastResort(machine *cluster.Machine, job *cluster.Job) bool {
	if !s.pendingTooLong(job) {
		return false
	}
	probeDue := s.Clock.Now()-machine.ProbedAt > unhealthyProbeInterval && len(job.FailedMachines) == 0
	return machine.DrainReason != cluster.Unhealthy || probeDue
}

// unhealthyProbeInterval is the time between two probes of an unhealthy machine.
const unhealthyProbeInterval = cluster.MaxStartDelay / 8

// maxPullSeconds returns how long a task of the job may take to pull its image; infinity means no
// limit. If a job's start objective is too short to rent a machine within it, and some machine has the
// image, the job waits for that machine rather than for a longer pull, which would certainly miss the
// objective. The job waits for at most imageWaitPercent of the objective.
func (s *Scheduler) maxPullSeconds(job *cluster.Job) float64 {
	limit := s.StartSLO(job)
	if limit == 0 || !s.TooSoonToScaleOut(limit) || s.Clock.Now() > job.EligibleAt+limit*imageWaitPercent/100 {
		return math.Inf(1)
	}
	if job.ImageCheckedAt != s.LastPass {
		// The check is made once per full pass: on each heartbeat it would cost machines x jobs.
		job.ImageCheckedAt, job.ImageAvailable = s.LastPass, false
		for _, machine := range s.MachinesByName() {
			s.CandidatesExamined++
			if machine.Schedulable() && machine.HasImage(job.Spec.Image) && cluster.Feasible(&job.Spec, machine) {
				job.ImageAvailable = true
				break
			}
		}
	}
	if job.ImageAvailable {
		return (job.EligibleAt + limit - s.Clock.Now()).Seconds()
	}
	return math.Inf(1)
}

// imageWaitPercent is the percentage of a start objective during which a job waits for a machine
// that has its image.
const imageWaitPercent = 60

// score returns a machine as a candidate with its current score.
func (c *candidateHeap) score(machine *cluster.Machine) candidate {
	machineType := machine.MachineType
	scored := candidate{
		machine: machine,
		load:    max(machine.UsedCores/machineType.Cores, machine.UsedRAM/machineType.MemoryGB),
	}
	scored.loadStep = int(scored.load * float64(c.scheduler.Settings.LoadSteps))
	scored.pullSeconds = machine.PullSeconds(&c.job.Spec)
	if machine.Draining {
		scored.drainPenalty = 1 // a surplus machine stays empty unless no other machine has room
		if machine.IsLastResort() {
			scored.drainPenalty = 2
		}
	}
	return scored
}

// BestMachine returns the best machine for a task, or nil if there is none. It skips avoidedMachine,
// on which the task failed recently (empty: none). It removes machines whose zone the job's constraints
// exclude.
func (c *candidateHeap) BestMachine(avoidedMachine string) *cluster.Machine {
	var avoided *candidate
	defer func() {
		if avoided != nil {
			heap.Push(c, *avoided)
		}
	}()
	for len(c.entries) > 0 {
		machine := c.entries[0].machine
		switch {
		case !c.satisfiesZoneConstraints(machine):
			heap.Pop(c)
		case machine.Name == avoidedMachine:
			skipped := heap.Pop(c).(candidate)
			avoided = &skipped
		default:
			return machine
		}
	}
	return nil
}

// satisfiesZoneConstraints reports whether another task may start in the machine's zone, given the
// job's constraints (SameZone, Spread) and the zones of its attempts.
func (c *candidateHeap) satisfiesZoneConstraints(machine *cluster.Machine) bool {
	spec := &c.job.Spec
	if !spec.SameZone && !spec.Spread {
		return true
	}
	tasksInZone := 0
	for _, attempt := range c.job.Attempts {
		if attempt.Machine.Zone == machine.Zone {
			tasksInZone++
		} else if spec.SameZone {
			return false
		}
	}
	return !spec.Spread || tasksInZone < (spec.TaskCount+1)/2
}

// rescore updates a machine's score after a task was placed on it, or removes the machine if no further
// task of the job fits. An unhealthy machine is probed with one task only.
func (c *candidateHeap) rescore(machine *cluster.Machine) {
	position := slices.IndexFunc(c.entries, func(x candidate) bool { return x.machine == machine })
	if !machine.Unhealthy && c.scheduler.fitsBesideReservation(c.job, machine) {
		c.entries[position] = c.score(machine)
		heap.Fix(c, position)
	} else {
		heap.Remove(c, position)
	}
}
