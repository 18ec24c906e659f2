//! Streams that are resumed, by clients at other gateways and by gateways within an answer, while engines of several software
//! versions serve. What two versions write does not fit together.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{Call, Reply, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, Process, routes, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, LinkFault, Script};
use rustix::process::Signal;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const EVENTS: u64 = 8;
const STREAMS: usize = 16;
/// Shorter than any wait for a full engine.
const AT_ONCE: Duration = Duration::from_millis(500);
/// Longer than settlements are gathered.
const UNTIL_SETTLED: Duration = Duration::from_millis(900);
/// Longer than any route of the deployment lets a request run, and a second more.
const CLIENT_PATIENCE: Duration = Duration::from_secs(7);
const V1: &str = "v1";
const V2: &str = "v2";

/// Slow enough for a client to disconnect midway.
fn slow_stream() -> Script {
    Script::always(Answer::Stream {
        events: EVENTS,
        gap_ms: 20,
    })
}

/// One attempt of a stream that belongs to a program of its own.
fn attempt(stream: &str, number: usize) -> Call {
    call_post("/chat/x", &format!("{stream}-{number}"), "prompt")
        .header("ridgeworks-program-id", stream)
        .header("ridgeworks-session-id", stream)
        .header("ridgeworks-token-budget", "100000")
        .header("ridgeworks-token-count", "100,80")
}

/// The attempt that resumes a stream after the events that `first` received in attempt 1.
fn resuming_attempt(stream: &str, first: &Reply) -> Call {
    let last = first.event_ids().last().copied().expect("an event");
    attempt(stream, 2)
        .header("last-event-id", &last.to_string())
        .header("resumes", &format!("{stream}-1"))
}

/// Begins a stream and disconnects after the first events.
fn begin(stream: &str, gateway: SocketAddr) -> Reply {
    let reply = attempt(stream, 1).send_and_read_frames(gateway, 2);
    reply.filter(|reply| reply.status == 200).expect("events")
}

fn begin_all(gateway: SocketAddr) -> Vec<(String, Reply)> {
    let begun = (0..STREAMS).map(|number| {
        let stream = format!("s{number}");
        let reply = begin(&stream, gateway);
        (stream, reply)
    });
    begun.collect()
}

/// Software versions of all events of a stream.
fn versions(first: &Reply, rest: &Reply) -> BTreeSet<String> {
    &first.software_versions() | &rest.software_versions()
}

fn start_engines(deployment: &Deployment, version: &str, names: [&str; 2]) -> [EngineStandIn; 2] {
    names.map(|name| deployment.start_engine_of(version, "models", name, slow_stream()))
}

/// Ends an engine, and waits until the gateways know.
fn end_engine(deployment: &Deployment, engine: &EngineStandIn) {
    deployment.store.remove("servers", &engine.instance());
    for gateway in &deployment.gateways {
        wait_until("the gateway knows that the engine is gone", || {
            gateway.log().iter().any(|line| {
                line["message"] == "engine gone"
                    && line["attributes"]["engine"] == engine.instance()
            })
        });
    }
}

fn wait_until_known(gateways: &[Process], engines: usize) {
    for gateway in gateways {
        let is_known = format!("ridgeworks_engines {engines}");
        wait_until("the gateway knows all engines", || {
            let metrics = ridgeworks_platform_stand_ins::client::get(gateway.metrics(), "/metrics");
            metrics.is_some_and(|metrics| metrics.body.lines().any(|line| line == is_known))
        });
    }
}

/// Streams begin at two engines of `v1` through the first gateway; one of these engines ends, and two of `v2` have come.
fn begun_streams(deployment: &Deployment) -> (Vec<(String, Reply)>, [EngineStandIn; 4]) {
    let [ended, other] = start_engines(deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    let begun = begin_all(deployment.gateways[0].callers());
    let [one, two] = start_engines(deployment, V2, ["i-3", "i-4"]);
    wait_until_known(&deployment.gateways, 4);
    end_engine(deployment, &ended);
    (begun, [ended, other, one, two])
}

/// Kills all processes at once and starts them again.
fn restart_all(deployment: &mut Deployment) {
    let gateways = deployment.gateways.iter_mut();
    let mut processes: Vec<&mut Process> = gateways.chain(&mut deployment.replicas).collect();
    processes.iter_mut().for_each(|process| process.kill());
    processes.iter_mut().for_each(|process| process.start());
    deployment.wait_until_ready();
}

fn assert_all_go_on_at_their_version(begun: &[(String, Reply)], gateway: SocketAddr) {
    let mut mixed = Vec::new();
    for (stream, first) in begun {
        let rest = resuming_attempt(stream, first).send(gateway);
        let rest = rest.expect("an answer");
        assert_eq!((rest.status, rest.is_whole), (200, true), "{stream}");
        let ids = [first.event_ids(), rest.event_ids()].concat();
        assert_eq!(ids, (1..=EVENTS).collect::<Vec<_>>(), "{stream}");
        if versions(first, &rest).len() > 1 {
            mixed.push(stream.clone());
        }
    }
    assert!(mixed.is_empty(), "events of two versions in {mixed:?}");
}

#[test]
fn a_stream_resumed_at_another_gateway_goes_on_at_the_version_that_began_it() {
    let deployment = Deployment::started(PROGRAM, 2, 3);
    let (begun, _engines) = begun_streams(&deployment);
    assert_all_go_on_at_their_version(&begun, deployment.gateways[1].callers());
}

#[test]
fn a_stream_resumed_after_all_processes_were_killed_goes_on_at_the_version_that_began_it() {
    let mut deployment = Deployment::started(PROGRAM, 2, 3);
    let (begun, _engines) = begun_streams(&deployment);
    restart_all(&mut deployment);
    wait_until_known(&deployment.gateways, 3);
    assert_all_go_on_at_their_version(&begun, deployment.gateways[1].callers());
}

/// One of these clients came back to a gateway that had just started, and was refused.
#[test]
fn a_stream_whose_client_names_no_attempt_goes_on_after_all_processes_were_killed() {
    let mut deployment = Deployment::started(PROGRAM, 2, 3);
    let _engines = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    let begun = begin_all(deployment.gateways[0].callers());
    restart_all(&mut deployment);
    wait_until_known(&deployment.gateways, 2);
    for (stream, first) in &begun {
        let mut call = resuming_attempt(stream, first);
        call.headers.retain(|(name, _)| name != "resumes");
        let rest = call.send(deployment.gateways[1].callers());
        let rest = rest.expect("an answer");
        assert_eq!((rest.status, rest.is_whole), (200, true), "{stream}");
    }
}

#[test]
fn a_gateway_resumes_a_broken_stream_at_the_version_that_began_it() {
    let deployment = Deployment::started(PROGRAM, 1, 3);
    let breaks = Script::always(Answer::TruncatedStream { events: 3 });
    let broken = deployment.start_engine_of(V1, "models", "i-1", breaks);
    let _v1 = deployment.start_engine_of(V1, "models", "i-2", slow_stream());
    let _v2 = ["i-3", "i-4", "i-5", "i-6"]
        .map(|name| deployment.start_engine_of(V2, "models", name, slow_stream()));
    wait_until_known(&deployment.gateways, 6);
    let gateway = deployment.gateways[0].callers();
    let mut mixed = Vec::new();
    for number in 0..4 * STREAMS {
        let stream = format!("s{number}");
        let reply = attempt(&stream, 1).send(gateway).expect("an answer");
        if reply.software_versions().len() > 1 {
            mixed.push(stream);
        }
    }
    assert!(!broken.runs().is_empty());
    assert!(mixed.is_empty(), "events of two versions in {mixed:?}");
}

#[test]
fn a_stream_is_resumed_at_the_version_that_brought_its_first_event_not_one_that_failed_before() {
    let deployment = Deployment::started(PROGRAM, 2, 3);
    let fails = Script::always(Answer::ClosesWithoutResponse);
    let failed = deployment.start_engine_of(V1, "models", "i-1", fails);
    let _v2 = start_engines(&deployment, V2, ["i-2", "i-3"]);
    wait_until_known(&deployment.gateways, 3);
    let begun = begin_all(deployment.gateways[0].callers());
    assert!(!failed.runs().is_empty());
    failed.set_script(slow_stream());
    assert_all_go_on_at_their_version(&begun, deployment.gateways[1].callers());
}

#[test]
fn a_stream_whose_version_is_gone_is_refused_at_once() {
    let deployment = Deployment::started(PROGRAM, 2, 3);
    let (begun, engines) = begun_streams(&deployment);
    end_engine(&deployment, &engines[1]);
    for (stream, first) in &begun {
        let sent_at = Instant::now();
        let rest = resuming_attempt(stream, first).send(deployment.gateways[1].callers());
        assert_eq!(rest.expect("an answer").status, 503, "{stream}");
        assert!(sent_at.elapsed() < AT_ONCE, "{stream}");
    }
    assert!(engines[2..].iter().all(|engine| engine.runs().is_empty()));
}

/// The resumed try reserved the whole stream once more, and its program's budget did not hold that.
#[test]
fn a_stream_that_its_program_s_budget_holds_is_resumed() {
    let deployment = Deployment::started(PROGRAM, 2, 3);
    let _engines = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    let budget = (EVENTS * 10).to_string();
    for number in 0..STREAMS {
        let stream = format!("s{number}");
        let first = attempt(&stream, 1).replace("ridgeworks-token-budget", &budget);
        let first = first.send_and_read_frames(deployment.gateways[0].callers(), 2);
        let first = first.expect("events");
        // Until then its first try is charged in full.
        std::thread::sleep(UNTIL_SETTLED);
        let rest = resuming_attempt(&stream, &first).replace("ridgeworks-token-budget", &budget);
        let rest = rest.send(deployment.gateways[1].callers());
        let rest = rest.expect("an answer");
        assert_eq!((rest.status, rest.is_whole), (200, true), "{stream}");
    }
}

/// An engine may have run it, so it must not be told that it has not run when its next software version cannot be recorded.
#[test]
fn a_stream_that_may_have_run_is_not_promised_otherwise_where_no_replica_answers() {
    let deployment = Deployment::started(PROGRAM, 1, 3);
    let silent = Script::always(Answer::Silent);
    let first = deployment.start_engine_of(V1, "models", "i-1", silent);
    wait_until_known(&deployment.gateways, 1);
    let gateway = deployment.gateways[0].callers();
    let sending = std::thread::spawn(move || attempt("s", 1).send(gateway));
    wait_until("the first engine runs it", || !first.runs().is_empty());
    let _second = deployment.start_engine_of(V2, "models", "i-2", slow_stream());
    wait_until_known(&deployment.gateways, 2);
    for replica in &deployment.replicas {
        replica.signal(Signal::STOP);
    }
    let reply = sending.join().expect("a client");
    for replica in &deployment.replicas {
        replica.signal(Signal::CONT);
    }
    assert_eq!(reply.expect("an answer").status, 502);
}

/// One attempt of a stream that belongs to no program.
fn attempt_without_program(stream: &str, number: usize) -> Call {
    call_post("/chat/x", &format!("{stream}-{number}"), "prompt")
}

/// A stream of no program, of which a client has received the first events.
struct BegunStream {
    name: String,
    events: Reply,
    /// The attempt that the client names when it resumes the stream.
    named_attempt: Option<usize>,
}

/// Begins streams of no program, by turns through each gateway; the clients of every other one name no attempt.
fn begin_without_program(gateways: &[Process]) -> Vec<BegunStream> {
    let begun = (0..12).map(|number| {
        let name = format!("s{number}");
        let gateway = gateways[number % gateways.len()].callers();
        let events = attempt_without_program(&name, 1).send_and_read_frames(gateway, 2);
        BegunStream {
            name,
            events: events.expect("events"),
            named_attempt: (number % 2 == 0).then_some(1),
        }
    });
    begun.collect()
}

/// Resumes streams again and again until they are answered or their clients give up. Returns those that go on.
fn resume_patiently<'a>(
    streams: &'a [BegunStream],
    gateways: &[Process],
) -> Vec<(&'a BegunStream, Reply)> {
    let until = Instant::now() + CLIENT_PATIENCE;
    let mut waiting: Vec<&BegunStream> = streams.iter().collect();
    let mut resumed = Vec::new();
    let mut number = 3;
    while Instant::now() < until {
        waiting.retain(|stream| {
            let last = stream.events.event_ids().last().copied();
            let mut call = attempt_without_program(&stream.name, number)
                .header("last-event-id", &last.expect("an event").to_string());
            if let Some(attempt) = stream.named_attempt {
                call = call.header("resumes", &format!("{}-{attempt}", stream.name));
            }
            let reply = call.send(gateways[number % gateways.len()].callers());
            let Some(reply) = reply.filter(|reply| reply.status == 200) else {
                return true;
            };
            resumed.push((*stream, reply));
            false
        });
        number += 1;
        std::thread::sleep(Duration::from_millis(300));
    }
    resumed
}

fn restart_gateways(deployment: &mut Deployment) {
    deployment.gateways.iter_mut().for_each(Process::kill);
    deployment.gateways.iter_mut().for_each(Process::start);
    deployment.wait_until_ready_gateways();
}

/// The engines of `v1` leave while all gateways are away, and those of `v2` have come.
fn replace_engines_and_gateways(deployment: &mut Deployment, v1: &[EngineStandIn]) {
    deployment.gateways.iter_mut().for_each(Process::kill);
    for engine in v1 {
        deployment.store.remove("servers", &engine.instance());
    }
    deployment.gateways.iter_mut().for_each(Process::start);
    deployment.wait_until_ready_gateways();
}

fn assert_none_is_joined(resumed: &[(&BegunStream, Reply)]) {
    let joined = resumed
        .iter()
        .filter(|(stream, rest)| versions(&stream.events, rest).len() > 1);
    let joined: Vec<&str> = joined.map(|(stream, _)| stream.name.as_str()).collect();
    assert!(joined.is_empty(), "events of two versions in {joined:?}");
}

/// Their gateways knew engines and no replicas yet, and recorded nothing of where the streams began.
#[test]
fn streams_begun_by_gateways_that_just_started_are_not_joined_after_they_start_again() {
    let mut deployment = Deployment::started(PROGRAM, 3, 3);
    let v1 = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    restart_gateways(&mut deployment);
    let begun = begin_without_program(&deployment.gateways);
    let _v2 = start_engines(&deployment, V2, ["i-3", "i-4"]);
    replace_engines_and_gateways(&mut deployment, &v1);
    assert_none_is_joined(&resume_patiently(&begun, &deployment.gateways));
}

/// The attempt that the client names has resumed the stream itself, and so no stream began there.
#[test]
fn a_stream_that_is_resumed_twice_is_not_joined_after_all_gateways_start_again() {
    let mut deployment = Deployment::started(PROGRAM, 3, 3);
    let v1 = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    let gateway = deployment.gateways[0].callers();
    let begun: Vec<BegunStream> = (0..6)
        .map(|number| {
            let name = format!("s{number}");
            let first = attempt_without_program(&name, 1).send_and_read_frames(gateway, 2);
            let last = first.expect("events").event_ids().last().copied();
            let second = attempt_without_program(&name, 2)
                .header("last-event-id", &last.expect("an event").to_string())
                .header("resumes", &format!("{name}-1"));
            let events = second.send_and_read_frames(gateway, 2);
            BegunStream {
                name,
                events: events.expect("events"),
                named_attempt: Some(2),
            }
        })
        .collect();
    let _v2 = start_engines(&deployment, V2, ["i-3", "i-4"]);
    replace_engines_and_gateways(&mut deployment, &v1);
    assert_none_is_joined(&resume_patiently(&begun, &deployment.gateways));
}

/// Streams that can go on where they began do, whether or not their clients name an attempt.
#[test]
fn streams_of_no_program_go_on_at_their_version_after_all_gateways_start_again() {
    let mut deployment = Deployment::started(PROGRAM, 3, 3);
    let _v1 = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    restart_gateways(&mut deployment);
    let begun = begin_without_program(&deployment.gateways);
    let _v2 = start_engines(&deployment, V2, ["i-3", "i-4"]);
    restart_gateways(&mut deployment);
    let resumed = resume_patiently(&begun, &deployment.gateways);
    assert_eq!(resumed.len(), begun.len());
    assert_none_is_joined(&resumed);
}

/// What a gateway that stood still cannot reach when it goes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CutOff {
    Nothing,
    Store,
    StoreAndGateways,
    StoreAndReplicas,
    All,
}

/// Streams begin through the first gateway at engines of `v2`, which have joined in the place of those of `v1` while the second
/// gateway stood still. They are resumed at that one, as soon as it goes on, while it is cut off. Returns how many went on.
fn resume_at_a_gateway_out_of_step(cut_off: CutOff) -> usize {
    let mut deployment = Deployment::started(PROGRAM, 1, 3);
    let store_link = deployment.new_store_link();
    deployment.add_gateway_via(&store_link).start();
    deployment.wait_until_ready();
    let v1 = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    let [first, second] = &deployment.gateways[..] else {
        panic!("two gateways");
    };
    second.signal(Signal::STOP);
    let _v2 = start_engines(&deployment, V2, ["i-3", "i-4"]);
    for engine in &v1 {
        deployment.store.remove("servers", &engine.instance());
    }
    wait_until_known(&deployment.gateways[..1], 2);
    wait_until("the first gateway sends to v2 only", || {
        let reply = attempt_without_program("probe", 1).send(first.callers());
        reply.is_some_and(|reply| reply.software_versions().contains(V2))
    });
    let of_programs = begin_all(first.callers());
    let without = begin_without_program(&deployment.gateways[..1]);
    if cut_off != CutOff::Nothing {
        store_link.set_fault(LinkFault::Silent);
    }
    if matches!(cut_off, CutOff::StoreAndGateways | CutOff::All) {
        first.signal(Signal::STOP);
    }
    if matches!(cut_off, CutOff::StoreAndReplicas | CutOff::All) {
        for replica in &deployment.replicas {
            replica.signal(Signal::STOP);
        }
    }
    second.signal(Signal::CONT);
    let resumed = of_programs.iter().map(|(stream, events)| {
        let rest = resuming_attempt(stream, events).send(second.callers());
        (events, rest.unwrap_or_default())
    });
    let resumed: Vec<(&Reply, Reply)> = resumed.collect();
    for (events, rest) in &resumed {
        assert!(versions(events, rest).len() == 1, "{cut_off:?}: {rest:?}");
    }
    let patient = resume_patiently(&without, &deployment.gateways[1..]);
    assert_none_is_joined(&patient);
    for process in deployment.replicas.iter().chain([first]) {
        process.signal(Signal::CONT);
    }
    let served = resumed.iter().filter(|(_, rest)| rest.status == 200);
    served.count() + patient.len()
}

#[test]
fn streams_resumed_at_a_gateway_that_stood_still_are_not_joined() {
    let went_on = resume_at_a_gateway_out_of_step(CutOff::Nothing);
    assert!(went_on > 0);
}

#[test]
fn streams_resumed_at_a_gateway_that_stood_still_and_lost_the_store_are_not_joined() {
    resume_at_a_gateway_out_of_step(CutOff::Store);
}

#[test]
fn streams_resumed_at_a_gateway_that_hears_neither_store_nor_gateways_are_not_joined() {
    resume_at_a_gateway_out_of_step(CutOff::StoreAndGateways);
}

#[test]
fn streams_resumed_at_a_gateway_that_hears_neither_store_nor_replicas_are_not_joined() {
    resume_at_a_gateway_out_of_step(CutOff::StoreAndReplicas);
}

#[test]
fn streams_resumed_at_a_gateway_that_hears_nobody_are_not_joined() {
    resume_at_a_gateway_out_of_step(CutOff::All);
}

/// The turn was kept with the events of its last attempt only, and later turns ran with a prompt that lacked the first ones.
#[test]
fn a_kept_turn_whose_stream_is_resumed_is_kept_whole_or_refused() {
    let mut deployment = Deployment::started(PROGRAM, 2, 3);
    let mut kept = routes();
    kept[2]["retain"] = json!(true);
    assert_eq!(kept[2]["resumable"], true);
    deployment.configure(kept);
    let engines = start_engines(&deployment, V1, ["i-1", "i-2"]);
    wait_until_known(&deployment.gateways, 2);
    let [one, two] = [0, 1].map(|index| deployment.gateways[index].callers());
    let first = attempt("s", 1)
        .send_and_read_frames(one, 2)
        .expect("events");
    assert_eq!(first.status, 200);
    let rest = resuming_attempt("s", &first).send(two).expect("an answer");
    if rest.status == 200 && rest.is_whole {
        let next = attempt("s", 3).header("ridgeworks-previous-turn", "s-2");
        let next = next.send(one).expect("an answer");
        assert_eq!(next.status, 200);
        let runs = engines.iter().flat_map(EngineStandIn::runs);
        let mut prompts = runs.filter(|run| run.headers["ridgeworks-request-id"] == "s-3");
        let prompt = prompts.next().expect("a run").body;
        let output: String = (1..=EVENTS)
            .map(|number| format!("piece {number}\n"))
            .collect();
        assert_eq!(
            String::from_utf8_lossy(&prompt),
            format!("prompt{output}prompt")
        );
    } else {
        assert_eq!((rest.status, rest.header("retry-after")), (503, None));
    }
    // From its start, it is served and kept.
    let whole = attempt("s", 4).send(two).expect("an answer");
    assert_eq!((whole.status, whole.is_whole), (200, true));
}
