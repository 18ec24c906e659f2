//! Configures a deployment through the published operators' interface, as the partners would.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::client::{ClientError, ClientSettings, OperatorClient};
use ridgeworks_api::v1;
use ridgeworks_api::v1::object::Specification;
use sha2::{Digest, Sha256};

use super::error::ClusterError;
use super::preset::{PartnerPreset, Preset};

const TIMEOUT: Duration = Duration::from_secs(30);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A partner and its token.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct PartnerToken {
    /// The partner.
    pub partner: String,
    /// Its token.
    pub token: String,
}

impl PartnerToken {
    /// A random token for a partner.
    pub fn random(partner: &str) -> Self {
        Self {
            partner: partner.to_owned(),
            token: format!("{:032x}", rand::random::<u128>()),
        }
    }

    /// SHA-256 of the token, in lower-case hexadecimal.
    pub fn sha256(&self) -> String {
        let digest = Sha256::digest(self.token.as_bytes());
        digest.iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// A client of the operators' interface for one partner.
pub fn operator_client(nodes: &[SocketAddr], token: &PartnerToken) -> OperatorClient {
    let servers = nodes.iter().map(|node| format!("http://{node}"));
    OperatorClient::new(ClientSettings::new(servers.collect(), token.token.clone()))
}

/// An identifier of one change, under which it can be repeated.
pub fn operation_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// Applies partners, classes, services, programs and the split of the pool.
pub fn configure(
    preset: &Preset,
    nodes: &[SocketAddr],
    tokens: &[PartnerToken],
) -> Result<(), ClusterError> {
    let session = Session::new(nodes, tokens);
    for partner in &preset.partners {
        session.create(&session.partner_object(partner)?)?;
    }
    for object in &preset.objects {
        session.create(object)?;
    }
    session.agree_on_shares(preset)
}

/// The partners' clients.
struct Session<'a> {
    tokens: &'a [PartnerToken],
    clients: Vec<OperatorClient>,
    deadline: Instant,
}

impl<'a> Session<'a> {
    fn new(nodes: &[SocketAddr], tokens: &'a [PartnerToken]) -> Self {
        Self {
            tokens,
            clients: tokens
                .iter()
                .map(|token| operator_client(nodes, token))
                .collect(),
            deadline: Instant::now() + TIMEOUT,
        }
    }

    fn index_of(&self, partner: &str) -> Result<usize, ClusterError> {
        let position = self
            .tokens
            .iter()
            .position(|token| token.partner == partner);
        position.ok_or_else(|| ClusterError::UnknownPartner(partner.to_owned()))
    }

    fn partner_object(&self, partner: &PartnerPreset) -> Result<v1::Object, ClusterError> {
        let token = &self.tokens[self.index_of(&partner.name)?];
        Ok(v1::Object {
            metadata: Some(v1::Metadata {
                kind: v1::ObjectKind::Partner.into(),
                name: partner.name.clone(),
                partner: partner.name.clone(),
                ..v1::Metadata::default()
            }),
            specification: Some(Specification::Partner(v1::Partner {
                token_sha256: Some(token.sha256()),
                latency_weight: partner.latency_weight,
            })),
        })
    }

    /// Creates an object as its owner.
    fn create(&self, object: &v1::Object) -> Result<(), ClusterError> {
        let mut object = object.clone();
        let metadata = object.metadata.get_or_insert_default();
        metadata.kind = kind_of(object.specification.as_ref()).into();
        let client = &self.clients[self.index_of(&metadata.partner)?];
        let step = format!("apply {}", metadata.name);
        let request = v1::ApplyRequest {
            object: Some(object),
            expected_version: 0,
            operation_id: operation_id(),
        };
        self.retry(&step, || client.apply(&request)).map(drop)
    }

    fn agree_on_shares(&self, preset: &Preset) -> Result<(), ClusterError> {
        let shares = preset.partners.iter().map(|partner| v1::Share {
            partner: partner.name.clone(),
            permille: partner.permille,
        });
        let proposal = v1::ProposeSharesRequest {
            shares: shares.collect(),
            expected_version: 0,
            operation_id: operation_id(),
        };
        let Some((proposer, others)) = self.clients.split_first() else {
            return Ok(());
        };
        let step = "propose shares";
        let mut version = self
            .retry(step, || proposer.propose_shares(&proposal))?
            .version;
        for client in others {
            let consent = v1::ConsentSharesRequest {
                proposal_version: version,
                operation_id: operation_id(),
            };
            version = self
                .retry("consent to shares", || client.consent_shares(&consent))?
                .version;
        }
        Ok(())
    }

    /// Repeats a change under the same identifier while no node can serve it.
    fn retry<T>(
        &self,
        step: &str,
        change: impl Fn() -> Result<T, ClientError>,
    ) -> Result<T, ClusterError> {
        loop {
            match change() {
                Err(ClientError::Unavailable { .. } | ClientError::Unreachable { .. })
                    if Instant::now() < self.deadline =>
                {
                    thread::sleep(RETRY_PAUSE);
                }
                result => {
                    return result.map_err(|source| ClusterError::Configure {
                        step: step.to_owned(),
                        source,
                    });
                }
            }
        }
    }
}

fn kind_of(specification: Option<&Specification>) -> v1::ObjectKind {
    match specification {
        None => v1::ObjectKind::Unspecified,
        Some(Specification::Partner(_)) => v1::ObjectKind::Partner,
        Some(Specification::PriorityClass(_)) => v1::ObjectKind::PriorityClass,
        Some(Specification::Service(_)) => v1::ObjectKind::Service,
        Some(Specification::Program(_)) => v1::ObjectKind::Program,
        Some(Specification::PoolSplit(_)) => v1::ObjectKind::PoolSplit,
        Some(Specification::Backend(_)) => v1::ObjectKind::Backend,
    }
}
