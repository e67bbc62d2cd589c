// Package tracing keeps a bounded record of how a controller processed jobs, as OpenTelemetry spans.
// All spans of a job belong to one trace, whichever controller recorded them, because the trace id is
// derived from the job id.
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

// Step is one event in the processing of a job by a controller.
type Step struct {
	Job   string    `json:"job"`             // job id
	Node  string    `json:"node"`            // name of the controller
	Name  string    `json:"name"`            // name of the step
	At    time.Time `json:"at"`              // time of the step by the controller's clock
	Note  string    `json:"note,omitempty"`  // details of the step
	Term  uint64    `json:"term,omitempty"`  // term of the leader that recorded the step; 0: recorded by a follower
	Epoch uint64    `json:"epoch,omitempty"` // epoch of the admission policy in force; 0: none
}

// Recorder keeps the last steps of one controller. It is safe for concurrent use.
type Recorder struct {
	node        string
	tracer      trace.Tracer
	recentSpans *spanRing
}

// NewRecorder returns a recorder that keeps the steps that a node recorded last, limit of them at most. limit
// must be positive.
func NewRecorder(node string, limit int) *Recorder {
	recentSpans := &spanRing{spans: make([]sdk.ReadOnlySpan, limit)}
	provider := sdk.NewTracerProvider(sdk.WithSpanProcessor(recentSpans),
		sdk.WithIDGenerator(traceIDGenerator{}), sdk.WithSampler(sdk.AlwaysSample()))
	return &Recorder{node: node, tracer: provider.Tracer("hitchdoor"), recentSpans: recentSpans}
}

// Attribute keys of the spans.
const (
	jobAttribute   = attribute.Key("job")
	noteAttribute  = attribute.Key("note")
	termAttribute  = attribute.Key("term")
	epochAttribute = attribute.Key("epoch")
)

// Record adds a step, and evicts the oldest one if the recorder is full. step.Node is ignored: all steps are
// those of the recorder's node.
func (r *Recorder) Record(step Step) {
	ctx := context.WithValue(context.Background(), jobContextKey{}, step.Job)
	_, span := r.tracer.Start(ctx, step.Name, trace.WithTimestamp(step.At), trace.WithAttributes(
		jobAttribute.String(step.Job), noteAttribute.String(step.Note),
		termAttribute.Int64(int64(step.Term)), epochAttribute.Int64(int64(step.Epoch))))
	span.End(trace.WithTimestamp(step.At))
}

// StepsOf returns the retained steps of a job in the order in which they were recorded.
func (r *Recorder) StepsOf(job string) []Step {
	id := TraceID(job)
	var steps []Step
	for _, span := range r.recentSpans.oldestFirst() {
		if span.SpanContext().TraceID() == id {
			steps = append(steps, r.stepFromSpan(span))
		}
	}
	return steps
}

// stepFromSpan converts a span back to the step from which Record made it.
func (r *Recorder) stepFromSpan(span sdk.ReadOnlySpan) Step {
	step := Step{Node: r.node, Name: span.Name(), At: span.StartTime()}
	for _, keyValue := range span.Attributes() {
		switch keyValue.Key {
		case jobAttribute:
			step.Job = keyValue.Value.AsString()
		case noteAttribute:
			step.Note = keyValue.Value.AsString()
		case termAttribute:
			step.Term = uint64(keyValue.Value.AsInt64())
		case epochAttribute:
			step.Epoch = uint64(keyValue.Value.AsInt64())
		}
	}
	return step
}

// spanRing is a span processor that retains the last spans, as many as spans has elements.
type spanRing struct {
	mu    sync.Mutex
	spans []sdk.ReadOnlySpan // nil where none is stored yet
	next  int                // index at which the next span is stored, in place of the oldest one
}

// OnStart does nothing, as steps have no duration.
func (*spanRing) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd stores a span in place of the oldest one.
func (r *spanRing) OnEnd(span sdk.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = span
	r.next = (r.next + 1) % len(r.spans)
}

// Shutdown does nothing, as there is nothing to flush.
func (*spanRing) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing, as there is nothing to flush.
func (*spanRing) ForceFlush(context.Context) error { return nil }

// oldestFirst returns the retained spans, the oldest first.
func (r *spanRing) oldestFirst() []sdk.ReadOnlySpan {
	r.mu.Lock()
	defer r.mu.Unlock()
	var spans []sdk.ReadOnlySpan
	for i := range r.spans {
		if span := r.spans[(r.next+i)%len(r.spans)]; span != nil {
			spans = append(spans, span)
		}
	}
	return spans
}

// jobContextKey is the context key of a span's job id, from which the trace id is derived.
type jobContextKey struct{}

// traceIDGenerator is an id generator that derives trace ids from job ids.
type traceIDGenerator struct{}

// NewIDs returns the trace id of the job in the context, and a new span id.
func (g traceIDGenerator) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	job, _ := ctx.Value(jobContextKey{}).(string)
	id := TraceID(job)
	return id, g.NewSpanID(ctx, id)
}

// NewSpanID returns a new span id for a trace, derived from the trace id and the time. The id is odd, so
// that it is never the invalid id 0.
func (traceIDGenerator) NewSpanID(_ context.Context, traceID trace.TraceID) trace.SpanID {
	var spanID trace.SpanID
	digest := xxhash.New()
	digest.Write(traceID[:])
	binary.LittleEndian.PutUint64(spanID[:], digest.Sum64()^uint64(time.Now().UnixNano())|1)
	return spanID
}

// TraceID returns the id of a job's trace, which is the same on every controller.
func TraceID(job string) trace.TraceID {
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(job))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String("trace of "+job))
	return id
}
