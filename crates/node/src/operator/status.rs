//! Methods that read the state of the system, and planned stops.

use ridgeworks_api::ConnectError;
use ridgeworks_api::v1;
use ridgeworks_domain::NodeId;
use ridgeworks_membership::{Member, MemberState};

use super::desk::{OperatorReply, OperatorWork};
use super::method::{Session, unexpected_reply};
use crate::dispatcher::{BackendStatus, QueueStatus, ServiceStatus, whole_millis};

/// The state of the system as this node sees it: all members, and the engines and queues that it
/// dispatches for.
pub fn status(session: &Session<'_>) -> Result<v1::StatusResponse, ConnectError> {
    let own = node_status(session)?;
    let OperatorReply::Members(members) = session.ask(OperatorWork::Members)? else {
        return Err(unexpected_reply());
    };
    let OperatorReply::Services(services) = session.ask(OperatorWork::Services)? else {
        return Err(unexpected_reply());
    };
    let OperatorReply::OwnedRuns(open_runs) = session.ask(OperatorWork::OwnedRuns)? else {
        return Err(unexpected_reply());
    };
    let nodes = members.iter().map(|member| {
        let mut summary = node_summary(member);
        if member.name == own.name {
            summary.ready = own.ready;
            summary.configuration_revision = own.revision;
            summary.open_runs = open_runs as u64;
        }
        summary
    });
    Ok(v1::StatusResponse {
        nodes: nodes.collect(),
        engines: services.iter().flat_map(engines).collect(),
        runs: vec![v1::RunCount {
            state: v1::RunState::Open.into(),
            count: open_runs as u64,
        }],
        queues: services.iter().flat_map(queues).collect(),
        lag: Some(lag(&services)),
    })
}

/// This node's own state.
pub fn node_status(session: &Session<'_>) -> Result<v1::NodeStatusResponse, ConnectError> {
    match session.ask(OperatorWork::NodeStatus)? {
        OperatorReply::NodeStatus { name, revision } => Ok(v1::NodeStatusResponse {
            name,
            ready: revision.is_some(),
            revision,
        }),
        _ => Err(unexpected_reply()),
    }
}

/// Tells a node to stop as planned.
pub fn drain(
    session: &Session<'_>,
    request: &v1::DrainRequest,
) -> Result<v1::DrainResponse, ConnectError> {
    let OperatorReply::Members(members) = session.ask(OperatorWork::Members)? else {
        return Err(unexpected_reply());
    };
    let named = members.iter().find(|member| member.name == request.node);
    let node = named.map(|member| member.node);
    let node = node.ok_or(ConnectError::NodeNotFound)?;
    session.ask(OperatorWork::Drain { node })?;
    Ok(v1::DrainResponse {
        node: request.node.clone(),
        state: v1::NodeState::Leaving.into(),
    })
}

fn node_summary(member: &Member) -> v1::NodeSummary {
    let state = match member.state {
        MemberState::Alive => v1::NodeState::Alive,
        MemberState::Suspect => v1::NodeState::Suspect,
        MemberState::Leaving => v1::NodeState::Leaving,
        MemberState::Dead | MemberState::Left => v1::NodeState::Dead,
    };
    debug_assert_eq!(member.node, NodeId::from_name(&member.name));
    v1::NodeSummary {
        name: member.name.clone(),
        zone: member.zone.to_string(),
        state: state.into(),
        incarnation: member.incarnation.0,
        has_disk: member.has_disk,
        ..v1::NodeSummary::default()
    }
}

fn engines(service: &ServiceStatus) -> Vec<v1::EngineSummary> {
    let summary = |backend: &BackendStatus| {
        let listed = &backend.listed;
        let load = backend.load.as_ref().map(|(load, _)| load);
        v1::EngineSummary {
            name: listed.backend.name.to_string(),
            service: service.service.to_string(),
            zone: listed.backend.zone.to_string(),
            state: if listed.leaving {
                v1::EngineState::Leaving.into()
            } else {
                v1::EngineState::Ready.into()
            },
            running: load.map_or(0, |load| load.running),
            queued: load.map_or(0, |load| load.waiting),
            slots: listed.backend.slots,
        }
    };
    service.backends.iter().map(summary).collect()
}

fn queues(service: &ServiceStatus) -> Vec<v1::QueueSummary> {
    let summary = |queue: &QueueStatus| v1::QueueSummary {
        service: service.service.to_string(),
        partner: queue.partner.to_string(),
        class: queue.classes.join(","),
        length: queue.length as u64,
        oldest_age_ms: whole_millis(queue.oldest_age),
    };
    if service.queues.is_empty() {
        return vec![v1::QueueSummary {
            service: service.service.to_string(),
            ..v1::QueueSummary::default()
        }];
    }
    service.queues.iter().map(summary).collect()
}

/// Ages of the dispatcher's own news. That of the platform's list is not known here.
fn lag(services: &[ServiceStatus]) -> v1::LagSummary {
    let events = services
        .iter()
        .filter_map(|service| service.cache_event_age);
    let backends = services.iter().flat_map(|service| &service.backends);
    let loads = backends.filter_map(|backend| backend.load.as_ref());
    v1::LagSummary {
        cache_events_ms: events.min().map(whole_millis),
        load_ms: loads.map(|(_, age)| whole_millis(*age)).max(),
        ..v1::LagSummary::default()
    }
}
