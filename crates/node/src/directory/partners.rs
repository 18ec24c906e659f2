//! Who may ask for what, by the configuration and the settings of this node.

use ridgeworks_configuration::ConfigurationSet;
use ridgeworks_domain::{PartnerName, ProgramName, Refusal, RefusalReason};

use super::Directory;

impl Directory {
    /// The partner whose token has this digest.
    pub fn authenticate(&self, token_sha256: &str) -> Result<PartnerName, Refusal> {
        self.authenticate_in(&*self.in_force()?, token_sha256)
    }

    fn authenticate_in(
        &self,
        set: &ConfigurationSet,
        token_sha256: &str,
    ) -> Result<PartnerName, Refusal> {
        match set.partner_by_token_hash(token_sha256) {
            Some(partner) => Ok(partner.name.clone()),
            None => self.authenticate_bootstrap(set, token_sha256),
        }
    }

    /// A partner of the settings counts only while the configuration does not hold it.
    fn authenticate_bootstrap(
        &self,
        set: &ConfigurationSet,
        token_sha256: &str,
    ) -> Result<PartnerName, Refusal> {
        self.bootstrap_partners
            .iter()
            .find(|partner| partner.token_sha256 == token_sha256)
            .filter(|partner| set.partner(&partner.name).is_none())
            .map(|partner| partner.name.clone())
            .ok_or(Refusal::permanent(RefusalReason::Unauthenticated))
    }

    /// The partner whose token has this digest, by the last configuration known: an operator must be
    /// able to act also where this node cannot prove that its configuration is the newest. What it
    /// does is checked against the newest one.
    pub fn authenticate_operator(&self, token_sha256: &str) -> Result<PartnerName, Refusal> {
        self.authenticate_in(&self.last_known(), token_sha256)
    }

    /// Refuses a program that does not exist or belongs to the other partner.
    pub fn check_program(
        &self,
        partner: &PartnerName,
        program: &ProgramName,
    ) -> Result<(), Refusal> {
        let set = self.in_force()?;
        match set.program(program) {
            Some(found) if found.partner == *partner => Ok(()),
            Some(_) => Err(Refusal::permanent(RefusalReason::Forbidden)),
            None => Err(Refusal::permanent(RefusalReason::UnknownProgram)),
        }
    }
}
