//! Authorisation: which principal may change which object.

use ridgeworks_domain::PartnerName;

use crate::change::{ChangeError, Principal};
use crate::object::ConfigurationObject;
use crate::set::ConfigurationSet;

/// The partner that owns an object. The pool split has no owner; a back end belongs to the owner of
/// its service.
pub fn owner<'a>(
    set: &'a ConfigurationSet,
    object: &'a ConfigurationObject,
) -> Option<&'a PartnerName> {
    match object {
        ConfigurationObject::Partner(partner) => Some(&partner.name),
        ConfigurationObject::PriorityClass(class) => Some(&class.partner),
        ConfigurationObject::Service(service) => Some(&service.partner),
        ConfigurationObject::Program(program) => Some(&program.partner),
        ConfigurationObject::PoolSplit(_) => None,
        ConfigurationObject::Backend(backend) => {
            let service = set.service(&backend.service)?;
            Some(&service.partner)
        }
    }
}

/// Checks that `principal` may write `object`; `exists` is false if the write creates it.
pub(crate) fn check_owner(
    set: &ConfigurationSet,
    principal: &Principal,
    object: &ConfigurationObject,
    exists: bool,
) -> Result<(), ChangeError> {
    let allowed = match principal {
        Principal::Partner(partner) => {
            let new_partner = matches!(object, ConfigurationObject::Partner(_)) && !exists;
            !new_partner && owner(set, object) == Some(partner)
        }
        Principal::Bootstrap => !exists && is_bootstrap_object(object),
    };
    if allowed {
        return Ok(());
    }
    Err(ChangeError::Forbidden { key: object.key() })
}

/// Checks that a replacement does not change the owner.
pub(crate) fn check_same_owner(
    set: &ConfigurationSet,
    current: &ConfigurationObject,
    replacement: &ConfigurationObject,
) -> Result<(), ChangeError> {
    if owner(set, current) == owner(set, replacement) {
        return Ok(());
    }
    Err(ChangeError::Forbidden { key: current.key() })
}

fn is_bootstrap_object(object: &ConfigurationObject) -> bool {
    matches!(
        object,
        ConfigurationObject::Partner(_) | ConfigurationObject::PoolSplit(_)
    )
}
