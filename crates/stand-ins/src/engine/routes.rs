//! The engine's HTTP paths.

use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_domain::RunId;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::Method;

use crate::attempts::{Attempt, AttemptKey, AttemptState, Begin, CallHeaders};
use crate::engine::EngineState;
use crate::engine::answer::{DONE_EVENT, server_sent_event};
use crate::engine::chat::{ChatContext, ChatPlan, ChatRequest};
use crate::engine::orders::OrderRequest;
use crate::engine::prefix_cache::ListedContext;
use crate::engine::queue::ChatWork;
use crate::engine::recording::record_execution;
use crate::engine::token_blocks::TokenChain;
use crate::failure::Failure;
use crate::http::{ChunkWriter, Reply};
use crate::incoming::{Incoming, path_value};

const EVENT_STREAM: &str = "text/event-stream";
const DISPATCHER_TOKEN: &str = "x-ridgeworks-dispatcher-token";

/// Answers one request.
pub fn handle(engine: &Arc<EngineState>, incoming: &Incoming) -> Result<Reply, Failure> {
    let result = route(engine, incoming);
    if result.is_err() {
        engine.metrics.refused.inc();
    }
    result
}

fn route(engine: &Arc<EngineState>, incoming: &Incoming) -> Result<Reply, Failure> {
    if let Some(token) = incoming.parsed_header(DISPATCHER_TOKEN)? {
        engine.fence.admit(token)?;
    }
    let segments = incoming.segments();
    match (&incoming.method, segments.as_slice()) {
        (Method::Post, ["v1", "chat", "completions"]) => chat(engine, incoming),
        (Method::Get, ["v1", "attempts", run, call, attempt]) => {
            let key = AttemptKey::from_path(run, call, attempt)?;
            Ok(Reply::json(&engine.attempts.state(&key)?))
        }
        (Method::Post, ["v1", "attempts", run, call, attempt, "fence"])
        | (Method::Delete, ["v1", "attempts", run, call, attempt]) => {
            fence(engine, &AttemptKey::from_path(run, call, attempt)?)
        }
        (Method::Get, ["v1", "streams", run, call, attempt]) => {
            let key = AttemptKey::from_path(run, call, attempt)?;
            let from = incoming.query_number("from", 0)?;
            let attempt = engine.attempts.find(&key).ok_or(Failure::NotFound)?;
            stream(attempt, from as usize)
        }
        (Method::Get, ["contexts"]) => Ok(list_contexts(engine)),
        (Method::Delete, ["contexts", run]) => release(engine, path_value(run, "run")?),
        (Method::Post, ["contexts", run, "retain"]) => {
            retain(engine, path_value(run, "run")?, incoming.json()?)
        }
        (Method::Post, ["contexts", run, "export"]) => export(engine, path_value(run, "run")?),
        (Method::Put, ["contexts", run]) => {
            import(engine, path_value(run, "run")?, incoming.json()?)
        }
        (Method::Get, ["cache", "events"]) => {
            let from = incoming.query_number("from", 1)?;
            Ok(Reply::json(&engine.memory.events(from)))
        }
        (Method::Get, ["load"]) => Ok(Reply::json(&engine.load.reported())),
        (Method::Post, ["orders"]) => order(engine, &incoming.json()?),
        (Method::Get, ["state"]) => Ok(Reply::json(&engine.models.state())),
        (Method::Get, ["health"]) => Ok(health(engine)),
        (Method::Get, ["metrics"]) => Ok(Reply::Text(engine.metrics.text())),
        _ => Err(Failure::UnknownRoute),
    }
}

fn chat(engine: &EngineState, incoming: &Incoming) -> Result<Reply, Failure> {
    let request: ChatRequest = incoming.json()?;
    let headers = CallHeaders::read(incoming)?;
    let begin = match &headers.key {
        None => {
            let plan = plan(engine, &request, &headers)?;
            Begin::New(Arc::new(Attempt::new(plan)))
        }
        Some(key) => {
            let plan = || plan(engine, &request, &headers);
            engine.attempts.begin(key, plan)?
        }
    };
    let attempt = match begin {
        Begin::New(attempt) => {
            enqueue(engine, &request, Arc::clone(&attempt));
            attempt
        }
        Begin::Known(attempt) => {
            engine.metrics.joined.inc();
            attempt
        }
    };
    if request.stream {
        return stream(attempt, 0);
    }
    whole_answer(&attempt)
}

fn plan(
    engine: &EngineState,
    request: &ChatRequest,
    headers: &CallHeaders,
) -> Result<ChatPlan, Failure> {
    if engine.is_leaving() {
        return Err(Failure::Leaving);
    }
    if engine.queue.len() >= engine.options.queue_limit {
        return Err(Failure::QueueFull);
    }
    engine.models.check(&request.model, request.max_tokens)?;
    let answer_tokens = engine.options.answer_tokens;
    let plan = ChatPlan::new(
        request,
        headers.key.clone(),
        headers.sequence,
        answer_tokens,
    )?;
    if plan.blocks() > engine.options.blocks {
        return Err(Failure::ContextTooLarge);
    }
    Ok(plan)
}

fn enqueue(engine: &EngineState, request: &ChatRequest, attempt: Arc<Attempt<ChatPlan>>) {
    engine.metrics.accepted.inc();
    let context = ChatContext::new(request, &attempt.plan.content);
    engine.queue.push(ChatWork { attempt, context });
}

fn whole_answer(attempt: &Attempt<ChatPlan>) -> Result<Reply, Failure> {
    let plan = &attempt.plan;
    match attempt.wait_for_end() {
        AttemptState::Finished { .. } => Ok(Reply::Json {
            status: 200,
            body: plan
                .head
                .whole(&plan.content, attempt.progress().cached_tokens),
        }),
        AttemptState::NeverStarted => Err(Failure::AttemptFenced),
        _ => Err(Failure::AttemptCancelled),
    }
}

/// Streams from a token on; answers once there is one, so that a fenced attempt gets a status.
fn stream(attempt: Arc<Attempt<ChatPlan>>, from: usize) -> Result<Reply, Failure> {
    match attempt.wait_beyond(from).1 {
        AttemptState::NeverStarted => return Err(Failure::AttemptFenced),
        AttemptState::Cancelled { .. } => return Err(Failure::AttemptCancelled),
        _ => {}
    }
    Ok(Reply::Stream {
        content_type: EVENT_STREAM,
        body: Box::new(move |writer| write_stream(&attempt, from, writer)),
    })
}

fn write_stream(
    attempt: &Attempt<ChatPlan>,
    from: usize,
    writer: &mut ChunkWriter,
) -> io::Result<()> {
    let plan = &attempt.plan;
    let mut sent = from;
    loop {
        let (produced, state) = attempt.wait_beyond(sent);
        while sent < produced {
            writer.send(&plan.head.token_event(&plan.content, sent))?;
            sent += 1;
        }
        match state {
            AttemptState::Queued | AttemptState::Running => {}
            AttemptState::Finished { .. } => {
                let cached_tokens = attempt.progress().cached_tokens;
                writer.send(&plan.head.finish_event(&plan.content, cached_tokens))?;
                return writer.send(DONE_EVENT);
            }
            AttemptState::Cancelled { .. } | AttemptState::NeverStarted => {
                return writer.send(&server_sent_event(&Failure::AttemptCancelled.body()));
            }
        }
    }
}

fn fence(engine: &EngineState, key: &AttemptKey) -> Result<Reply, Failure> {
    engine.metrics.fenced.inc();
    let state = engine.attempts.fence(key, |plan, progress| {
        record_execution(plan, progress, true, &engine.history);
        AttemptState::Cancelled {
            spent: plan.cost(progress.produced),
        }
    });
    Ok(Reply::json(&state))
}

#[derive(Serialize)]
struct ContextEntry {
    run: RunId,
    tokens: u64,
    retained_ms: u64,
}

impl ContextEntry {
    fn new(context: &ListedContext, now: Instant) -> Self {
        let left = context
            .lease_until
            .map(|until| until.saturating_duration_since(now));
        Self {
            run: context.run,
            tokens: context.tokens,
            retained_ms: left.unwrap_or_default().as_millis() as u64,
        }
    }
}

fn list_contexts(engine: &EngineState) -> Reply {
    let contexts = engine.memory.with(&engine.history, |cache| cache.list());
    let now = Instant::now();
    let entries = contexts
        .iter()
        .map(|context| ContextEntry::new(context, now));
    Reply::json(&entries.collect::<Vec<_>>())
}

fn release(engine: &EngineState, run: RunId) -> Result<Reply, Failure> {
    let tokens = engine
        .memory
        .with(&engine.history, |cache| cache.release(run));
    let tokens = tokens.ok_or(Failure::NotFound)?;
    Ok(Reply::json(&json!({"run": run, "tokens": tokens})))
}

#[derive(Deserialize)]
struct RetainRequest {
    ttl_ms: u64,
}

fn retain(engine: &EngineState, run: RunId, request: RetainRequest) -> Result<Reply, Failure> {
    let until = Instant::now()
        .checked_add(Duration::from_millis(request.ttl_ms))
        .ok_or(Failure::InvalidField("ttl_ms"))?;
    let tokens = engine
        .memory
        .with(&engine.history, |cache| cache.retain(run, until));
    let tokens = tokens.ok_or(Failure::NotFound)?;
    Ok(Reply::json(
        &json!({"run": run, "tokens": tokens, "retained_ms": request.ttl_ms}),
    ))
}

#[derive(Serialize, Deserialize)]
struct ExportedContext {
    run: RunId,
    chain: TokenChain,
}

fn transfer(engine: &EngineState, chain: &TokenChain) {
    let tokens = u32::try_from(chain.tokens()).unwrap_or(u32::MAX);
    thread::sleep(engine.options.transfer_per_token * tokens);
}

fn export(engine: &EngineState, run: RunId) -> Result<Reply, Failure> {
    let chain = engine
        .memory
        .with(&engine.history, |cache| cache.export(run));
    let chain = chain.ok_or(Failure::NotFound)?;
    transfer(engine, &chain);
    Ok(Reply::json(&ExportedContext { run, chain }))
}

fn import(engine: &EngineState, run: RunId, exported: ExportedContext) -> Result<Reply, Failure> {
    if exported.run != run {
        return Err(Failure::InvalidField("run"));
    }
    let tokens = exported.chain.tokens();
    transfer(engine, &exported.chain);
    let now = Instant::now();
    let is_stored = engine.memory.with(&engine.history, |cache| {
        cache.store(run, exported.chain, now)
    });
    if !is_stored {
        return Err(Failure::NoFreeBlocks);
    }
    Ok(Reply::json(&json!({"run": run, "tokens": tokens})))
}

fn order(engine: &Arc<EngineState>, request: &OrderRequest) -> Result<Reply, Failure> {
    engine.fence.admit(request.fencing_token)?;
    if let Some(weights) = engine.models.carry_out(&request.order) {
        let engine = Arc::clone(engine);
        thread::spawn(move || engine.models.fetch(&weights, engine.options.platform));
    }
    Ok(Reply::json_with_status(202, &engine.models.state()))
}

fn health(engine: &EngineState) -> Reply {
    Reply::json(&json!({
        "status": if engine.is_leaving() { "leaving" } else { "live" },
        "name": engine.options.name,
        "zone": engine.options.zone,
        "slots": engine.options.max_batch,
        "role": engine.models.state().role,
        "instance": engine.attempts.instance(),
    }))
}
