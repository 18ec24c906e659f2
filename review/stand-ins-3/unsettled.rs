//! A front machine is killed while programs run. Programs whose turns had all been answered whole go on at other machines,
//! when everything has been sound for long; their budgets hold the next turn.

#[path = "harness.rs"]
mod harness;

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use harness::{Answer, Call, Deployment, Engine, Message, Work, has_trouble, lock, ms, route};

const PROGRAMS: u64 = 120;
/// As in the example of PROTOCOL.md.
const BUDGET: u64 = 4_600;
const MOST: u64 = 575;
const EVENT_TOKENS: u64 = 25;
/// Eleven events a turn, 275 tokens. After 14 turns 750 are left, which hold one more turn at its most.
const EVENTS: usize = 11;
const TURNS: usize = 14;
/// Time of a program's aim: its turns and pauses on idle engines, times three.
const AIM: Duration = Duration::from_millis(36_000);
const PAUSE: Duration = Duration::from_millis(400);
/// Programs begin one after the other.
const BEGIN_EVERY_MS: u64 = 50;
/// When the front machine is killed, when its process is started again, and when the programs go on: `contact_ms` (3 s) and
/// more after that.
const KILL_AT: Duration = Duration::from_millis(13_000);
const START_AT: Duration = Duration::from_millis(13_800);
const GO_ON_AT: Duration = Duration::from_millis(18_000);

struct Program {
    name: String,
    began: Instant,
    previous: Option<String>,
    spent: u64,
}

impl Program {
    fn new(name: String) -> Program {
        Program {
            name,
            began: Instant::now(),
            previous: None,
            spent: 0,
        }
    }

    fn send(&self, id: &str, to: SocketAddr) -> Answer {
        let left = AIM.saturating_sub(self.began.elapsed()).as_millis();
        let mut call = Call::new("POST", "/talk/1", id, ms(3_000))
            .header("Ridgeworks-Program-Id", &self.name)
            .header("Ridgeworks-Session-Id", format!("{}-s", self.name))
            .header("Ridgeworks-Finish-Ms", left)
            .header("Ridgeworks-Token-Budget", BUDGET)
            .header("Ridgeworks-Model", "m")
            .header("Ridgeworks-Token-Count", format!("100,{MOST}"))
            .header("Ridgeworks-Prefix-Hash", "5c1e07a2:100")
            .body(&format!("<{id}>"));
        if let Some(previous) = &self.previous {
            call = call.header("Ridgeworks-Previous-Turn", previous);
        }
        call.send(to, |_| ())
    }

    /// Whether the turn was answered whole. Then the program goes on from it.
    fn turn(&mut self, id: &str, to: SocketAddr) -> bool {
        let answer = self.send(id, to);
        let is_whole = answer.status == 200 && answer.whole;
        if is_whole {
            self.spent += answer.events().len() as u64 * EVENT_TOKENS;
            self.previous = Some(id.to_owned());
        }
        is_whole
    }
}

/// What became of the last turn of a program whose turns had all been answered whole at the first try.
struct Outcome {
    text: String,
    reached: bool,
    denied: bool,
    tries: usize,
    before_aim: bool,
    firsts: usize,
    firsts_reached: usize,
}

fn main() {
    let mut d = Deployment::new(8, 3);
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"resumable\":false,\"gap_aim_ms\":300";
    d.configure(
        3,
        &format!(
            "[{}]",
            route("talk", "/talk/", "streaming", "models", 3_000, kept)
        ),
    );
    let record = d.record.clone();
    let work = Arc::new(|_: &Message| Work::Stream {
        data: (1..=EVENTS)
            .map(|number| format!("[piece {number}]"))
            .collect(),
        first: ms(30),
        gap: ms(25),
    });
    let engines: Arc<Vec<Engine>> = Arc::new(
        (0..18u8)
            .map(|index| {
                Engine::start(
                    d.ip(200 + index),
                    &format!("i-{index}"),
                    &record,
                    work.clone(),
                )
                .expect("an engine")
            })
            .collect(),
    );
    for (index, engine) in engines.iter().enumerate() {
        engine.register(
            &d.store,
            "models",
            ["zone-a", "zone-b", "zone-c"][index % 3],
        );
    }
    d.start_all();
    if !d.wait_ready(3) {
        d.finish(2, "the deployment did not come up");
    }
    thread::sleep(ms(4_000));
    let fronts: Vec<SocketAddr> = d.fronts.iter().map(|front| front.front()).collect();
    let began = Instant::now();
    let programs: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let (fronts, engines, record) = (fronts.clone(), engines.clone(), record.clone());
            thread::spawn(move || -> Option<Outcome> {
                let has_run = |id: &str| {
                    engines
                        .iter()
                        .any(|engine| lock(&engine.runs).iter().any(|run| run.id() == id))
                };
                thread::sleep(ms(BEGIN_EVERY_MS * number));
                let mut program = Program::new(format!("p{number}"));
                // Each turn goes to the next machine; so the first one gets the 14th turn of each program among others.
                for turn in 1..=TURNS {
                    let to = fronts[(TURNS - turn) % fronts.len()];
                    let id = format!("p{number}-turn-{turn}");
                    if !program.turn(&id, to) {
                        // Its turn was cut by the kill or met a dead machine: nothing is judged of it.
                        record.line(format!("p{number}: turn {turn} was not answered whole at the first try"));
                        return None;
                    }
                    thread::sleep(PAUSE);
                }
                thread::sleep(GO_ON_AT.saturating_sub(began.elapsed()));
                let mut outcome = Outcome {
                    text: String::new(),
                    reached: false,
                    denied: false,
                    tries: 0,
                    before_aim: true,
                    firsts: 0,
                    firsts_reached: 0,
                };
                // As clients do: one retry for each sending, and two more sendings. None goes to the machine that was killed.
                let mut statuses = Vec::new();
                for attempt in 0..6 {
                    let front = fronts[1 + (number as usize + attempt) % (fronts.len() - 1)];
                    let other = format!("q{number}-{attempt}");
                    let _ = Program::new(other.clone()).send(&other, front);
                    outcome.firsts += 1;
                    outcome.firsts_reached += usize::from(has_run(&other));
                    let id = format!("p{number}-turn-{}-{attempt}", TURNS + 1);
                    outcome.before_aim &= program.began.elapsed() < AIM;
                    let answer = program.send(&id, front);
                    outcome.tries += 1;
                    outcome.reached = has_run(&id);
                    statuses.push(answer.status);
                    outcome.denied = answer.status == 402;
                    if outcome.reached || outcome.denied {
                        break;
                    }
                    let after = answer.head.header("retry-after").and_then(|text| text.parse().ok());
                    thread::sleep(Duration::from_secs_f64(after.unwrap_or(0.1_f64).min(1.0)));
                    if attempt % 2 == 1 {
                        thread::sleep(ms(300));
                    }
                }
                outcome.text = format!(
                    "p{number}: {} of {BUDGET} tokens spent in {TURNS} turns answered whole; the next one (at most {MOST}): answered {statuses:?}, reached an engine: {}",
                    program.spent, outcome.reached
                );
                record.line(&outcome.text);
                Some(outcome)
            })
        })
        .collect();
    thread::sleep(KILL_AT.saturating_sub(began.elapsed()));
    if has_trouble() {
        d.fronts[0].kill();
        record.line("the first front machine: its process is killed");
    }
    thread::sleep(START_AT.saturating_sub(began.elapsed()));
    if has_trouble() {
        d.fronts[0].start();
        record.line("the first front machine: its process is started again");
    }
    let outcomes: Vec<Outcome> = programs
        .into_iter()
        .filter_map(|program| program.join().expect("a program"))
        .collect();
    let lost = outcomes
        .iter()
        .filter(|outcome| {
            !outcome.reached && !outcome.denied && outcome.tries >= 5 && outcome.before_aim
        })
        .count();
    let denied = outcomes.iter().filter(|outcome| outcome.denied).count();
    let firsts: usize = outcomes.iter().map(|outcome| outcome.firsts).sum();
    let firsts_reached: usize = outcomes.iter().map(|outcome| outcome.firsts_reached).sum();
    record.line(format!(
        "of {} programs whose turns had all been answered whole {lost} got their next turn to no engine in five tries or more, before their aims; {denied} were answered 402; {firsts_reached} of {firsts} first turns reached an engine",
        outcomes.len()
    ));
    if outcomes.len() < 10 || firsts_reached * 10 < firsts * 9 {
        d.finish(2, "too few programs or first turns were served");
    }
    if lost > 0 {
        d.finish(1, "BROKEN: turns that name turns answered whole less than `retention_s` ago reach no engine in five tries and more");
    }
    d.finish(0, "HELD")
}
