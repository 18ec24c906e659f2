//! Merging records is commutative and idempotent: any order and repetition give the same table.

mod support;

use quickcheck::{Arbitrary, Gen, quickcheck};
use ridgeworks_domain::{MonotonicTime, NodeId};
use ridgeworks_membership::member_table::Merge;
use ridgeworks_membership::{Incarnation, Member, MemberState, MemberTable, NodeClaim};
use support::cluster::member;

const STATES: [MemberState; 5] = [
    MemberState::Alive,
    MemberState::Suspect,
    MemberState::Leaving,
    MemberState::Dead,
    MemberState::Left,
];

/// A record from a small value space, so that conflicts are frequent.
#[derive(Debug, Clone)]
struct Record(Member);

impl Arbitrary for Record {
    fn arbitrary(generator: &mut Gen) -> Self {
        let index = usize::from(u8::arbitrary(generator) % 3);
        let mut record = member(index, usize::from(bool::arbitrary(generator)), 1);
        let generation = u64::from(bool::arbitrary(generator));
        let refutations = u64::from(u8::arbitrary(generator) % 3);
        record.incarnation = Incarnation(Incarnation::at_start(generation).0 + refutations);
        record.state = *generator.choose(&STATES).unwrap();
        record.has_disk = bool::arbitrary(generator);
        Self(record)
    }
}

fn merged<'a>(records: impl Iterator<Item = &'a Record>) -> Vec<Member> {
    let mut table = MemberTable::default();
    for Record(record) in records {
        table.merge_record(record.clone(), MonotonicTime::ZERO);
    }
    table.iter().cloned().collect()
}

quickcheck! {
    fn order_does_not_matter(records: Vec<Record>) -> bool {
        merged(records.iter()) == merged(records.iter().rev())
    }

    fn repetition_does_not_matter(records: Vec<Record>) -> bool {
        merged(records.iter()) == merged(records.iter().chain(records.iter()))
    }

    fn merging_tables_is_merging_their_records(left: Vec<Record>, right: Vec<Record>) -> bool {
        let tables = merged(left.iter()).into_iter().chain(merged(right.iter()));
        let tables: Vec<Record> = tables.map(Record).collect();
        merged(tables.iter()) == merged(right.iter().chain(left.iter()))
    }

    fn claims_merge_as_their_records_do(first: Record, second: Record) -> bool {
        let Record(first) = first;
        let mut claimed = second.0.node_claim();
        claimed.node = first.node;
        let mut record = first.clone();
        record.incarnation = claimed.claim.incarnation;
        record.state = claimed.claim.state;
        let mut by_claim = MemberTable::default();
        by_claim.merge_record(first.clone(), MonotonicTime::ZERO);
        let merge = by_claim.merge_claim(claimed, MonotonicTime::ZERO);
        let by_record = merged([Record(first), Record(record)].iter());
        merge == Merge::RecordMissing || by_claim.iter().cloned().collect::<Vec<_>>() == by_record
    }

    fn suspicion_is_not_published(record: Record) -> bool {
        let node = record.0.node;
        let mut table = MemberTable::default();
        table.merge_record(record.0, MonotonicTime::ZERO);
        let (published, hash) = (table.published_claim_of(node), table.hash());
        table.suspect(node);
        table.published_claim_of(node) == published && table.hash() == hash
    }
}

#[test]
fn a_claim_about_an_unknown_node_asks_for_its_record() {
    let mut table = MemberTable::default();
    let known = member(0, 0, 5);
    let claimed = known.node_claim();
    assert_eq!(
        table.merge_claim(claimed, MonotonicTime::ZERO),
        Merge::RecordMissing
    );
    table.merge_record(known, MonotonicTime::ZERO);
    let replaced = NodeClaim {
        claim: member(0, 0, 6).claim(),
        ..claimed
    };
    assert_eq!(
        table.merge_claim(replaced, MonotonicTime::ZERO),
        Merge::RecordMissing
    );
}

#[test]
fn departed_members_stay_known_for_the_retention_time() {
    let mut table = MemberTable::default();
    let mut departed = member(0, 0, 5);
    departed.state = MemberState::Dead;
    let node = departed.node;
    let hour = std::time::Duration::from_secs(3600);
    table.merge_record(departed, MonotonicTime::ZERO);
    assert_eq!(
        table.remove_departed(MonotonicTime::ZERO + hour, hour * 2),
        Vec::<NodeId>::new()
    );
    assert!(table.get(node).is_some());
    assert_eq!(
        table.remove_departed(MonotonicTime::ZERO + hour * 2, hour * 2),
        [node]
    );
    assert!(table.get(node).is_none());
}
