//! What the clients of a partner can do: its programs and their services, from the preset.

use ridgeworks_api::v1;
use ridgeworks_api::v1::object::Specification;
use ridgeworks_domain::{PartnerName, ProgramName, ServiceName};

use crate::cluster::Preset;

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
