//! What a gateway keeps as a witness.

use std::time::Duration;

use ridgeworks_gateway::WitnessedLedgers;
use ridgeworks_records::{
    EndCertainty, EngineEnd, EngineRun, MARK_ENTRY, PERMIT_ENTRY, ProgramId, RequestDigest, TurnId,
};

const LIFETIME: Duration = Duration::from_secs(120);
const DIGEST: RequestDigest = RequestDigest(7);

fn ledger(number: usize) -> ProgramId {
    ProgramId::of(None, &format!("ledger-{number}"))
}

fn permit() -> TurnId {
    TurnId::of(None, "r-1").permit(1, DIGEST)
}

fn end() -> TurnId {
    TurnId::of_engine_end(&EngineEnd {
        digest: DIGEST,
        run: EngineRun(1),
        certainty: EndCertainty::Known,
        at_s: 1,
        turn: permit(),
    })
}

#[test]
fn a_ledger_is_kept_while_an_entry_is_open_and_no_longer() {
    let mut witnessed = WitnessedLedgers::new(LIFETIME);
    let kept = witnessed.merge(&ledger(1), &permit(), PERMIT_ENTRY, Duration::ZERO);
    assert_eq!(kept.as_ref(), witnessed.find(&ledger(1)));
    assert!(kept.is_some_and(|ledger| ledger.entries.len() == 1));
    assert!(
        witnessed
            .merge(&ledger(1), &permit(), MARK_ENTRY, Duration::ZERO)
            .is_some()
    );
    assert!(witnessed.is_empty());
}

#[test]
fn an_end_is_kept_for_its_lifetime() {
    let mut witnessed = WitnessedLedgers::new(LIFETIME);
    witnessed.merge(&ledger(1), &end(), MARK_ENTRY, Duration::ZERO);
    witnessed.expire(LIFETIME - Duration::from_secs(1));
    assert!(witnessed.find(&ledger(1)).is_some());
    witnessed.expire(LIFETIME);
    assert!(witnessed.is_empty());
}

#[test]
fn any_number_of_requests_takes_bounded_memory_and_what_is_full_keeps_nothing_silently() {
    let mut witnessed = WitnessedLedgers::new(LIFETIME);
    let kept = (0..20_000)
        .map(|number| witnessed.merge(&ledger(number), &permit(), PERMIT_ENTRY, Duration::ZERO));
    let kept = kept.filter(Option::is_some).count();
    assert_eq!(kept, witnessed.len());
    assert!(kept < 10_000);
    assert!(
        witnessed
            .merge(&ledger(0), &end(), MARK_ENTRY, Duration::ZERO)
            .is_some()
    );
    witnessed.expire(LIFETIME);
    let later = witnessed.merge(&ledger(20_000), &permit(), PERMIT_ENTRY, LIFETIME);
    assert!(later.is_some());
}
