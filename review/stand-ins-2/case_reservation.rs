//! LOST: a gateway is killed right after it has answered a turn whole. The tokens that it had reserved for the turn stay reserved,
//! and the program's next turn reaches no engine any more, although its budget holds it.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Call, Reply, events_in, new_id, output_of};
use crate::deployment::{Deployment, Route};
use crate::engine::EVENT_TOKENS;
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

/// As in the example of PROTOCOL.md.
const BUDGET: u64 = 4_600;
const MOST: u64 = 575;
/// Turns before the disruption: 14 of 275 tokens leave 750, which hold one more turn at its most.
const TURNS: usize = 14;
/// Time of the program's aim: 15 turns of 0.35 s and as many pauses of 0.4 s on idle engines, times 2.9.
const AIM: Duration = Duration::from_millis(32_600);
const CONTACT: Duration = Duration::from_millis(3_000);

pub struct Program {
    pub id: String,
    pub session: String,
    pub began: Instant,
    pub previous: Option<String>,
    /// What the engine has to get before the new input.
    pub history: Vec<u8>,
    pub spent: u64,
}

impl Program {
    pub fn new() -> Self {
        Self {
            id: new_id("program"),
            session: new_id("session"),
            began: Instant::now(),
            previous: None,
            history: Vec::new(),
            spent: 0,
        }
    }

    pub fn turn(&self, input: &str) -> Call {
        let left = AIM.saturating_sub(self.began.elapsed()).as_millis();
        let mut call = Call::new("turn", "POST", "/pufi791/4b", 3_000);
        call.headers = vec![
            ("Ridgeworks-Program-Id", self.id.clone()),
            ("Ridgeworks-Session-Id", self.session.clone()),
            ("Ridgeworks-Finish-Ms", left.to_string()),
            ("Ridgeworks-Token-Budget", BUDGET.to_string()),
            ("Ridgeworks-Token-Count", format!("1840,{MOST}")),
            ("Ridgeworks-Model", "m".to_owned()),
        ];
        if let Some(previous) = &self.previous {
            call.headers
                .push(("Ridgeworks-Previous-Turn", previous.clone()));
        }
        call.body = input.as_bytes().to_vec();
        call
    }

    pub fn take(&mut self, call: &Call, reply: &Reply) {
        self.spent += events_in(&reply.body) * EVENT_TOKENS;
        self.previous = Some(call.id.clone());
        self.history.extend_from_slice(&call.body);
        self.history.extend_from_slice(&output_of(&reply.body));
    }
}

/// Sends a first turn of a new program, as any client does: again after a failure.
fn first_turn_reaches(deployment: &Deployment, to: SocketAddr) -> bool {
    let call = Program::new().turn("a first input");
    call.send(to, &deployment.record);
    deployment.has_run(&call.id)
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, 3, 3)?;
    deployment.configure(
        &[Route {
            name: "r-2b9wu3f",
            prefix: "/pufi791/",
            kind: "streaming",
            service: "map-agents",
            timeout_ms: 3_000,
            target_ms: 200,
            attempts: 2,
            retain: true,
            resumable: false,
        }],
        &["map-agents"],
        &[],
    );
    for _ in 0..4 {
        deployment.add_engine("map-agents")?;
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err(cannot_run("the deployment is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let mut program = Program::new();
    for number in 1..=TURNS {
        let call = program.turn(&format!("input {number};"));
        // All turns but the last go to any gateway, the last one to the first gateway.
        let gateway = if number == TURNS { 0 } else { number % 3 };
        let reply = call.send(deployment.callers(gateway), record);
        if !reply.is_served() {
            return Err(cannot_run("a turn before the disruption was not served"));
        }
        program.take(&call, &reply);
        if number < TURNS {
            thread::sleep(Duration::from_millis(400));
        }
    }
    record.say(&format!(
        "{TURNS} turns answered whole: {} tokens of {BUDGET}; one more turn takes {MOST} at most",
        program.spent
    ));
    if has_trouble {
        deployment.gateways[0].kill();
        record.line("front machine 0: its process is killed (SIGKILL)");
        thread::sleep(Duration::from_millis(800));
        deployment.gateways[0].run()?;
        record.line("front machine 0: its process is started again");
    }
    thread::sleep(CONTACT + Duration::from_millis(700));
    // The last turn is sent as clients do: one retry for each sending, and two more sendings.
    let (mut tries, mut reached) = (0, false);
    let mut is_answered_402 = false;
    let mut first_turns = 0;
    let mut first_turns_reached = 0;
    'turn: for sending in 0..3 {
        for attempt in 0..2 {
            for gateway in 1..3 {
                first_turns += 1;
                first_turns_reached +=
                    usize::from(first_turn_reaches(&deployment, deployment.callers(gateway)));
            }
            let call = program.turn("the last input;");
            let to = deployment.callers(1 + (sending + attempt) % 2);
            let reply = call.send(to, record);
            tries += 1;
            reached |= deployment.has_run(&call.id);
            is_answered_402 |= reply.status == 402;
            if reached || is_answered_402 {
                break 'turn;
            }
            let wait = reply.retry_after.unwrap_or(0.1).min(1.0);
            thread::sleep(Duration::from_secs_f64(wait));
        }
        thread::sleep(Duration::from_millis(300));
    }
    let is_before_aim = program.began.elapsed() < AIM;
    record.say(&format!(
        "the next turn: {tries} tries at machines that were in touch all the time, reached an engine: {reached}; before the aim: {is_before_aim}; first turns that reached an engine: {first_turns_reached} of {first_turns}"
    ));
    let are_first_turns_served = first_turns_reached * 10 >= first_turns * 9;
    if !are_first_turns_served {
        return Err(cannot_run("first turns were not served either"));
    }
    let is_lost = !reached && !is_answered_402 && tries >= 5 && is_before_aim;
    let broken = is_lost.then(|| {
        format!("LOST: a turn that names a turn answered whole reached no engine in {tries} tries at machines in touch, before its aim")
    });
    Ok(Verdict { broken })
}
