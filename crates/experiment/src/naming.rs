//! Names and descriptions of the simulated back ends and partners.

use std::net::{Ipv4Addr, SocketAddr};

use ridgeworks_domain::objects::Backend;
use ridgeworks_domain::{BackendName, PartnerName, ServiceName, ZoneName};
use ridgeworks_scheduling::PartnerSettings;

use crate::error::ExperimentError;
use crate::workload::Workload;

const PORT: u16 = 9_000;

/// Names of the engines.
pub fn engine_names(workload: &Workload) -> Result<Vec<BackendName>, ExperimentError> {
    let names =
        (0..workload.engines.count).map(|number| BackendName::new(format!("engine-{number}")));
    names
        .map(|name| name.map_err(ExperimentError::Identifier))
        .collect()
}

/// Names of the partners.
pub fn partner_names(workload: &Workload) -> Result<Vec<PartnerName>, ExperimentError> {
    let names = workload
        .partners
        .iter()
        .map(|partner| PartnerName::new(partner.name.as_str()));
    names
        .map(|name| name.map_err(ExperimentError::Identifier))
        .collect()
}

/// Shares and weights of the partners.
pub fn partner_settings(workload: &Workload) -> Result<Vec<PartnerSettings>, ExperimentError> {
    let names = partner_names(workload)?.into_iter();
    let pairs = names.zip(&workload.partners);
    let settings = pairs.map(|(partner, entry)| PartnerSettings {
        partner,
        permille: entry.permille,
        latency_weight: entry.latency_weight,
    });
    Ok(settings.collect())
}

/// Descriptions of the engines.
pub fn backends(workload: &Workload) -> Result<Vec<Backend>, ExperimentError> {
    let service = tool_name("model")?;
    let zone = ZoneName::new("zone").map_err(ExperimentError::Identifier)?;
    let names = engine_names(workload)?.into_iter();
    let backends = names.map(|name| Backend {
        name,
        service: service.clone(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, PORT)),
        zone: zone.clone(),
        slots: workload.engines.slots,
    });
    Ok(backends.collect())
}

/// Name of a tool.
pub fn tool_name(name: &str) -> Result<ServiceName, ExperimentError> {
    ServiceName::new(name).map_err(ExperimentError::Identifier)
}
