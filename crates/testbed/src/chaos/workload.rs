//! What the clients of a partner can do: its programs and their services, from the preset.

use ridgeworks_api::v1;
use ridgeworks_api::v1::object::Specification;
use std::net::SocketAddr;

use ridgeworks_domain::{PartnerName, ProgramName, ServiceName};

use super::error::ChaosError;
use crate::cluster::{ClusterError, PartnerToken, Preset, operation_id, operator_client};

/// Used up by a few calls, so that the limit is reached while calls, attempts and child runs go on.
const TIGHT_BUDGET: u64 = 400;
const MOST_CALLS: u64 = 100;

/// A service that a program uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsedService {
    /// Its name.
    pub name: ServiceName,
    /// Its kind.
    pub kind: v1::ServiceKind,
    /// Price of a call, for tools and notices.
    pub price: u64,
}

/// A program that clients run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunnableProgram {
    /// Its name.
    pub name: ProgramName,
    /// Its services.
    pub services: Vec<UsedService>,
}

/// Programs of one partner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workload {
    /// The partner.
    pub partner: PartnerName,
    /// Its programs, the one with the largest budget first.
    pub programs: Vec<RunnableProgram>,
}

impl Workload {
    /// The programs of a partner whose name and objects can be read; none without a program.
    pub fn of_partner(preset: &Preset, partner: &str) -> Option<Self> {
        let mut programs: Vec<(u64, RunnableProgram)> = preset
            .objects
            .iter()
            .filter(|object| owner(object) == Some(partner))
            .filter_map(|object| runnable(preset, object))
            .collect();
        programs.sort_by_key(|(budget, _)| std::cmp::Reverse(*budget));
        let partner = PartnerName::new(partner).ok()?;
        let programs: Vec<RunnableProgram> = programs.into_iter().map(|(_, p)| p).collect();
        (!programs.is_empty()).then_some(Self { partner, programs })
    }
}

/// Configures a program of small budget and adds it to a workload.
pub fn add_tight_program(
    workload: &mut Workload,
    class: &str,
    nodes: &[SocketAddr],
    token: &PartnerToken,
) -> Result<(), ChaosError> {
    let Some(first) = workload.programs.first() else {
        return Err(ChaosError::NoProgram);
    };
    let name = format!("{}-tight", workload.partner);
    let services = first.services.iter();
    let specification = v1::Program {
        class: class.to_owned(),
        services: services.map(|service| service.name.to_string()).collect(),
        budget: TIGHT_BUDGET,
        max_calls: MOST_CALLS,
    };
    let request = v1::ApplyRequest {
        object: Some(v1::Object {
            metadata: Some(v1::Metadata {
                kind: v1::ObjectKind::Program.into(),
                name: name.clone(),
                partner: workload.partner.to_string(),
                ..v1::Metadata::default()
            }),
            specification: Some(Specification::Program(specification)),
        }),
        expected_version: 0,
        operation_id: operation_id(),
    };
    let applied = operator_client(nodes, token).apply(&request);
    applied.map_err(|source| ClusterError::Configure {
        step: format!("apply {name}"),
        source,
    })?;
    workload.programs.push(RunnableProgram {
        name: ProgramName::new(name).map_err(|_| ChaosError::NoProgram)?,
        services: first.services.clone(),
    });
    Ok(())
}

fn owner(object: &v1::Object) -> Option<&str> {
    let metadata = object.metadata.as_ref()?;
    Some(&metadata.partner)
}

fn runnable(preset: &Preset, object: &v1::Object) -> Option<(u64, RunnableProgram)> {
    let Some(Specification::Program(program)) = &object.specification else {
        return None;
    };
    let services = program.services.iter();
    let runnable = RunnableProgram {
        name: ProgramName::new(object.metadata.as_ref()?.name.clone()).ok()?,
        services: services.filter_map(|name| used(preset, name)).collect(),
    };
    Some((program.budget, runnable))
}

fn used(preset: &Preset, name: &str) -> Option<UsedService> {
    preset.objects.iter().find_map(|object| {
        let Some(Specification::Service(service)) = &object.specification else {
            return None;
        };
        let metadata = object.metadata.as_ref()?;
        if metadata.name != name {
            return None;
        }
        Some(UsedService {
            name: ServiceName::new(name).ok()?,
            kind: service.kind(),
            price: service.price,
        })
    })
}
