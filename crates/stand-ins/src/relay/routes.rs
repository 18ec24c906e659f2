//! The relay's control paths.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;
use tiny_http::Method;

use crate::failure::Failure;
use crate::http::Reply;
use crate::incoming::Incoming;
use crate::relay::link::{Link, LinkSettings, LinkState};
use crate::relay::{Forward, RelayState};

/// Answers one request.
pub fn handle(relay: &RelayState, incoming: &Incoming) -> Result<Reply, Failure> {
    let segments = incoming.segments();
    match (&incoming.method, segments.as_slice()) {
        (Method::Post, ["forwards"]) => add(relay, incoming.json()?),
        (Method::Get, ["links"]) => {
            let links = relay.links();
            let entries = links.iter().map(|link| LinkEntry::new(link));
            Ok(Reply::json(&entries.collect::<Vec<_>>()))
        }
        (Method::Get, ["links", name]) => Ok(Reply::json(&LinkEntry::new(&*relay.link(name)?))),
        (Method::Post, ["links", name]) => change(&*relay.link(name)?, &incoming.json()?),
        (Method::Post, ["links", name, "reset"]) => {
            let link = relay.link(name)?;
            link.reset_all();
            Ok(Reply::json(&LinkEntry::new(&link)))
        }
        (Method::Get, ["health"]) => Ok(Reply::json(&json!({
            "status": "live",
            "name": relay.options.name,
            "zone": relay.options.zone,
        }))),
        (Method::Get, ["metrics"]) => Ok(Reply::Text(metrics(relay))),
        _ => Err(Failure::UnknownRoute),
    }
}

#[derive(Serialize)]
struct LinkEntry {
    name: String,
    listen: SocketAddr,
    target: SocketAddr,
    state: LinkState,
    delay_us: u64,
    delay_back_us: u64,
    connections: usize,
}

impl LinkEntry {
    fn new(link: &Link) -> Self {
        let settings = link.settings();
        Self {
            name: link.name.clone(),
            listen: link.listen,
            target: link.target,
            state: settings.state,
            delay_us: settings.delay.as_micros() as u64,
            delay_back_us: settings.delay_back.as_micros() as u64,
            connections: link.connections(),
        }
    }
}

#[derive(Deserialize)]
struct ForwardRequest {
    name: Option<String>,
    listen: SocketAddr,
    target: SocketAddr,
}

fn add(relay: &RelayState, request: ForwardRequest) -> Result<Reply, Failure> {
    let forward = Forward {
        name: request.name,
        listen: request.listen,
        target: request.target,
    };
    let link = relay.add(&forward).map_err(|_| Failure::Unavailable)?;
    Ok(Reply::json(&LinkEntry::new(&link)))
}

/// What to change on a link; what is missing stays as it is.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LinkRequest {
    state: Option<LinkState>,
    delay_us: Option<u64>,
    delay_back_us: Option<u64>,
}

fn change(link: &Link, request: &LinkRequest) -> Result<Reply, Failure> {
    let before = link.settings();
    let delay = |micros: Option<u64>, before| micros.map_or(before, Duration::from_micros);
    link.set(LinkSettings {
        state: request.state.unwrap_or(before.state),
        delay: delay(request.delay_us, before.delay),
        delay_back: delay(request.delay_back_us, before.delay_back),
    });
    Ok(Reply::json(&LinkEntry::new(link)))
}

fn metrics(relay: &RelayState) -> String {
    let connections: usize = relay.links().iter().map(|link| link.connections()).sum();
    format!(
        "# TYPE ridgeworks_relay_connections gauge\nridgeworks_relay_connections {connections}\n\
         # EOF\n"
    )
}
