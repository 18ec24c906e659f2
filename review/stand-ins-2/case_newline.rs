//! UNASKED: the data of an event that begins with a line feed (in `text/event-stream` a first `data` line that is empty) loses it in
//! what is kept of the turn, so that the next turn runs with a body that nobody said.

use std::thread;
use std::time::Duration;

use crate::case_reservation::Program;
use crate::client::output_of;
use crate::deployment::{Deployment, Route};
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

const PROGRAMS: usize = 4;
const TURNS: usize = 4;

fn show(bytes: &[u8]) -> String {
    format!("{:?}", String::from_utf8_lossy(bytes))
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
        let engine = deployment.add_engine("map-agents")?;
        engine.set(|behaviour| {
            behaviour.events = 3;
            behaviour.begins_with_line_feed = has_trouble;
        });
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err(cannot_run("the deployment is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let mut wrong = 0;
    let mut judged = 0;
    for _ in 0..PROGRAMS {
        let mut program = Program::new();
        for number in 1..=TURNS {
            let call = program.turn(&format!("input {number};"));
            let mut expected = program.history.clone();
            expected.extend_from_slice(&call.body);
            let reply = call.send(deployment.callers(number % 3), record);
            if !reply.is_served() {
                return Err(cannot_run("a turn was not served"));
            }
            record.line(&format!(
                "data of the events of {}: {}",
                call.id,
                show(&output_of(&reply.body))
            ));
            for run in deployment
                .runs
                .lock()
                .unwrap()
                .iter()
                .filter(|run| run.request == call.id)
            {
                judged += 1;
                if run.body != expected {
                    wrong += 1;
                    record.line(&format!(
                        "{} at {}: got      {}",
                        call.id,
                        run.engine,
                        show(&run.body)
                    ));
                    record.line(&format!(
                        "{} at {}: expected {}",
                        call.id,
                        run.engine,
                        show(&expected)
                    ));
                }
            }
            program.take(&call, &reply);
            thread::sleep(Duration::from_millis(100));
        }
    }
    record.say(&format!("{wrong} of {judged} turns ran with a body that is not the chain's inputs and outputs and the new input"));
    let broken = (wrong > 0).then(|| {
        format!("UNASKED: engines ran {wrong} turns whose body isn't the chain's earlier inputs and outputs and then the new input")
    });
    Ok(Verdict { broken })
}
