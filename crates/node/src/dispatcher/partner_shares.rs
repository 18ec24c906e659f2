//! Derives the scheduler's partner settings from the configuration.

use ridgeworks_configuration::ConfigurationSet;
use ridgeworks_scheduling::PartnerSettings;

/// One entry for each partner. A partner that the pool split does not name gets an equal share,
/// 1000 permille divided by the number of partners, rounded down.
pub fn partner_settings(configuration: &ConfigurationSet) -> Vec<PartnerSettings> {
    let split = configuration.pool_split();
    let partners = configuration.partners();
    let count = configuration.partners().count().max(1);
    partners
        .map(|partner| {
            let mut shares = split.iter().flat_map(|split| &split.shares);
            let share = shares.find(|share| share.partner == partner.name);
            PartnerSettings {
                partner: partner.name.clone(),
                permille: share.map_or((1_000 / count) as u16, |share| share.permille),
                latency_weight: partner.latency_weight,
            }
        })
        .collect()
}
