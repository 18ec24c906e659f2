//! Where the sends of a request and the ends of engines under it are recorded: in a ledger at the replicas, or at other gateways
//! while no majority of the replicas answers.

use std::time::Duration;

use ridgeworks_records::{
    LedgerEntry, MARK_ENTRY, ProgramId, ProgramLedger, RequestDigest, Settlement, TurnId,
};
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::records_client::{RecordsUnavailable, ttl_ms};

/// Who keeps an entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Keeper {
    Replicas,
    Witnesses,
}

/// An entry that was recorded, and the ledger with it.
pub(super) struct Recorded {
    pub(super) ledger: ProgramLedger,
    pub(super) keeper: Keeper,
}

/// The ledger of one request.
#[derive(Clone)]
pub(super) struct EndLedger {
    pub(super) digest: RequestDigest,
    /// The ledger at the replicas: that of the request's program, or else `alike`.
    pub(super) program: ProgramId,
    /// The ledger of all requests that are alike, which witnesses keep.
    pub(super) alike: ProgramId,
    pub(super) retention: Duration,
    /// Whether gateways may stand in for the replicas. They can't where tokens have to be reserved.
    pub(super) may_be_witnessed: bool,
}

impl EndLedger {
    /// Records an entry, and returns the ledger as a majority of its keepers has it.
    pub(super) async fn record(
        &self,
        gateway: &Gateway,
        key: &TurnId,
        entry: LedgerEntry,
        deadline: Instant,
    ) -> Result<Recorded, RecordsUnavailable> {
        let failure = match self.record_at_replicas(gateway, key, entry, deadline).await {
            Ok(ledger) => {
                let keeper = Keeper::Replicas;
                return Ok(Recorded { ledger, keeper });
            }
            Err(failure) => failure,
        };
        if !self.may_be_witnessed {
            return Err(failure);
        }
        let witnessed = gateway.witness(&self.alike, key, entry).await;
        let ledger = witnessed.map_err(|_| failure)?;
        let keeper = Keeper::Witnesses;
        Ok(Recorded { ledger, keeper })
    }

    /// Records an entry at the replicas, unless their majority is known to be lost or there are none. What this gateway witnessed is
    /// added.
    pub(super) async fn record_at_replicas(
        &self,
        gateway: &Gateway,
        key: &TurnId,
        entry: LedgerEntry,
        deadline: Instant,
    ) -> Result<ProgramLedger, RecordsUnavailable> {
        let records = &gateway.records;
        if records
            .health
            .is_lost(records.group_of(Some(&self.program)))
        {
            return Err(RecordsUnavailable::NoMajority);
        }
        let recording =
            records.reserve_if_replicated(&self.program, key, entry, self.retention, deadline);
        let mut ledger = recording.await?;
        if let Some(witnessed) = gateway.witnessed.borrow().find(&self.alike) {
            ledger.merge_ledger(witnessed);
        }
        Ok(ledger)
    }

    /// Records a mark, also at witnesses, for when the replicas can't be asked. One that no majority of the replicas takes in time is
    /// told to all gateways, and written later. Returns whether the next gateway will find it.
    pub(super) async fn record_mark(&self, gateway: &Gateway, mark: &TurnId) -> bool {
        if gateway.has_no_replicas() {
            return false;
        }
        let deadline = Instant::now() + super::preparation::RECORDS_TIMEOUT;
        let recording = self.record_at_replicas(gateway, mark, MARK_ENTRY, deadline);
        let witnessing = self.record_at_witnesses(gateway, mark);
        let (recorded, is_witnessed) = tokio::join!(recording, witnessing);
        if recorded.is_ok() {
            return true;
        }
        gateway.records.settle(self.settlement(mark.clone()));
        if self.may_be_witnessed {
            let telling = gateway.tell_all_witnesses(&self.alike, mark, MARK_ENTRY);
            tokio::join!(telling, gateway.store_end(&self.alike, mark));
        }
        is_witnessed
    }

    async fn record_at_witnesses(&self, gateway: &Gateway, mark: &TurnId) -> bool {
        if !self.may_be_witnessed {
            return false;
        }
        let witnessed = gateway.witness(&self.alike, mark, MARK_ENTRY).await;
        witnessed.is_ok()
    }

    /// Settles a permit at its keeper.
    pub(super) async fn settle(&self, gateway: &Gateway, permit: &TurnId, keeper: Keeper) {
        if keeper == Keeper::Witnesses {
            // Its failure is logged; the permit then counts until it expires.
            let _ = gateway.witness(&self.alike, permit, MARK_ENTRY).await;
            return;
        }
        let deadline = Instant::now() + super::preparation::RECORDS_TIMEOUT;
        let settling = self.record_at_replicas(gateway, permit, MARK_ENTRY, deadline);
        if settling.await.is_err() {
            gateway.records.settle(self.settlement(permit.clone()));
        }
    }

    /// Settles a permit of another try, whoever keeps it.
    pub(super) async fn settle_everywhere(&self, gateway: &Gateway, permit: &TurnId) {
        let settling = self.settle(gateway, permit, Keeper::Replicas);
        tokio::join!(settling, self.record_at_witnesses(gateway, permit));
    }

    /// The settlement that writes an entry of no charge later.
    pub(super) fn settlement(&self, key: TurnId) -> Settlement {
        Settlement {
            program: self.program.clone(),
            turn: key,
            entry: MARK_ENTRY,
            ttl_ms: ttl_ms(self.retention),
        }
    }
}
