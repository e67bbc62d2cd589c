package records

import (
	"maps"
	"slices"

	"hitchdoor/internal/cluster"
	"hitchdoor/internal/config"
	"hitchdoor/internal/storage"
)

// bitmapLayout is the number of tasks that one part of a stored bitmap covers.
type bitmapLayout struct {
	tasksPerPart       int
	legacyTasksPerPart int // the same at version level 0
}

// newBitmapLayout derives the layout from the limits of the key-value store.
func newBitmapLayout(cluster *config.Cluster) bitmapLayout {
	return bitmapLayout{
		tasksPerPart:       storage.TasksPerBitmapPart(cluster.Store.MaxValueBytes()),
		legacyTasksPerPart: storage.TasksPerBitmapPart(int(cluster.Store.ValueKB * 1024)),
	}
}

// layOutBitmap divides the job's bitmap into parts that fit the value size limit. Controllers of
// version level 0 use larger parts and identify them by number, so a job of several parts keeps
// that layout as long as such a controller may become leader.
func (r *Jobs) layOutBitmap(j *cluster.Job) {
	id := j.Spec.ID
	tasksPerPart := r.layout.tasksPerPart
	partKey := func(part int) string { return storage.BitmapKeyFromTask(id, part*r.layout.tasksPerPart) }
	switch {
	case j.Spec.TaskCount <= tasksPerPart:
		partKey = func(int) string { return storage.BitmapKey(id, 0) }
	case r.host.LegacyLeaderPossible():
		tasksPerPart = r.layout.legacyTasksPerPart
		partKey = func(part int) string { return storage.BitmapKey(id, part) }
	}
	j.TasksPerPart, j.BitmapParts = tasksPerPart, nil
	for firstTask := 0; firstTask < j.Spec.TaskCount; firstTask += tasksPerPart {
		tasks := min(tasksPerPart, j.Spec.TaskCount-firstTask)
		part := &cluster.BitmapPart{Key: partKey(len(j.BitmapParts)), SizeBytes: (tasks + 7) / 8}
		j.BitmapParts = append(j.BitmapParts, part)
	}
}

// UpgradeBitmapLayouts switches jobs to the layout that level 0 cannot read.
func (r *Jobs) UpgradeBitmapLayouts() {
	for _, id := range slices.Sorted(maps.Keys(r.state.Jobs)) {
		j := r.state.Jobs[id]
		if j.Spec.TaskCount > r.layout.tasksPerPart && !j.Terminal {
			r.upgradeBitmapLayout(j)
		}
	}
}

// upgradeBitmapLayout stores a job's bitmap in the current layout. Bits are only ever set, so a
// reader that finds both layouts merges them; the old parts are deleted last.
func (r *Jobs) upgradeBitmapLayout(j *cluster.Job) {
	oldParts := j.BitmapParts
	doneTasks := doneTasksOf(j)
	r.layOutBitmap(j)
	for _, index := range doneTasks {
		j.SetTaskBit(index)
	}
	for _, part := range j.BitmapParts {
		r.storeBitmapPart(j, part)
	}
	for _, part := range oldParts {
		part.Superseded = true
		r.dropStoredKey(part.Key)
	}
}

// doneTasksOf returns the indexes of the job's finished tasks.
func doneTasksOf(j *cluster.Job) []int {
	var doneTasks []int
	for index := range j.Spec.TaskCount {
		if j.TaskState(index) == cluster.TaskDone {
			doneTasks = append(doneTasks, index)
		}
	}
	return doneTasks
}
