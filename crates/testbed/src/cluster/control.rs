//! The control paths of the stand-ins: links of the relay, faults and machines of the platform.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_stand_ins::platform::faults::Mode;
use ridgeworks_stand_ins::relay::link::LinkState;
use serde::Deserialize;
use serde_json::{Value, json};
use ureq::Agent;

use super::error::ClusterError;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends requests to control paths.
#[derive(Debug, Clone)]
struct Control {
    agent: Agent,
    address: SocketAddr,
}

impl Control {
    fn new(address: SocketAddr) -> Self {
        let configuration = Agent::config_builder()
            .timeout_global(Some(TIMEOUT))
            .proxy(None)
            .build();
        Self {
            agent: Agent::new_with_config(configuration),
            address,
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn post(&self, path: &str, body: &Value) -> Result<(), ClusterError> {
        let url = self.url(path);
        let answer = self.agent.post(&url).send_json(body);
        answer.map(drop).map_err(|source| failed(url, source))
    }

    fn put(&self, path: &str, body: &Value) -> Result<(), ClusterError> {
        let url = self.url(path);
        let answer = self.agent.put(&url).send_json(body);
        answer.map(drop).map_err(|source| failed(url, source))
    }

    fn delete(&self, path: &str) -> Result<(), ClusterError> {
        let url = self.url(path);
        let answer = self.agent.delete(&url).call();
        answer.map(drop).map_err(|source| failed(url, source))
    }

    fn get<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T, ClusterError> {
        let url = self.url(path);
        let answer = self.agent.get(&url).call();
        answer
            .and_then(|mut answer| answer.body_mut().read_json())
            .map_err(|source| failed(url, source))
    }
}

fn failed(url: String, source: ureq::Error) -> ClusterError {
    let source = Box::new(source);
    ClusterError::Control { url, source }
}

/// Name of the link over which `from` sends to `to`.
pub fn link_name(from: &str, to: &str) -> String {
    format!("{from}--{to}")
}

/// What the platform's end of a node's link to it is called.
pub const PLATFORM_END: &str = "platform";

#[derive(Deserialize)]
struct ListedLink {
    name: String,
    listen: SocketAddr,
}

/// The relay of a deployment.
#[derive(Debug, Clone)]
pub struct RelayControl {
    control: Control,
    listens: HashMap<String, SocketAddr>,
}

impl RelayControl {
    /// The relay whose control paths are at `address`.
    pub fn connect(address: SocketAddr) -> Result<Self, ClusterError> {
        let control = Control::new(address);
        let links: Vec<ListedLink> = control.get("/links")?;
        let listens = links.into_iter().map(|link| (link.name, link.listen));
        Ok(Self {
            control,
            listens: listens.collect(),
        })
    }

    /// Where the link from `from` to `to` is dialled.
    pub fn dial_address(&self, from: &str, to: &str) -> Result<SocketAddr, ClusterError> {
        let name = link_name(from, to);
        let address = self.listens.get(&name).copied();
        address.ok_or(ClusterError::UnknownLink(name))
    }

    /// Whether there is a link from `from` to `to`.
    pub fn has_link(&self, from: &str, to: &str) -> bool {
        self.listens.contains_key(&link_name(from, to))
    }

    /// Cuts or mends the link over which `from` sends to `to`.
    pub fn set_state(&self, from: &str, to: &str, state: LinkState) -> Result<(), ClusterError> {
        self.change(from, to, &json!({"state": state}))
    }

    /// Delays both directions of the connection over which `from` sends to `to`.
    pub fn set_delay(&self, from: &str, to: &str, delay: Duration) -> Result<(), ClusterError> {
        let delay = delay.as_micros() as u64;
        let body = json!({"delay_us": delay, "delay_back_us": delay});
        self.change(from, to, &body)
    }

    /// Resets all connections of the link over which `from` sends to `to`.
    pub fn reset(&self, from: &str, to: &str) -> Result<(), ClusterError> {
        self.dial_address(from, to)?;
        let path = format!("/links/{}/reset", link_name(from, to));
        self.control.post(&path, &json!({}))
    }

    fn change(&self, from: &str, to: &str, body: &Value) -> Result<(), ClusterError> {
        self.dial_address(from, to)?;
        let path = format!("/links/{}", link_name(from, to));
        self.control.post(&path, body)
    }
}

/// A back end as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedMachine {
    /// Its name.
    pub name: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// The service that it serves.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Most calls that it takes at a time.
    pub slots: u32,
}

/// The platform of a deployment.
#[derive(Debug, Clone)]
pub struct PlatformControl {
    control: Control,
}

impl PlatformControl {
    /// The platform at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            control: Control::new(address),
        }
    }

    /// Lets the platform behave as it should, be down or be slow.
    pub fn set_mode(&self, mode: Mode, delay: Duration) -> Result<(), ClusterError> {
        let delay = delay.as_millis() as u64;
        self.control
            .post("/fault", &json!({"mode": mode, "delay_ms": delay}))
    }

    /// Lets the next changes take effect without an answer.
    pub fn lose_answers(&self, count: u64) -> Result<(), ClusterError> {
        self.control.post("/fault", &json!({"lost_answers": count}))
    }

    /// Lists a back end.
    pub fn register(&self, machine: &ListedMachine) -> Result<(), ClusterError> {
        let body = json!({
            "address": machine.address,
            "service": machine.service,
            "zone": machine.zone,
            "slots": machine.slots,
        });
        self.control
            .put(&format!("/machines/{}", machine.name), &body)
    }

    /// Lists a back end as leaving.
    pub fn announce_leaving(&self, name: &str) -> Result<(), ClusterError> {
        let path = format!("/machines/{name}/leave");
        self.control.post(&path, &json!({}))
    }

    /// Takes a back end off the list.
    pub fn remove(&self, name: &str) -> Result<(), ClusterError> {
        self.control.delete(&format!("/machines/{name}"))
    }
}
