package autoscaler

import (
	"hitchdoor/internal/clock"
	"hitchdoor/internal/cluster"
	"hitchdoor/internal/fleet"
	"hitchdoor/internal/json"
	"hitchdoor/internal/storage"
)

// ArrivalForecast connects fleet.Forecast to the leader: it records the arrivals of jobs, and stores
// the forecast for the next leader.
type ArrivalForecast struct {
	*fleet.Forecast
	state     *cluster.State
	records   RecordWriter
	wallClock WallClock
	store     StoreHealth

	savedAt    clock.Instant // when save last queued the forecast
	restoredAt clock.Instant // when the earlier leader recorded the restored forecast; never: none was restored
}

const (
	// forecastSaveIntervalLeases is the interval at which the forecast is stored, in worker leases.
	forecastSaveIntervalLeases = 2
	// forecastValueDivisor is the ratio of the maximum size of a value in the key-value store to the
	// maximum size of the stored forecast.
	forecastValueDivisor = 2
)

// newArrivalForecast returns a forecast without arrivals.
func newArrivalForecast(options Options) *ArrivalForecast {
	state := options.State
	return &ArrivalForecast{
		Forecast: fleet.NewForecast(state.Config.WorkerLease()), state: state, records: options.Records,
		wallClock: options.WallClock, store: options.Store, savedAt: state.Clock.Now(), restoredAt: clock.Never,
	}
}

// recordArrival adds the work of a job that has become eligible.
func (f *ArrivalForecast) recordArrival(job *cluster.Job) {
	f.Decay()
	work := float64(job.Spec.TaskCount) * job.Spec.Cores * f.state.ExpectedTaskDuration(job).Seconds()
	f.RecordArrival(job.Spec.Class, work, f.state.Due(job)-job.EligibleAt)
}

// Decay decays the forecast up to the present time. Time in which the key-value store fails does not count
// as time without arrivals, because no job can be accepted then.
func (f *ArrivalForecast) Decay() { f.DecayTo(f.state.Clock.Now(), !f.store.StoreFailing()) }

// save queues a write of the forecast for the next leader, at regular intervals. The record is built when
// the transaction is, so that it is up to date.
func (f *ArrivalForecast) save() {
	now := f.state.Clock.Now()
	if now < f.savedAt+forecastSaveIntervalLeases*f.state.Config.WorkerLease() || f.Empty() {
		return
	}
	f.savedAt = now
	f.records.Enqueue(storage.PriorityLow, storage.Change{BuildWrites: func() []storage.Write {
		f.Decay()
		record := f.Snapshot(f.wallClock.NowUnixMilli(), f.state.Config.Store.MaxValueBytes()/forecastValueDivisor)
		return []storage.Write{storage.Put(storage.ArrivalForecastKey, record)}
	}})
}

// load restores the forecast that an earlier leader stored.
func (f *ArrivalForecast) load(items []storage.Item) {
	for _, item := range items {
		if item.Key != storage.ArrivalForecastKey {
			continue
		}
		// Set the revision even if the record can't be decoded: the write that replaces the record is
		// conditioned on it.
		f.records.SetModRevision(item.Key, item.ModRevision)
		var record storage.ArrivalForecastRecord
		if err := json.Unmarshal(item.Value, &record); err != nil {
			f.state.Log.Warn("stored arrival forecast can't be decoded, starting without it", "error", err)
			continue
		}
		f.restoredAt = min(f.wallClock.InstantFromUnixMilli(record.RecordedAtMillis), f.state.Clock.Now())
		f.Restore(record, f.restoredAt)
		f.Decay()
	}
}

// inheritUsualLoad completes the forecast at a takeover. It adds the jobs that became eligible after
// the restored forecast was recorded. Then it takes the cores held, divided by 1 + Headroom, as the usual
// load, unless the forecast amounts to more.
func (f *ArrivalForecast) inheritUsualLoad() {
	heldCores := 0.0
	for _, machine := range f.state.Machines {
		if machine.MachineType != nil {
			heldCores += machine.MachineType.Cores
		}
	}
	if f.Empty() {
		f.StartCounting(f.state.Clock.Now())
	}
	// The restored forecast lacks jobs that became eligible after it was recorded. Without a restored
	// forecast, as for the first leader, all eligible jobs count as arrivals.
	for _, job := range f.state.JobsByAge() {
		if job.EligibleAt > f.restoredAt {
			f.recordArrival(job)
		}
	}
	f.InheritLoad(heldCores / (1 + f.state.Settings.Headroom))
}
