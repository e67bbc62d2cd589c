package compatibility

import (
	"bufio"
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

	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/admission"
	"hitchdoor/internal/config"
	"hitchdoor/internal/coordination"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/reachability"
	"hitchdoor/internal/recovery"
	"hitchdoor/internal/storage"
	"hitchdoor/internal/tracing"
	"hitchdoor/internal/transport"
)

// fullJob is a submission with a value in each field.
func fullJob() protocol.Job {
	return protocol.Job{UID: "j-77", Class: "class-a", Team: "team-b", Kind: "batch", Priority: "prod", Tasks: 5, Cores: 1.25,
		Accelerators: 2.5, RAM: 3.75, Image: "image-c", ImageGB: 4.5, Types: []string{"t1", "t2"}, Zone: "zone-d", SameZone: true,
		Spread: true, Spot: true, EstimateS: 6.5, CheckpointS: 7.5, SaveS: 8.5, DeadlineS: of(9.5), Needs: []string{"j-78", "j-79"}}
}

// leastJob is one with required fields only.
func leastJob() protocol.Job {
	return protocol.Job{UID: "j-1", Class: "c", Team: "t", Kind: "batch", Priority: "low", Tasks: 1}
}

func TestUserMessages(t *testing.T) {
	checkMessages(t, "wire_users.txt", []message{
		full("submission/full", fullJob()),
		part("submission/least", leastJob()),
		full("job state/full", protocol.JobState{UID: "j-77", State: protocol.Running, Done: of(3), Running: of(4)}),
		part("job state/none done", protocol.JobState{UID: "j-77", State: protocol.Queued, Done: of(0), Running: of(0)}),
		part("job state/queued", protocol.JobState{UID: "j-77", State: protocol.Queued}),
		part("job state/done", protocol.JobState{UID: "j-77", State: protocol.Done}),
		part("job state/withdrawn", protocol.JobState{UID: "j-77", State: protocol.Withdrawn}),
	})
}

// A submission in another order, with null and unknown fields, means the same.
func TestSubmissionsOfOthers(t *testing.T) {
	for _, c := range []struct {
		body string
		want protocol.Job
	}{
		{`{"aguarda":["j-78","j-79","j-78"],"prazoS":9.5,"guardaS":8.5,"marcoS":7.5,"previstoS":6.5,"avulsas":true,"apart":true,
			"samePlace":true,"praca":"zone-d","portes":["t1","t2"],"pullGb":4.5,"molde":"image-c","ramGb":3.75,"accelerators":2.5,
			"cores":1.25,"pecas":5,"vez":"prod","feitio":"batch","dono":"team-b","lote":"class-a","uid":"j-77","novo":[1,{}]}`, fullJob()},
		{`{"uid":"j-1","lote":"c","dono":"t","feitio":"batch","vez":"low","pecas":1,"cores":0,"accelerators":0.0,"ramGb":0,"molde":"",
			"pullGb":0,"portes":null,"praca":null,"samePlace":false,"apart":false,"avulsas":false,"previstoS":0,"marcoS":0,
			"guardaS":0,"prazoS":null,"aguarda":null}`, leastJob()},
	} {
		job, err := protocol.ParseJob([]byte(c.body))
		if err != nil || job.UID != c.want.UID || !reflect.DeepEqual(storage.Encode(job), storage.Encode(c.want)) {
			t.Errorf("%s: %+v, %v", c.body, job, err)
		}
	}
}

// The texts of refusals of submissions.
func TestSubmissionErrors(t *testing.T) {
	plain := string(storage.Encode(fullJob()))
	var got []line
	parse := func(name, body string) {
		_, err := protocol.ParseJob([]byte(body))
		if err == nil {
			t.Errorf("%s: accepted", name)
			return
		}
		got = append(got, line{name, err.Error()})
	}
	parse("not JSON", "{")
	parse("null", "null")
	parse("too large", plain+strings.Repeat(" ", protocol.MaxBody))
	var fields map[string]json.RawMessage
	if err := json.Unmarshal([]byte(plain), &fields); err != nil {
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
			got = append(got, line{"without " + name, err.Error()})
		} else {
			got = append(got, line{"without " + name, "accepted"})
		}
		for _, value := range []string{`""`, `-1`, `"x"`, `{}`} {
			body[name] = json.RawMessage(value)
			if _, err := protocol.ParseJob(storage.Encode(body)); err != nil {
				got = append(got, line{name + " = " + value, err.Error()})
			} else {
				got = append(got, line{name + " = " + value, "accepted"})
			}
		}
	}
	checkGolden(t, "wire_users_errors.txt", got)
}

func TestWorkerMessages(t *testing.T) {
	report := protocol.Report{Machine: "m-000007", Address: "10.9.8.7:6", Type: "t1", Zone: "zone-d", Spot: true, Session: 2, Seq: 3,
		FencingToken: 1<<64 - 1, NoticeS: of(4.5), Tasks: []protocol.TaskReport{
			{Task: protocol.TaskKey("j-77", 12), Attempt: 5, State: protocol.TaskExited, Why: protocol.WhyHalted, Saved: true}}}
	tasks := protocol.Report{Machine: "m-000008", Session: 1, Tasks: []protocol.TaskReport{}}
	for i, state := range []string{protocol.TaskFetching, protocol.TaskRunning, protocol.TaskSaving} {
		tasks.Tasks = append(tasks.Tasks, protocol.TaskReport{Task: protocol.TaskKey("j-1", i), Attempt: 1, State: state})
	}
	for i, why := range []string{protocol.WhyDone, protocol.WhyHalted, protocol.WhyError, protocol.WhyFull, protocol.WhyInUse, protocol.WhyUnknown} {
		tasks.Tasks = append(tasks.Tasks, protocol.TaskReport{Task: protocol.TaskKey("j-2", i), Attempt: 1, State: protocol.TaskExited, Why: why})
	}
	checkMessages(t, "wire_workers.txt", []message{
		full("report/full", report),
		part("report/all task states", tasks),
		part("report/no tasks", protocol.Report{Machine: "m-000009", Session: 1}),
		part("answer/commands", protocol.ReportAnswer{FencingToken: 41, Commands: []protocol.Command{
			{Op: protocol.OpStart, Task: "j-77/0", Attempt: 2},
			{Op: protocol.OpStop, Task: "j-77/1", Attempt: 3, GraceS: of(10.5)},
			{Op: protocol.OpStop, Task: "j-77/1", Attempt: 3, GraceS: of(0.0)},
			{Op: protocol.OpForget, Task: "j-77/2", Attempt: 4}}}),
		part("answer/no commands", protocol.ReportAnswer{FencingToken: 1, Commands: []protocol.Command{}}),
		full("redirect", protocol.Redirect{ReportTo: "n-2"}),
		part("redirect/nowhere", protocol.Redirect{}),
	})
	for _, l := range readGolden(t, "wire_workers.txt") {
		if strings.HasPrefix(l.name, "report/") {
			if read, err := protocol.ParseReport([]byte(l.value)); err != nil || string(storage.Encode(read)) != l.value {
				t.Errorf("%s: parsed as %+v: %v", l.name, read, err)
			}
		}
	}
}

func TestCloudMessages(t *testing.T) {
	checkMessages(t, "wire_cloud.txt", []message{
		full("catalog", protocol.Catalog{Types: []protocol.MachineType{{Name: "t1", Cores: 4.5, Accelerators: 1.5, RAM: 16.5, CacheGB: 40.5,
			PullGBPerS: 0.75, Rate: 0.375, SpotRate: 0.125, ReadyS: 45.5, Zones: []string{"a", "b"}}}}),
		part("catalog/empty", protocol.Catalog{}),
		full("rental", protocol.Rental{Request: "r-4-17", Type: "t1", Zone: "a", Spot: true, Count: 12}),
		part("rental/ordinary", protocol.Rental{Request: "r-4-18", Type: "t1", Zone: "a", Count: 1}),
		full("machine names", protocol.MachineNames{Machines: []string{"m-000001", "m-000002"}}),
		full("hosts", protocol.HostList{Machines: []protocol.Host{{UID: "m-000001", Address: "10.9.8.7:6", Type: "t1", Zone: "a", Spot: true,
			State: protocol.HostFailed, HeldS: 61.5}}, Truncated: true}),
		part("hosts/empty", protocol.HostList{}),
	})
}

func TestStateServiceMessages(t *testing.T) {
	checkMessages(t, "wire_state.txt", []message{
		full("item", storage.Item{Key: "a/b", Value: json.RawMessage(`{"x":1}`), Version: 412, Lease: 7}),
		part("item/no lease", storage.Item{Key: "a/b", Value: json.RawMessage(`[]`), Version: 412}),
		full("page", storage.Page{Items: []storage.Item{{Key: "c/1", Value: json.RawMessage(`"v"`), Version: 2, Lease: 3}}, Truncated: true, Revision: 431}),
		full("events", storage.Events{Revision: 433, Log: []storage.Event{{Set: "c/9", Drop: "c/8", Value: json.RawMessage(`{}`), Version: 433}}}),
		full("transaction", storage.Txn{If: []storage.Cond{{Key: "a/b", Version: 5}},
			Writes: []storage.Write{{Set: "a/b", Value: json.RawMessage(`{}`), Lease: 7, Drop: "c/d"}}}),
		part("transaction/set and drop", storage.Txn{If: []storage.Cond{{Key: "a/b"}}, Writes: []storage.Write{storage.Set("a/b", 1), storage.Drop("c/d")}}),
		part("transaction/compare only", storage.Txn{If: []storage.Cond{{Key: "a/b", Version: 5}}}),
		full("result", storage.TxnResult{Revision: 432, Failed: []string{"a/b"}}),
		full("hold", storage.Hold{TTLMS: 5000, Lease: 7}),
		part("hold/request", storage.Hold{TTLMS: 5000}),
		part("hold/answer", storage.Hold{Lease: 7}),
	})
	var events storage.Events
	want := storage.Events{Revision: 9, Log: []storage.Event{{Set: "c/9", Value: json.RawMessage(`{"y":2}`), Version: 8}, {Drop: "c/d", Version: 9}}}
	raw := `{"log":[{"versao":8,"data":{"y":2},"set":"c/9"},{"drop":"c/d","versao":9,"novo":0}],"edicao":9}`
	if err := json.Unmarshal([]byte(raw), &events); err != nil || !reflect.DeepEqual(events, want) {
		t.Errorf("%s: %+v, %v", raw, events, err)
	}
}

// peerMessages are all kinds of messages between controllers.
func peerMessages() []struct {
	name    string
	message protocol.PeerMessage
	full    bool
} {
	const most = 1<<64 - 1
	return []struct {
		name    string
		message protocol.PeerMessage
		full    bool
	}{
		{"heartbeat/full", protocol.Heartbeat{Term: 4, Leads: true, WantsGrant: true, Sent: 12, Uptime: 13, Process: 5, Heard: 7, Level: 1,
			Slowed: true, Full: true, Room: 31, Policy: 77, Links: &protocol.LinkReport{Hears: []reachability.Heard{{Node: "n1", AgeMS: 20}},
				State: true, Workers: 8, Stranded: 9, Worst: &reachability.Elsewhere{Node: "n2", Stranded: 10}}}, true},
		{"heartbeat/least", protocol.Heartbeat{}, false},
		{"heartbeat/links without worst", protocol.Heartbeat{Sent: 1, Links: &protocol.LinkReport{}}, false},
		{"heartbeat/largest process", protocol.Heartbeat{Process: most}, false},
		{"lease grant", protocol.LeaseGrant{Term: 4, Sent: 12}, true},
		{"vote request", protocol.VoteRequest{Term: 5}, true},
		{"vote", protocol.Vote{Term: 5, Granted: true}, true},
		{"vote/refused", protocol.Vote{Term: 5}, false},
		{"forwarded request/submit", protocol.ForwardedRequest{ID: 9, Kind: protocol.RequestSubmit, Job: "j-1", Body: json.RawMessage(`{"uid":"j-1"}`)}, true},
		{"forwarded request/query", protocol.ForwardedRequest{ID: 9, Kind: protocol.RequestQuery, Job: "j-1"}, false},
		{"forwarded request/cancel", protocol.ForwardedRequest{ID: 9, Kind: protocol.RequestCancel, Job: "j-1"}, false},
		{"forwarded request/report", protocol.ForwardedRequest{ID: most, Kind: protocol.RequestReport, Body: json.RawMessage(`{"maquina":"m-1"}`)}, false},
		{"forwarded answer", protocol.ForwardedAnswer{ID: 9, Status: 503, RetryAfter: 2, Body: json.RawMessage(`{"uid":"j-1"}`)}, true},
		{"forwarded answer/no body", protocol.ForwardedAnswer{ID: 9, Status: 200}, false},
		{"admission load", protocol.AdmissionLoad{Version: 12, Groups: []protocol.GroupLoad{{Team: "a", Class: "c", Rank: 3, TurnedAway: 7, Refused: 9}}}, true},
		{"admission load/least", protocol.AdmissionLoad{Groups: []protocol.GroupLoad{{}}}, false},
	}
}

func TestPeerMessages(t *testing.T) {
	var got []line
	for _, m := range peerMessages() {
		raw, err := protocol.EncodePeer(m.message)
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, line{m.name, string(raw)})
		if m.full {
			checkAllSet(t, m.name, reflect.ValueOf(m.message))
		}
	}
	checkGolden(t, "wire_peers.txt", got)
	for i, l := range readGolden(t, "wire_peers.txt") {
		read, err := protocol.DecodePeer([]byte(l.value))
		if err != nil || !reflect.DeepEqual(read, peerMessages()[i].message) {
			t.Errorf("%s is read as %+v: %v", l.value, read, err)
			continue
		}
		if again, err := protocol.EncodePeer(read); err != nil || string(again) != l.value {
			t.Errorf("%s is written again as %s: %v", l.value, again, err)
		}
	}
}

// The error texts of lines that can't be read, and of what a later version may send.
func TestPeerErrors(t *testing.T) {
	var got []line
	for _, raw := range []string{`{`, `{"type":"beat","sent":-1}`, `{"type":"beat","lead":true}`, `{"type":"promise","sent":1}`, `{"type":"clear"}`,
		`{"type":"cleared"}`, `{"type":"ask","kind":"query","job":"j-1"}`, `{"type":"ask","id":1,"kind":"query"}`,
		`{"type":"ask","id":1,"kind":"submit","job":"j-1"}`, `{"type":"answer","id":1}`, `{"type":"load"}`, `{"type":"load","loads":[{"away":-1}]}`,
		`{"type":"later","term":3}`, `{"type":"ask","id":1,"kind":"later"}`} {
		_, err := protocol.DecodePeer([]byte(raw))
		var unknown *protocol.UnknownPeerTypeError
		kind := "error: "
		if errors.As(err, &unknown) {
			kind = "ignored: "
		}
		if err == nil {
			t.Errorf("%s is read", raw)
			continue
		}
		got = append(got, line{raw, kind + strings.ReplaceAll(err.Error(), "\n", " ")})
	}
	checkGolden(t, "wire_peers_errors.txt", got)
}

// The first line of a connection between controllers, one message, and the acknowledgement.
func TestPeerConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	opt := transport.PeerOptions{Quiet: 5 * time.Second, Queue: 4, Log: slog.New(slog.DiscardHandler)}
	sender := transport.NewPeers("n0", []config.Peer{{Node: "n1", PeerAddr: ln.Addr().String()}}, opt, func(coordination.PeerMessage) {})
	sender.Send("n1", protocol.VoteRequest{Term: 5})
	conn, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	lines := bufio.NewScanner(conn)
	var got []line
	for _, name := range []string{"first line", "message"} {
		if !lines.Scan() {
			t.Fatal(lines.Err())
		}
		got = append(got, line{name, lines.Text()})
	}
	conn.Close()
	ln.Close()
	checkGolden(t, "wire_peers_connection.txt", got)

	in, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer in.Close()
	took := make(chan coordination.PeerMessage, 1)
	receiver := transport.NewPeers("n1", []config.Peer{{Node: "n0", PeerAddr: ln.Addr().String()}}, opt, func(m coordination.PeerMessage) { took <- m })
	go receiver.Serve(in)
	out, err := net.Dial("tcp4", in.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer out.Close()
	out.SetDeadline(time.Now().Add(10 * time.Second))
	for _, l := range readGolden(t, "wire_peers_connection.txt") {
		if _, err := io.WriteString(out, l.value+"\n"); err != nil {
			t.Fatal(err)
		}
	}
	ack := make([]byte, 1)
	if _, err := io.ReadFull(out, ack); err != nil || ack[0] != '\n' {
		t.Errorf("acknowledged by %q: %v", ack, err)
	}
	select {
	case m := <-took:
		if m != (coordination.PeerMessage{From: "n0", Msg: protocol.VoteRequest{Term: 5}}) {
			t.Errorf("read as %+v", m)
		}
	case <-time.After(10 * time.Second):
		t.Error("no message arrived")
	}
}

// owner answers each request with what reached it.
type owner struct{}

func (owner) Ask(r coordination.Request, _ time.Duration) coordination.Reply {
	switch r.ID {
	case "j-empty":
		return coordination.Reply{Status: 404}
	case "j-later":
		return coordination.Reply{Status: 503, RetryAfter: 7}
	}
	body := string(r.Kind) + " " + r.ID
	if r.Job != nil {
		body += " job " + r.Job.UID
	}
	if r.Report != nil {
		body += " report " + r.Report.Machine
	}
	return coordination.Reply{Status: 200, Body: []byte(body)}
}

func (owner) Trace(job string) []tracing.Step {
	return []tracing.Step{{Job: job, Node: "n0", Name: "stored", At: time.Unix(1_000_000, 5).UTC(), Note: "x", Term: 4, Epoch: 5}}
}

// The paths that users, workers, the load balancer and operators ask, and the frame of the answers.
func TestServerPaths(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go transport.NewServer(owner{}, transport.ServerOptions{Connections: 64, Idle: 5 * time.Second, Patience: time.Second}).Serve(ln)
	job := string(storage.Encode(leastJob()))
	var got []line
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/work", job}, {"POST", "/work", "{"}, {"GET", "/work/j-1", ""}, {"POST", "/work/j-1/cancel", ""},
		{"GET", "/work/j-empty", ""}, {"GET", "/work/j-later", ""},
		{"POST", "/v1/report", `{"maquina":"m-1","turno":1}`}, {"POST", "/v1/report", `{"maquina":"m-1"}`},
		{"GET", "/healthz", ""}, {"GET", "/status", ""}, {"GET", "/metrics", ""}, {"GET", "/admission", ""}, {"GET", "/admission/j-1", ""},
		{"GET", "/links", ""}, {"GET", "/recovery", ""}, {"GET", "/trace/j-1", ""}, {"GET", "/nothing", ""}, {"DELETE", "/work/j-1", ""},
	} {
		req, err := http.NewRequest(c.method, "http://"+ln.Addr().String()+c.path, strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, line{c.method + " " + c.path + " " + c.body, strconv.Itoa(resp.StatusCode) + " " + resp.Header.Get("Content-Type") +
			" retry=" + resp.Header.Get("Retry-After") + " " + string(raw)})
	}
	checkGolden(t, "wire_paths.txt", got)
}

// What the status pages say in full, with every optional field.
func TestStatusPages(t *testing.T) {
	group := admission.Group{Team: "team-b", Class: "class-a", Rank: 2}
	share := admission.Share{Group: group, Tail: 11, Steps: []uint64{12, admission.Ring}, Demand: 1.5}
	checkMessages(t, "wire_status_pages.txt", []message{
		full("links", reachability.NodeStatus{Node: "n0", Known: []string{"n1"}, Hears: []reachability.Heard{{Node: "n1", AgeMS: 20}}, FreshMS: 30,
			State: true, Leads: true, Follows: "n1", Term: 4, Pausing: true, Workers: 5, Stranded: 6, ServedAgoS: 7.5}),
		full("recovery", recovery.NodeStatus{Node: "n0", Leads: true, Follows: "n1", Term: 4, SetAside: []recovery.Record{{Key: "job/j-1", Reason: "why", Newer: true}},
			Recovery: &recovery.Status{Term: 4, Phase: "pacing", Paced: true, ForS: 1.5, AfterS: 2.5, WaitsFor: "x", Machines: 3, Missing: 2,
				Mismatches: map[string]int{"kind": 1}, Samples: []recovery.Sample{{Kind: "kind", Machine: "m-1", Subject: "j-1/0", AfterS: 3.5}},
				Budgets: []recovery.Budget{{Order: "start", Left: 4.5, Rate: recovery.Rate{PerSecond: 5.5, Burst: 6.5}}}}}),
		full("admission", admission.NodeStatus{Node: "n0", Leads: true, Enabled: true, Version: 9, Invalid: true, AgeS: 1.5, Capacity: 2.5,
			Policy:  &admission.Policy{Epoch: 3, LengthMS: 4000, Shares: []admission.Share{share}, Rest: share},
			Waiting: []admission.WaitingGroup{{Group: group, Jobs: 6}}, Job: &admission.JobStatus{ID: "j-1", Accepted: true, Refused: &group, Admit: true, TurnInS: 7}}),
		part("admission/no policy", admission.NodeStatus{Node: "n0"}),
		full("trace step", tracing.Step{Job: "j-1", Node: "n0", Name: "stored", At: time.Unix(1_000_000, 5).UTC(), Note: "x", Term: 4, Epoch: 5}),
	})
	var names []line
	var counts recovery.Counts
	counts.Each(func(kind recovery.Mismatch, _ int) { names = append(names, line{"mismatch", kind.String()}) })
	for _, phase := range []recovery.Phase{recovery.Reading, recovery.Collecting, recovery.Reconciling, recovery.Pacing, recovery.Normal} {
		names = append(names, line{"phase " + strconv.Itoa(int(phase)), phase.String()})
	}
	for _, order := range []recovery.Order{recovery.StartTask, recovery.StopTask, recovery.RentMachine, recovery.ReturnMachine} {
		names = append(names, line{"order", order.String()})
	}
	for rank := range 5 {
		names = append(names, line{"rank " + strconv.Itoa(rank), protocol.PriorityOf(rank)})
	}
	checkGolden(t, "words.txt", names)
}

// The place of a job on the ring of the admission policy: all versions must agree.
func TestAdmissionPositions(t *testing.T) {
	var got []line
	for _, id := range []string{"j-1", "j-000412", "j-a.b_c-d", "j-Z9"} {
		got = append(got, line{id, strconv.FormatUint(uint64(admission.Position(id)), 10)})
	}
	checkGolden(t, "admission_positions.txt", got)
}
