// Package tracing keeps a bounded record of what controllers did with submissions, as
// OpenTelemetry spans. All spans of a job have one trace, whichever controller made them:
// its id follows from the job's.
package tracing

import (
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.opentelemetry.io/otel/attribute"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// Step is one thing that a controller did with a job.
type Step struct {
	Job   string    `json:"job"`
	Node  string    `json:"node"`
	Name  string    `json:"name"`
	At    time.Time `json:"at"`
	Note  string    `json:"note,omitempty"`
	Term  uint64    `json:"term,omitempty"`  // of the leadership, on the leader
	Epoch uint64    `json:"epoch,omitempty"` // of the admission policy in force
}

// Recorder keeps the last steps of one controller.
type Recorder struct {
	node   string
	tracer trace.Tracer
	spans  *ring
}

// NewRecorder makes a recorder of at most limit steps.
func NewRecorder(node string, limit int) *Recorder {
	spans := &ring{spans: make([]sdk.ReadOnlySpan, limit)}
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(spans), sdk.WithIDGenerator(jobIDs{}), sdk.WithSampler(sdk.AlwaysSample()))
	return &Recorder{node: node, tracer: provider.Tracer("hitchdoor"), spans: spans}
}

// Keys of a span's attributes.
const (
	keyJob   = attribute.Key("job")
	keyNote  = attribute.Key("note")
	keyTerm  = attribute.Key("term")
	keyEpoch = attribute.Key("epoch")
)

// Record keeps a step.
func (r *Recorder) Record(s Step) {
	ctx := context.WithValue(context.Background(), jobKey{}, s.Job)
	_, span := r.tracer.Start(ctx, s.Name, trace.WithTimestamp(s.At), trace.WithAttributes(
		keyJob.String(s.Job), keyNote.String(s.Note), keyTerm.Int64(int64(s.Term)), keyEpoch.Int64(int64(s.Epoch))))
	span.End(trace.WithTimestamp(s.At))
}

// Of lists the steps of a job that are kept, in the order in which they were recorded.
func (r *Recorder) Of(job string) []Step {
	id := TraceID(job)
	var steps []Step
	for _, span := range r.spans.all() {
		if span.SpanContext().TraceID() == id {
			steps = append(steps, r.step(span))
		}
	}
	return steps
}

// step is a span as it was recorded.
func (r *Recorder) step(span sdk.ReadOnlySpan) Step {
	s := Step{Node: r.node, Name: span.Name(), At: span.StartTime()}
	for _, a := range span.Attributes() {
		switch a.Key {
		case keyJob:
			s.Job = a.Value.AsString()
		case keyNote:
			s.Note = a.Value.AsString()
		case keyTerm:
			s.Term = uint64(a.Value.AsInt64())
		case keyEpoch:
			s.Epoch = uint64(a.Value.AsInt64())
		}
	}
	return s
}

// ring is a span processor that keeps the last spans.
type ring struct {
	mu    sync.Mutex
	spans []sdk.ReadOnlySpan
	next  int
}

// OnStart does nothing: a step is over at once.
func (*ring) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd keeps a span in the place of the oldest.
func (r *ring) OnEnd(span sdk.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = span
	r.next = (r.next + 1) % len(r.spans)
}

// Shutdown does nothing: there is nothing to flush.
func (*ring) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing either.
func (*ring) ForceFlush(context.Context) error { return nil }

// all lists the spans that are kept, the oldest first.
func (r *ring) all() []sdk.ReadOnlySpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []sdk.ReadOnlySpan
	for i := range r.spans {
		if span := r.spans[(r.next+i)%len(r.spans)]; span != nil {
			out = append(out, span)
		}
	}
	return out
}

// jobKey is the context key of the job that a span is of.
type jobKey struct{}

// jobIDs makes the ids of traces from those of jobs.
type jobIDs struct{}

// NewIDs makes the ids of a trace's first span.
func (g jobIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	job, _ := ctx.Value(jobKey{}).(string)
	id := TraceID(job)
	return id, g.NewSpanID(ctx, id)
}

// NewSpanID makes the id of a further span.
func (jobIDs) NewSpanID(_ context.Context, id trace.TraceID) trace.SpanID {
	var span trace.SpanID
	digest := xxhash.New()
	digest.Write(id[:])
	binary.LittleEndian.PutUint64(span[:], digest.Sum64()^uint64(time.Now().UnixNano())|1)
	return span
}

// TraceID is the id of a job's trace, the same on every controller.
func TraceID(job string) trace.TraceID {
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(job))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String("trace of "+job))
	return id
}
