//! Changes of the pool split by proposal and consent.

use ridgeworks_domain::PartnerName;
use ridgeworks_domain::objects::{PoolSplit, Share};

use crate::change::{ChangeError, Principal};
use crate::object::ObjectKey;
use crate::set::ConfigurationSet;

/// Returns the split with a new open proposal and the consent of its proposer.
pub(crate) fn propose(
    set: &ConfigurationSet,
    principal: &Principal,
    shares: &[Share],
) -> Result<PoolSplit, ChangeError> {
    let mut split = set.pool_split().cloned().unwrap_or(PoolSplit {
        shares: Vec::new(),
        proposed: None,
        consents: Vec::new(),
    });
    split.proposed = Some(shares.to_vec());
    split.consents.clear();
    add_consent(split, principal)
}

/// Returns the split with one more consent. The last missing consent puts the proposal in force.
pub(crate) fn consent(
    set: &ConfigurationSet,
    principal: &Principal,
) -> Result<PoolSplit, ChangeError> {
    let split = set.pool_split().ok_or(ChangeError::NoProposal)?;
    add_consent(split.clone(), principal)
}

fn add_consent(mut split: PoolSplit, principal: &Principal) -> Result<PoolSplit, ChangeError> {
    let proposed = split.proposed.as_deref().ok_or(ChangeError::NoProposal)?;
    let named = partners_concerned(&split.shares, proposed);
    let partner = match principal {
        Principal::Partner(partner) if named.contains(&partner) => partner,
        _ => {
            let key = ObjectKey::pool_split();
            return Err(ChangeError::Forbidden { key });
        }
    };
    let mut consents = split.consents.clone();
    if !consents.contains(partner) {
        consents.push(partner.clone());
    }
    let complete = named.iter().all(|partner| consents.contains(partner));
    split.consents = consents;
    if complete {
        split.shares = split.proposed.take().unwrap_or_default();
        split.consents.clear();
    }
    Ok(split)
}

/// Partners with a share in the current or in the proposed split; all of them must consent.
fn partners_concerned<'a>(in_force: &'a [Share], proposed: &'a [Share]) -> Vec<&'a PartnerName> {
    let shares = in_force.iter().chain(proposed);
    let mut partners: Vec<&PartnerName> = shares.map(|share| &share.partner).collect();
    partners.sort();
    partners.dedup();
    partners
}
