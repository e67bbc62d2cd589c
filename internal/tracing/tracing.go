// Package tracing keeps a bounded record of how a controller processed submissions, as
// OpenTelemetry spans. All spans of a job belong to one trace, whichever controller recorded
// them: the trace id is derived from the job id.
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
	Job   string    `json:"job"`
	Node  string    `json:"node"`
	Name  string    `json:"name"`
	At    time.Time `json:"at"`
	Note  string    `json:"note,omitempty"`
	Term  uint64    `json:"term,omitempty"`  // on the leader only
	Epoch uint64    `json:"epoch,omitempty"` // of the admission policy in force
}

// Recorder keeps the last steps of one controller. It is safe for concurrent use.
type Recorder struct {
	node   string
	tracer trace.Tracer
	spans  *ring
}

// NewRecorder returns a recorder that keeps the last limit steps of a node.
func NewRecorder(node string, limit int) *Recorder {
	spans := &ring{spans: make([]sdk.ReadOnlySpan, limit)}
	provider := sdk.NewTracerProvider(
		sdk.WithSpanProcessor(spans), sdk.WithIDGenerator(jobIDs{}), sdk.WithSampler(sdk.AlwaysSample()))
	return &Recorder{node: node, tracer: provider.Tracer("hitchdoor"), spans: spans}
}

// Attribute keys of the spans.
const (
	keyJob   = attribute.Key("job")
	keyNote  = attribute.Key("note")
	keyTerm  = attribute.Key("term")
	keyEpoch = attribute.Key("epoch")
)

// Record adds a step and evicts the oldest one if the recorder is full.
func (r *Recorder) Record(s Step) {
	ctx := context.WithValue(context.Background(), jobKey{}, s.Job)
	_, span := r.tracer.Start(ctx, s.Name, trace.WithTimestamp(s.At), trace.WithAttributes(
		keyJob.String(s.Job), keyNote.String(s.Note),
		keyTerm.Int64(int64(s.Term)), keyEpoch.Int64(int64(s.Epoch))))
	span.End(trace.WithTimestamp(s.At))
}

// StepsOf returns the retained steps of a job in the order in which they were recorded.
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

// stepFromSpan converts a span back to the step it was recorded from.
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

// spanRing is a span processor that retains the last spans.
type ring struct {
	mu    sync.Mutex
	spans []sdk.ReadOnlySpan
	next  int
}

// OnStart does nothing, as steps have no duration.
func (*ring) OnStart(context.Context, sdk.ReadWriteSpan) {}

// OnEnd stores a span in place of the oldest.
func (r *ring) OnEnd(span sdk.ReadOnlySpan) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spans[r.next] = span
	r.next = (r.next + 1) % len(r.spans)
}

// Shutdown does nothing, as there is nothing to flush.
func (*ring) Shutdown(context.Context) error { return nil }

// ForceFlush does nothing, as there is nothing to flush.
func (*ring) ForceFlush(context.Context) error { return nil }

// oldestFirst returns the retained spans, the oldest first.
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

// jobContextKey is the context key of the job id of a span.
type jobKey struct{}

// jobIDGenerator is an id generator that derives trace ids from job ids.
type jobIDs struct{}

// NewIDs returns the trace id of the job in the context, and a new span id.
func (g jobIDs) NewIDs(ctx context.Context) (trace.TraceID, trace.SpanID) {
	job, _ := ctx.Value(jobKey{}).(string)
	id := TraceID(job)
	return id, g.NewSpanID(ctx, id)
}

// NewSpanID returns a new span id for a trace.
func (jobIDs) NewSpanID(_ context.Context, id trace.TraceID) trace.SpanID {
	var span trace.SpanID
	digest := xxhash.New()
	digest.Write(id[:])
	binary.LittleEndian.PutUint64(span[:], digest.Sum64()^uint64(time.Now().UnixNano())|1)
	return span
}

// TraceID returns the id of a job's trace, which is the same on every controller.
func TraceID(job string) trace.TraceID {
	var id trace.TraceID
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(job))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String("trace of "+job))
	return id
}
