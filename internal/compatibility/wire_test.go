package compatibility

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/config"
	"hitchdoor/internal/controller"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/tracing"
	"hitchdoor/internal/transport"
)

// fullJob returns a submission in which every field is set.
func fullJob() protocol.Job {
	return protocol.Job{ID: "j-77", Class: "class-a", Team: "team-b", Kind: "batch", Priority: "prod", TaskCount: 5,
		Cores: 1.25, Accelerators: 2.5, MemoryGB: 3.75, Image: "image-c", ImageGB: 4.5, MachineTypes: []string{"t1", "t2"},
		Zone: "zone-d", SameZone: true, Spread: true, SpotAllowed: true, EstimatedSeconds: 6.5,
		CheckpointIntervalSeconds: 7.5, CheckpointSaveSeconds: 8.5, DeadlineSeconds: pointerTo(9.5),
		Dependencies: []string{"j-78", "j-79"}}
}

// minimalJob returns a submission in which every field that may have its zero value has it.
func minimalJob() protocol.Job {
	return protocol.Job{ID: "j-1", Class: "c", Team: "t", Kind: "batch", Priority: "low", TaskCount: 1}
}

// TestUserMessages guards against a changed format of submissions and job states, on which users'
// programs depend.
func TestUserMessages(t *testing.T) {
	checkJSONCases(t, "wire_users.txt", []jsonCase{
		fullCase("submission/full", fullJob()),
		partialCase("submission/least", minimalJob()),
		fullCase("job state/full", protocol.JobStatus{ID: "j-77", State: protocol.JobRunning, DoneTasks: pointerTo(3),
			RunningTasks: pointerTo(4)}),
		partialCase("job state/none done", protocol.JobStatus{ID: "j-77", State: protocol.JobQueued,
			DoneTasks: pointerTo(0), RunningTasks: pointerTo(0)}),
		partialCase("job state/queued", protocol.JobStatus{ID: "j-77", State: protocol.JobQueued}),
		partialCase("job state/done", protocol.JobStatus{ID: "j-77", State: protocol.JobDone}),
		partialCase("job state/withdrawn", protocol.JobStatus{ID: "j-77", State: protocol.JobCancelled}),
	})
}

// TestSubmissionFieldOrderAndNulls guards against a decoder that depends on the way in which this
// program encodes submissions. Users' programs may order the fields differently, write null for an
// absent value, repeat a dependency and add unknown fields.
func TestSubmissionFieldOrderAndNulls(t *testing.T) {
	for _, c := range []struct {
		body string
		want protocol.Job
	}{
		{`{"aguarda":["j-78","j-79","j-78"],"prazoS":9.5,"guardaS":8.5,"marcoS":7.5,"previstoS":6.5,"avulsas":true,"apart":true,
			"samePlace":true,"praca":"zone-d","portes":["t1","t2"],"pullGb":4.5,"molde":"image-c","ramGb":3.75,"accelerators":2.5,
			"cores":1.25,"pecas":5,"vez":"prod","feitio":"batch","dono":"team-b","lote":"class-a","uid":"j-77","novo":[1,{}]}`, fullJob()},
		{`{"uid":"j-1","lote":"c","dono":"t","feitio":"batch","vez":"low","pecas":1,"cores":0,"accelerators":0.0,"ramGb":0,"molde":"",
			"pullGb":0,"portes":null,"praca":null,"samePlace":false,"apart":false,"avulsas":false,"previstoS":0,"marcoS":0,
			"guardaS":0,"prazoS":null,"aguarda":null}`, minimalJob()},
	} {
		job, err := protocol.ParseJob([]byte(c.body))
		if err != nil || job.ID != c.want.ID || !reflect.DeepEqual(storage.Encode(job), storage.Encode(c.want)) {
			t.Errorf("submission %s: got %+v, error %v; want %+v", c.body, job, err, c.want)
		}
	}
}

// TestSubmissionErrors guards against an invalid submission that is accepted, and against changed
// error texts, which users get.
func TestSubmissionErrors(t *testing.T) {
	encodedJob := string(storage.Encode(fullJob()))
	var got []goldenLine
	addError := func(name, body string) {
		_, err := protocol.ParseJob([]byte(body))
		if err == nil {
			t.Errorf("submission %s: got no error, want one", name)
			return
		}
		got = append(got, goldenLine{name, err.Error()})
	}
	addError("not JSON", "{")
	addError("null", "null")
	addError("too large", encodedJob+strings.Repeat(" ", protocol.MaxBodyBytes))
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(encodedJob), &fields); err != nil {
		t.Fatal(err)
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		body := map[string]json.RawMessage{}
		for other, value := range fields {
			if other != name {
				body[other] = value
			}
		}
		if _, err := protocol.ParseJob(storage.Encode(body)); err != nil {
			got = append(got, goldenLine{"without " + name, err.Error()})
		} else {
			got = append(got, goldenLine{"without " + name, "accepted"})
		}
		for _, value := range []string{`""`, `-1`, `"x"`, `{}`} {
			body[name] = json.RawMessage(value)
			if _, err := protocol.ParseJob(storage.Encode(body)); err != nil {
				got = append(got, goldenLine{name + " = " + value, err.Error()})
			} else {
				got = append(got, goldenLine{name + " = " + value, "accepted"})
			}
		}
	}
	checkGolden(t, "wire_users_errors.txt", got)
}

// TestWorkerMessages guards against a changed format of heartbeats and the replies to them, on which
// workers depend. The messages contain every task state, exit reason and command.
func TestWorkerMessages(t *testing.T) {
	heartbeat := protocol.WorkerHeartbeat{Machine: "m-000007", Address: "10.9.8.7:6", Type: "t1", Zone: "zone-d",
		Spot: true, Epoch: 2, Sequence: 3, FencingToken: 1<<64 - 1, PreemptionNoticeSeconds: pointerTo(4.5),
		Tasks: []protocol.TaskStatus{
			{TaskID: protocol.TaskID("j-77", 12), Attempt: 5, State: protocol.TaskExited, ExitReason: protocol.ExitStopped,
				CheckpointSaved: true}}}
	allTaskStates := protocol.WorkerHeartbeat{Machine: "m-000008", Epoch: 1, Tasks: []protocol.TaskStatus{}}
	for i, state := range []protocol.TaskState{protocol.TaskPulling, protocol.TaskRunning, protocol.TaskCheckpointing} {
		allTaskStates.Tasks = append(allTaskStates.Tasks,
			protocol.TaskStatus{TaskID: protocol.TaskID("j-1", i), Attempt: 1, State: state})
	}
	for i, reason := range []protocol.ExitReason{protocol.ExitDone, protocol.ExitStopped, protocol.ExitFailed,
		protocol.ExitInsufficientResources, protocol.ExitDuplicateTask, protocol.ExitUnknownTask} {
		allTaskStates.Tasks = append(allTaskStates.Tasks, protocol.TaskStatus{TaskID: protocol.TaskID("j-2", i),
			Attempt: 1, State: protocol.TaskExited, ExitReason: reason})
	}
	checkJSONCases(t, "wire_workers.txt", []jsonCase{
		fullCase("report/full", heartbeat),
		partialCase("report/all task states", allTaskStates),
		partialCase("report/no tasks", protocol.WorkerHeartbeat{Machine: "m-000009", Epoch: 1}),
		partialCase("answer/commands", protocol.HeartbeatResponse{FencingToken: 41, Commands: []protocol.Command{
			{Kind: protocol.CommandStart, TaskID: "j-77/0", Attempt: 2},
			{Kind: protocol.CommandStop, TaskID: "j-77/1", Attempt: 3, GraceSeconds: pointerTo(10.5)},
			{Kind: protocol.CommandStop, TaskID: "j-77/1", Attempt: 3, GraceSeconds: pointerTo(0.0)},
			{Kind: protocol.CommandForget, TaskID: "j-77/2", Attempt: 4}}}),
		partialCase("answer/no commands", protocol.HeartbeatResponse{FencingToken: 1, Commands: []protocol.Command{}}),
		fullCase("redirect", protocol.HeartbeatRedirect{Node: "n-2"}),
		partialCase("redirect/nowhere", protocol.HeartbeatRedirect{}),
	})
	for _, l := range readGolden(t, "wire_workers.txt") {
		if strings.HasPrefix(l.name, "report/") {
			if parsed, err := protocol.ParseWorkerHeartbeat([]byte(l.value)); err != nil ||
				string(storage.Encode(parsed)) != l.value {
				t.Errorf("%s: got %+v, error %v; want the heartbeat %s", l.name, parsed, err, l.value)
			}
		}
	}
}

// TestCloudMessages guards against a changed format of the messages exchanged with the cloud.
func TestCloudMessages(t *testing.T) {
	checkJSONCases(t, "wire_cloud.txt", []jsonCase{
		fullCase("catalog", protocol.Catalog{Types: []protocol.MachineType{{Name: "t1", Cores: 4.5, Accelerators: 1.5,
			MemoryGB: 16.5, ImageCacheGB: 40.5, PullGBPerSecond: 0.75, OnDemandPrice: 0.375, SpotPrice: 0.125,
			BootSeconds: 45.5, Zones: []string{"a", "b"}}}}),
		partialCase("catalog/empty", protocol.Catalog{}),
		fullCase("rental", protocol.RentalRequest{RequestID: "r-4-17", Type: "t1", Zone: "a", Spot: true, Count: 12}),
		partialCase("rental/ordinary", protocol.RentalRequest{RequestID: "r-4-18", Type: "t1", Zone: "a", Count: 1}),
		fullCase("machine names", protocol.MachineNames{Machines: []string{"m-000001", "m-000002"}}),
		fullCase("hosts", protocol.HostPage{Machines: []protocol.Host{{Name: "m-000001", Address: "10.9.8.7:6", Type: "t1",
			Zone: "a", Spot: true, State: protocol.HostFailed, RentedSeconds: 61.5}}, Truncated: true}),
		partialCase("hosts/empty", protocol.HostPage{}),
	})
}

// TestStoreMessages guards against a changed format of the messages that the key-value store sends
// and receives, and against a decoder of events that rejects unknown fields or another order.
func TestStoreMessages(t *testing.T) {
	checkJSONCases(t, "wire_state.txt", []jsonCase{
		fullCase("item", storage.Item{Key: "a/b", Value: json.RawMessage(`{"x":1}`), ModRevision: 412, LeaseID: 7}),
		partialCase("item/no lease", storage.Item{Key: "a/b", Value: json.RawMessage(`[]`), ModRevision: 412}),
		fullCase("page", storage.ListResponse{
			Items: []storage.Item{{Key: "c/1", Value: json.RawMessage(`"v"`), ModRevision: 2, LeaseID: 3}}, Truncated: true,
			Revision: 431}),
		fullCase("events", storage.WatchResponse{Revision: 433,
			Events: []storage.WatchEvent{{PutKey: "c/9", DeletedKey: "c/8", Value: json.RawMessage(`{}`), ModRevision: 433}}}),
		fullCase("transaction", storage.Txn{Conditions: []storage.Condition{{Key: "a/b", ModRevision: 5}},
			Writes: []storage.Write{{PutKey: "a/b", Value: json.RawMessage(`{}`), LeaseID: 7, DeleteKey: "c/d"}}}),
		partialCase("transaction/set and drop", storage.Txn{Conditions: []storage.Condition{{Key: "a/b"}},
			Writes: []storage.Write{storage.Put("a/b", 1), storage.Delete("c/d")}}),
		partialCase("transaction/compare only", storage.Txn{Conditions: []storage.Condition{{Key: "a/b", ModRevision: 5}}}),
		fullCase("result", storage.TxnResponse{Revision: 432, FailedKeys: []string{"a/b"}}),
		fullCase("hold", storage.Lease{TTLMillis: 5000, ID: 7}),
		partialCase("hold/request", storage.Lease{TTLMillis: 5000}),
		partialCase("hold/answer", storage.Lease{ID: 7}),
	})
	var events storage.WatchResponse
	want := storage.WatchResponse{Revision: 9, Events: []storage.WatchEvent{
		{PutKey: "c/9", Value: json.RawMessage(`{"y":2}`), ModRevision: 8}, {DeletedKey: "c/d", ModRevision: 9}}}
	raw := `{"log":[{"versao":8,"data":{"y":2},"set":"c/9"},{"drop":"c/d","versao":9,"novo":0}],"edicao":9}`
	if err := json.Unmarshal([]byte(raw), &events); err != nil || !reflect.DeepEqual(events, want) {
		t.Errorf("events %s: got %+v, error %v; want %+v", raw, events, err, want)
	}
}

// peerMessages returns messages of every type that controllers send to each other.
func peerMessages() []struct {
	name         string
	message      protocol.PeerMessage
	allFieldsSet bool
} {
	const maxUint64 = 1<<64 - 1
	return []struct {
		name         string
		message      protocol.PeerMessage
		allFieldsSet bool
	}{
		{"heartbeat/full", protocol.PeerHeartbeat{Term: 4, IsLeader: true, WantsLeaseGrant: true, SentAt: 12, Uptime: 13,
			ProcessID: 5, ReceiverProcessID: 7, ProtocolLevel: 1, WritesThrottled: true, ConnectionsFull: true,
			SpareConnections: 31, PolicyRevision: 77, Links: &protocol.LinkReport{
				IncomingLinks:  []reachability.IncomingLink{{Node: "n1", AgeMS: 20}},
				StoreReachable: true, RecentWorkers: 8, StrandedWorkers: 9,
				MostStranded: &reachability.StrandedCount{Node: "n2", Workers: 10}}}, true},
		{"heartbeat/least", protocol.PeerHeartbeat{}, false},
		{"heartbeat/links without worst", protocol.PeerHeartbeat{SentAt: 1, Links: &protocol.LinkReport{}}, false},
		{"heartbeat/largest process", protocol.PeerHeartbeat{ProcessID: maxUint64}, false},
		{"lease grant", protocol.LeaseGrant{Term: 4, HeartbeatSentAt: 12}, true},
		{"vote request", protocol.VoteRequest{Term: 5}, true},
		{"vote", protocol.Vote{Term: 5, Granted: true}, true},
		{"vote/refused", protocol.Vote{Term: 5}, false},
		{"forwarded request/submit", protocol.ForwardedRequest{ID: 9, Kind: protocol.RequestSubmit, JobID: "j-1",
			Body: json.RawMessage(`{"uid":"j-1"}`)}, true},
		{"forwarded request/query", protocol.ForwardedRequest{ID: 9, Kind: protocol.RequestQuery, JobID: "j-1"}, false},
		{"forwarded request/cancel", protocol.ForwardedRequest{ID: 9, Kind: protocol.RequestCancel, JobID: "j-1"}, false},
		{"forwarded request/report", protocol.ForwardedRequest{ID: maxUint64, Kind: protocol.RequestHeartbeat,
			Body: json.RawMessage(`{"maquina":"m-1"}`)}, false},
		{"forwarded answer", protocol.ForwardedResponse{ID: 9, Status: 503, RetryAfter: 2,
			Body: json.RawMessage(`{"uid":"j-1"}`)}, true},
		{"forwarded answer/no body", protocol.ForwardedResponse{ID: 9, Status: 200}, false},
		{"admission load", protocol.AdmissionLoad{PolicyRevision: 12,
			Groups: []protocol.GroupLoad{
				{Team: "a", Class: "c", PriorityRank: 3, RejectedForCapacity: 7, RejectedByPolicy: 9}}}, true},
		{"admission load/least", protocol.AdmissionLoad{Groups: []protocol.GroupLoad{{}}}, false},
	}
}

// TestPeerMessages guards against a changed format of messages between controllers, because
// controllers of different versions exchange them.
func TestPeerMessages(t *testing.T) {
	var got []goldenLine
	for _, m := range peerMessages() {
		raw, err := protocol.EncodePeerMessage(m.message)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, goldenLine{m.name, string(raw)})
		if m.allFieldsSet {
			checkAllFieldsSet(t, m.name, reflect.ValueOf(m.message))
		}
	}
	checkGolden(t, "wire_peers.txt", got)
	for i, l := range readGolden(t, "wire_peers.txt") {
		decoded, err := protocol.DecodePeerMessage([]byte(l.value))
		if err != nil || !reflect.DeepEqual(decoded, peerMessages()[i].message) {
			t.Errorf("decoding %s: got %+v, error %v; want %+v", l.value, decoded, err, peerMessages()[i].message)
			continue
		}
		if reencoded, err := protocol.EncodePeerMessage(decoded); err != nil || string(reencoded) != l.value {
			t.Errorf("%s decoded and encoded again: got %s, error %v; want the same bytes", l.value, reencoded, err)
		}
	}
}

// TestPeerMessageErrors guards against an invalid message that is accepted, against changed error
// texts, and against an unknown type of message or request that is not reported as unknown. Receivers
// ignore these messages, because a later version may send them.
func TestPeerMessageErrors(t *testing.T) {
	var got []goldenLine
	for _, raw := range []string{`{`, `{"type":"beat","sent":-1}`, `{"type":"beat","lead":true}`,
		`{"type":"promise","sent":1}`, `{"type":"clear"}`, `{"type":"cleared"}`,
		`{"type":"ask","kind":"query","job":"j-1"}`, `{"type":"ask","id":1,"kind":"query"}`,
		`{"type":"ask","id":1,"kind":"submit","job":"j-1"}`, `{"type":"answer","id":1}`, `{"type":"load"}`,
		`{"type":"load","loads":[{"away":-1}]}`, `{"type":"later","term":3}`, `{"type":"ask","id":1,"kind":"later"}`} {
		_, err := protocol.DecodePeerMessage([]byte(raw))
		var unknown *protocol.UnknownPeerMessageError
		outcome := "error: "
		if errors.As(err, &unknown) {
			outcome = "ignored: "
		}
		if err == nil {
			t.Errorf("message %s: got no error, want one", raw)
			continue
		}
		got = append(got, goldenLine{raw, outcome + strings.ReplaceAll(err.Error(), "\n", " ")})
	}
	checkGolden(t, "wire_peers_errors.txt", got)
}

// TestPeerConnection guards against a changed framing of connections between controllers: the first
// line, the lines of messages, and the newline that acknowledges a message. It records what a sender
// writes, and then sends the golden lines to a receiver.
func TestPeerConnection(t *testing.T) {
	targetListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer targetListener.Close()
	options := transport.PeerLinkOptions{IdleTimeout: 5 * time.Second, QueueLength: 4, Log: slog.New(slog.DiscardHandler)}
	sender := transport.NewPeerLinks("n0", []config.Peer{{Node: "n1", Address: targetListener.Addr().String()}}, options,
		func(context.Context, controller.InboundMessage) {})
	go sender.Maintain(t.Context())
	sender.Send("n1", protocol.VoteRequest{Term: 5})
	fromSender, err := targetListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	fromSender.SetDeadline(time.Now().Add(10 * time.Second))
	scanner := bufio.NewScanner(fromSender)
	var got []goldenLine
	for _, name := range []string{"first line", "message"} {
		if !scanner.Scan() {
			t.Fatal(scanner.Err())
		}
		got = append(got, goldenLine{name, scanner.Text()})
	}
	fromSender.Close()
	targetListener.Close()
	checkGolden(t, "wire_peers_connection.txt", got)

	receiverListener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer receiverListener.Close()
	received := make(chan controller.InboundMessage, 1)
	receiver := transport.NewPeerLinks("n1", []config.Peer{{Node: "n0", Address: targetListener.Addr().String()}},
		options, func(_ context.Context, m controller.InboundMessage) { received <- m })
	go receiver.Serve(t.Context(), receiverListener)
	toReceiver, err := net.Dial("tcp4", receiverListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer toReceiver.Close()
	toReceiver.SetDeadline(time.Now().Add(10 * time.Second))
	for _, l := range readGolden(t, "wire_peers_connection.txt") {
		if _, err := io.WriteString(toReceiver, l.value+"\n"); err != nil {
			t.Fatal(err)
		}
	}
	ack := make([]byte, 1)
	if _, err := io.ReadFull(toReceiver, ack); err != nil || ack[0] != '\n' {
		t.Errorf("acknowledgement: got %q, error %v; want a newline", ack, err)
	}
	select {
	case m := <-received:
		if m != (controller.InboundMessage{From: "n0", Message: protocol.VoteRequest{Term: 5}}) {
			t.Errorf("receiver: got message %+v, want the vote request for term 5 from n0", m)
		}
	case <-time.After(10 * time.Second):
		t.Error("receiver: got no message within 10 s, want the vote request")
	}
}

// echoHandler replies to each request with a description of it, and to requests for the jobs j-empty
// and j-later with an error status without a body.
type echoHandler struct{}

func (echoHandler) Handle(_ context.Context, request controller.Request, _ time.Duration) controller.Reply {
	switch request.JobID {
	case "j-empty":
		return controller.Reply{Status: 404}
	case "j-later":
		return controller.Reply{Status: 503, RetryAfter: 7}
	}
	body := string(request.Kind) + " " + request.JobID
	if request.Job != nil {
		body += " job " + request.Job.ID
	}
	if request.Heartbeat != nil {
		body += " report " + request.Heartbeat.Machine
	}
	return controller.Reply{Status: 200, Body: []byte(body)}
}

func (echoHandler) Trace(job string) []tracing.Step {
	return []tracing.Step{{Job: job, Node: "n0", Name: "stored", At: time.Unix(1_000_000, 5).UTC(), Note: "x",
		Term: 4, Epoch: 5}}
}

// TestServerPaths guards against changed paths, status codes, headers and error bodies of the HTTP
// server, on which users, workers, the load balancer and operators depend.
func TestServerPaths(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go transport.NewServer(echoHandler{}, transport.ServerOptions{MaxConnections: 64, IdleTimeout: 5 * time.Second,
		RequestTimeout: time.Second}).Serve(t.Context(), listener)
	job := string(storage.Encode(minimalJob()))
	var got []goldenLine
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/work", job}, {"POST", "/work", "{"}, {"GET", "/work/j-1", ""}, {"POST", "/work/j-1/cancel", ""},
		{"GET", "/work/j-empty", ""}, {"GET", "/work/j-later", ""},
		{"POST", "/v1/report", `{"maquina":"m-1","turno":1}`}, {"POST", "/v1/report", `{"maquina":"m-1"}`},
		{"GET", "/healthz", ""}, {"GET", "/status", ""}, {"GET", "/metrics", ""}, {"GET", "/admission", ""},
		{"GET", "/admission/j-1", ""}, {"GET", "/links", ""}, {"GET", "/recovery", ""}, {"GET", "/trace/j-1", ""},
		{"GET", "/nothing", ""}, {"DELETE", "/work/j-1", ""},
	} {
		req, err := http.NewRequest(c.method, "http://"+listener.Addr().String()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, goldenLine{c.method + " " + c.path + " " + c.body,
			strconv.Itoa(resp.StatusCode) + " " + resp.Header.Get("Content-Type") +
				" retry=" + resp.Header.Get("Retry-After") + " " + string(body)})
	}
	checkGolden(t, "wire_paths.txt", got)
}

// TestStatusPages guards against changed fields of the status pages, including the optional ones, and
// against changed names of mismatches, recovery phases, operations and priorities.
func TestStatusPages(t *testing.T) {
	group := admission.Group{Team: "team-b", Class: "class-a", PriorityRank: 2}
	share := admission.Share{Group: group, Start: 11, Steps: []uint64{12, admission.Ring}, Demand: 1.5}
	checkJSONCases(t, "wire_status_pages.txt", []jsonCase{
		fullCase("links", reachability.NodeStatus{Node: "n0", Peers: []string{"n1"},
			IncomingLinks: []reachability.IncomingLink{{Node: "n1", AgeMS: 20}}, LinkTimeoutMS: 30, StoreReachable: true,
			IsLeader: true, LeaderName: "n1", Term: 4, CandidacyPaused: true, RecentWorkers: 5, StrandedWorkers: 6,
			SecondsSinceServed: 7.5}),
		fullCase("recovery", recovery.NodeStatus{Node: "n0", IsLeader: true, LeaderName: "n1", Term: 4,
			Quarantined: []recovery.QuarantinedRecord{{Key: "job/j-1", Reason: "why", MaybeNewerVersion: true}},
			Recovery: &recovery.Status{Term: 4, Phase: "pacing", Paced: true, PhaseSeconds: 1.5, ElapsedSeconds: 2.5,
				WaitsFor: "x", Machines: 3, Unreconciled: 2, Mismatches: map[string]int{"kind": 1},
				Samples: []recovery.MismatchSample{{Kind: "kind", Machine: "m-1", Subject: "j-1/0", AfterSeconds: 3.5}},
				Budgets: []recovery.Budget{
					{Operation: "start", Remaining: 4.5, Rate: recovery.Rate{PerSecond: 5.5, Burst: 6.5}}}}}),
		fullCase("admission", admission.NodeStatus{Node: "n0", IsLeader: true, Enabled: true, PolicyRevision: 9,
			Invalid: true, PolicyAgeSeconds: 1.5, EpochCapacity: 2.5, Policy: &admission.Policy{
				Epoch: 3, EpochLengthMS: 4000, Shares: []admission.Share{share}, DefaultShare: share},
			WaitingGroups: []admission.WaitingGroup{{Group: group, Jobs: 6}}, Job: &admission.JobStatus{ID: "j-1",
				Accepted: true, RejectedGroup: &group, AdmittedNow: true, SecondsUntilAdmitted: 7}}),
		partialCase("admission/no policy", admission.NodeStatus{Node: "n0"}),
		fullCase("trace step", tracing.Step{Job: "j-1", Node: "n0", Name: "stored", At: time.Unix(1_000_000, 5).UTC(),
			Note: "x", Term: 4, Epoch: 5}),
	})
	var names []goldenLine
	var counts recovery.MismatchCounts
	counts.ForEach(func(kind recovery.Mismatch, _ int) { names = append(names, goldenLine{"mismatch", kind.String()}) })
	for _, phase := range []recovery.Phase{recovery.PhaseReading, recovery.PhaseCollecting, recovery.PhaseReconciling,
		recovery.PhasePacing, recovery.PhaseNormal} {
		names = append(names, goldenLine{"phase " + strconv.Itoa(int(phase)), phase.String()})
	}
	for _, operation := range []recovery.Operation{recovery.StartTask, recovery.StopTask, recovery.RentMachine,
		recovery.ReturnMachine} {
		names = append(names, goldenLine{"order", operation.String()})
	}
	for rank := range 5 {
		names = append(names, goldenLine{"rank " + strconv.Itoa(rank), string(protocol.PriorityName(rank))})
	}
	checkGolden(t, "words.txt", names)
}

// TestAdmissionPositions guards against a changed position of a job on the ring of the admission
// policy, because all versions must agree on it.
func TestAdmissionPositions(t *testing.T) {
	var got []goldenLine
	for _, id := range []string{"j-1", "j-000412", "j-a.b_c-d", "j-Z9"} {
		got = append(got, goldenLine{id, strconv.FormatUint(uint64(admission.Position(id)), 10)})
	}
	checkGolden(t, "admission_positions.txt", got)
}
