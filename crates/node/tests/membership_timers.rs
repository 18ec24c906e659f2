//! The membership actor keeps one timer, however many events it takes.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use ridgeworks_domain::{NodeId, RegionName, ZoneName};
use ridgeworks_membership::{Incarnation, Member, MemberState, Membership, MembershipConfig};
use ridgeworks_node::clock::Clock;
use ridgeworks_node::membership::{MembershipOutputs, MembershipRole};
use stakker::{Stakker, actor, call, fwd_nop, ret_nop};

const EVENTS: usize = 200;
const OBSERVED: Duration = Duration::from_secs(1);
/// An idle node has something due a few times a second.
const MOST_TIMERS: u64 = 100;

#[test]
fn events_leave_no_timers_behind() {
    let clock = Clock::start();
    let state = Rc::new(RefCell::new(lone_node(clock)));
    let mut stakker = Stakker::new(Instant::now());
    let outputs = MembershipOutputs {
        outgoing: fwd_nop!(),
        seeds: fwd_nop!(),
        changes: fwd_nop!(),
        metrics: Arc::default(),
    };
    let role = actor!(
        stakker,
        MembershipRole::init(clock, state.clone(), outputs),
        ret_nop!()
    );
    for number in 0..EVENTS {
        let node = NodeId::from_name(&format!("stranger-{number}"));
        call!([role], alive(node));
    }
    let end = Instant::now() + OBSERVED;
    while Instant::now() < end {
        stakker.run(Instant::now(), false);
        let wait = stakker.next_wait_max(Instant::now(), OBSERVED, false);
        std::thread::sleep(wait.min(end.saturating_duration_since(Instant::now())));
    }
    let timers = state.borrow().counters().timers;
    assert!(timers <= MOST_TIMERS, "{timers} timers ran out in a second");
}

fn lone_node(clock: Clock) -> Membership {
    let own = Member {
        node: NodeId::from_name("lone"),
        name: "lone".to_owned(),
        incarnation: Incarnation(1),
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: ZoneName::new("zone").unwrap(),
        region: RegionName::new("region").unwrap(),
        has_disk: false,
        state: MemberState::Alive,
    };
    let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 2))];
    Membership::new(MembershipConfig::default(), own, seeds, 1, clock.now())
}
