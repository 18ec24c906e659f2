//! Authentication of partners and authorization for programs.

use ridgeworks_configuration::ConfigurationSet;
use ridgeworks_domain::{PartnerName, ProgramName, Refusal, RefusalReason};

use super::Directory;

impl Directory {
    /// Returns the partner whose token has this digest: a partner in the configuration in force, or
    /// a bootstrap partner that this configuration does not name. Refuses unknown tokens, and all
    /// tokens while this node cannot prove that its configuration is the newest.
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

    /// A bootstrap partner from the settings is ignored once the configuration names that partner.
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

    /// Like [`Self::authenticate`], but by the last known configuration: an
    /// operator must be able to act even if this node cannot prove that its configuration is the
    /// newest. The operation itself is checked against the newest configuration.
    pub fn authenticate_operator(&self, token_sha256: &str) -> Result<PartnerName, Refusal> {
        self.authenticate_in(&self.last_known(), token_sha256)
    }

    /// Refuses a program that does not exist or belongs to another partner, and every program while
    /// this node cannot prove that its configuration is the newest.
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
