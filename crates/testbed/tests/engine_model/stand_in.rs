//! The trace on the stand-in engine as a process, in real time.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_experiment::workload::EngineSettings;
use serde_json::{Value, json};

use crate::figures::CallResult;
use crate::trace::{Trace, TraceRun};

/// Answers are as long as their limit says.
const ANSWER_TOKENS: &str = "100000";
const START_DELAY: Duration = Duration::from_millis(200);
const PATIENCE: Duration = Duration::from_secs(60);

struct Process {
    child: Child,
    address: SocketAddr,
}

impl Process {
    fn start(settings: EngineSettings) -> Self {
        let flags = [
            ("--name", "under-check".to_owned()),
            ("--step-base-us", settings.step_micros.to_string()),
            ("--token-us", settings.sequence_micros.to_string()),
            (
                "--prefill-us-per-token",
                settings.prefill_micros.to_string(),
            ),
            ("--max-batch", settings.slots.to_string()),
            (
                "--blocks",
                (settings.cache_tokens / settings.block_tokens).to_string(),
            ),
            ("--queue-limit", "100000".to_owned()),
            ("--answer-tokens", ANSWER_TOKENS.to_owned()),
        ];
        let mut command = Command::new(env!("CARGO_BIN_EXE_ridgeworks-testbed"));
        command.arg("engine");
        for (flag, value) in flags {
            command.args([flag, &value]);
        }
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the engine starts");
        let output = child.stdout.take().expect("its output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("it says where it listens");
        let address = line.trim().strip_prefix("listening ");
        Self {
            address: address
                .and_then(|text| text.parse().ok())
                .expect("an address"),
            child,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Replays the trace with one thread for each run.
pub fn replay(trace: &Trace, settings: EngineSettings) -> Vec<CallResult> {
    let process = Process::start(settings);
    let address = process.address;
    let begin = Instant::now() + START_DELAY;
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(PATIENCE))
        .build()
        .into();
    thread::scope(|scope| {
        let runs = trace.runs.iter().enumerate();
        let threads = runs.map(|(number, run)| {
            let agent = agent.clone();
            scope.spawn(move || Caller::new(agent, address, number, trace.lease).replay(run, begin))
        });
        let threads: Vec<_> = threads.collect();
        let joined = threads.into_iter();
        joined
            .flat_map(|thread| thread.join().expect("every call is answered"))
            .collect()
    })
}

struct Caller {
    agent: ureq::Agent,
    address: SocketAddr,
    number: usize,
    lease: Option<Duration>,
    messages: Vec<Value>,
    context: u64,
}

impl Caller {
    fn new(
        agent: ureq::Agent,
        address: SocketAddr,
        number: usize,
        lease: Option<Duration>,
    ) -> Self {
        Self {
            agent,
            address,
            number,
            lease,
            messages: Vec::new(),
            context: 0,
        }
    }

    fn replay(mut self, run: &TraceRun, begin: Instant) -> Vec<CallResult> {
        let mut results = Vec::new();
        let mut due = begin + run.starts_at;
        for (index, call) in run.calls.iter().enumerate() {
            let text = prompt_text(self.number, index, call.new_tokens);
            self.messages.push(json!({"role": "user", "content": text}));
            let body = json!({
                "model": "any",
                "messages": self.messages,
                "max_tokens": call.output,
                "priority": if run.urgent { -1 } else { 0 },
            });
            let body = body.to_string();
            thread::sleep(due.saturating_duration_since(Instant::now()));
            let sent = Instant::now();
            let answer = self.send(index, body);
            let latency = sent.elapsed();
            due = sent + latency + call.pause;
            self.keep(index + 1 < run.calls.len());
            results.push(CallResult {
                urgent: run.urgent,
                latency_micros: latency.as_micros() as u64,
                context: self.context,
                cached: number_at(&answer, "/usage/prompt_tokens_details/cached_tokens"),
            });
            assert_eq!(
                number_at(&answer, "/usage/prompt_tokens"),
                self.context + call.new_tokens,
                "tokens are counted alike"
            );
            assert_eq!(number_at(&answer, "/usage/completion_tokens"), call.output);
            self.context += call.new_tokens + call.output;
            let content = &answer["choices"][0]["message"]["content"];
            self.messages
                .push(json!({"role": "assistant", "content": content}));
        }
        results
    }

    /// Sets the lease of the context, or releases it at the end of the run.
    fn keep(&self, goes_on: bool) {
        let Some(lease) = self.lease else {
            return;
        };
        let context = format!("http://{}/contexts/{:032x}", self.address, self.number + 1);
        // The context may be gone already.
        let _ = if goes_on {
            let body = json!({"ttl_ms": lease.as_millis() as u64}).to_string();
            self.agent.post(format!("{context}/retain")).send(body)
        } else {
            self.agent.delete(context).call()
        };
    }

    fn send(&self, index: usize, body: String) -> Value {
        let url = format!("http://{}/v1/chat/completions", self.address);
        let request = self
            .agent
            .post(url)
            .header("x-ridgeworks-run", format!("{:032x}", self.number + 1))
            .header("x-ridgeworks-call", format!("c{index}"))
            .header("x-ridgeworks-attempt", "1")
            .header("x-ridgeworks-sequence", (index + 1).to_string());
        let mut response = request.send(body).expect("the engine answers");
        let text = response.body_mut().read_to_string().expect("a body");
        serde_json::from_str(&text).expect("JSON")
    }
}

/// Words of four letters, one token each; different for every run and call.
fn prompt_text(run: usize, call: usize, tokens: u64) -> String {
    let word = format!("{:04x} ", (run * 64 + call) & 0xffff);
    word.repeat(tokens as usize)
}

fn number_at(answer: &Value, pointer: &str) -> u64 {
    let number = answer.pointer(pointer).and_then(Value::as_u64);
    number.expect("the answer counts its tokens")
}
