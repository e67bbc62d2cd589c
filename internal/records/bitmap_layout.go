package records

import (
	"maps"
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
)

// bitmapLayout holds the number of tasks that one part of a job's stored bitmap of finished tasks covers.
type bitmapLayout struct {
	tasksPerPart       int
	legacyTasksPerPart int // number of tasks in a part at protocol level 0
}

// newBitmapLayout derives the layout from the limits of the key-value store.
func newBitmapLayout(clusterConfig *config.Cluster) bitmapLayout {
	return bitmapLayout{
		tasksPerPart:       storage.TasksPerBitmapPart(clusterConfig.Store.MaxValueBytes()),
		legacyTasksPerPart: storage.TasksPerBitmapPart(int(clusterConfig.Store.ValueKB * 1024)),
	}
}

// layOutBitmap divides the job's bitmap into empty parts that fit the value size limit. Controllers of
// protocol level 0 use larger parts and identify them by number. A job with several parts keeps that
// layout as long as such a controller may become leader.
func (r *Jobs) layOutBitmap(job *cluster.Job) {
	id := job.Spec.ID
	tasksPerPart := r.layout.tasksPerPart
	partKey := func(part int) string { return storage.BitmapKeyFromTask(id, part*r.layout.tasksPerPart) }
	switch {
	case job.Spec.TaskCount <= tasksPerPart:
		partKey = func(int) string { return storage.BitmapKey(id, 0) }
	case r.host.LegacyLeaderPossible():
		tasksPerPart = r.layout.legacyTasksPerPart
		partKey = func(part int) string { return storage.BitmapKey(id, part) }
	}
	job.TasksPerPart, job.BitmapParts = tasksPerPart, nil
	for firstTask := 0; firstTask < job.Spec.TaskCount; firstTask += tasksPerPart {
		tasks := min(tasksPerPart, job.Spec.TaskCount-firstTask)
		part := &cluster.BitmapPart{Key: partKey(len(job.BitmapParts)), SizeBytes: (tasks + 7) / 8}
		job.BitmapParts = append(job.BitmapParts, part)
	}
}

// UpgradeBitmapLayouts stores the bitmaps of open jobs that need several parts in the current layout,
// which protocol level 0 can't read. The leader calls it once no controller of that level may become leader.
func (r *Jobs) UpgradeBitmapLayouts() {
	for _, id := range slices.Sorted(maps.Keys(r.state.Jobs)) {
		job := r.state.Jobs[id]
		if job.Spec.TaskCount > r.layout.tasksPerPart && !job.Terminal {
			r.upgradeBitmapLayout(job)
		}
	}
}

// upgradeBitmapLayout stores a job's bitmap in the current layout, and then deletes the old parts.
// Bits are only ever set and never cleared, so a new leader that finds parts of both layouts merges them.
func (r *Jobs) upgradeBitmapLayout(job *cluster.Job) {
	oldParts := job.BitmapParts
	doneTasks := doneTasksOf(job)
	r.layOutBitmap(job)
	for _, index := range doneTasks {
		job.SetTaskBit(index)
	}
	for _, part := range job.BitmapParts {
		r.storeBitmapPart(job, part)
	}
	for _, part := range oldParts {
		part.Superseded = true
		r.dropStoredKey(part.Key)
	}
}

// doneTasksOf returns the indexes of the job's finished tasks.
func doneTasksOf(job *cluster.Job) []int {
	var doneTasks []int
	for index := range job.Spec.TaskCount {
		if job.TaskState(index) == cluster.TaskDone {
			doneTasks = append(doneTasks, index)
		}
	}
	return doneTasks
}
