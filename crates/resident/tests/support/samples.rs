//! One message of each kind of protocol version 0, with every field set. That version encoded the golden files from these.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use ridgeworks_records::{
    Admission, Epoch, GroupId, LedgerEntry, ListPosition, Listing, ProgramId, ProgramLedger,
    Replica, ReplicaGroups, ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, Settlement,
    TurnId, TurnRecord,
};
use ridgeworks_resident::peer::{
    Confirmations, Datagram, Heartbeat, KnownEngines, LoadReport, MemberInfo, PeerReply,
    PeerRequest, PrepareRequest, RelayedRequest, ReplicaStatus, ViewPosition, ViewUpdate,
};
use ridgeworks_routing::{
    ClientLimits, Engine, EngineChanges, EngineEntry, EngineState, KeyDigest, ModelEngine,
    PrefillRecord, PromptPart, RateLimit, Removal, ReportedOutcomes, RequestKind, Residency, Route,
    RouteConfiguration, Service, ServiceSummary, Tenant, WeightedService,
};

const GROUP: GroupId = GroupId(3);
const EPOCH: Epoch = Epoch(17);
const REPLICA: ReplicaId = ReplicaId(0x0123_4567_89ab_cdef);
const RETENTION_MS: u64 = 600_000;

fn address(port: u16) -> SocketAddr {
    (Ipv4Addr::new(10, 1, 2, 3), port).into()
}

fn turn(name: &str) -> TurnId {
    TurnId::of(Some("tenant"), name)
}

pub fn program() -> ProgramId {
    ProgramId::of(None, "program")
}

pub fn record() -> TurnRecord {
    TurnRecord {
        turn: turn("t2"),
        previous: Some(turn("t1")),
        input: b"what was asked".to_vec(),
        output: b"what was answered".to_vec(),
    }
}

fn entry(spent: Option<u64>) -> LedgerEntry {
    LedgerEntry {
        reserved_tokens: 512,
        spent,
    }
}

pub fn ledger() -> ProgramLedger {
    let entries = [(turn("t1"), entry(Some(40))), (turn("t2"), entry(None))];
    ProgramLedger {
        entries: BTreeMap::from(entries),
    }
}

pub fn replica(number: u64) -> Replica {
    Replica {
        id: ReplicaId(number),
        node: format!("node-{number}"),
        address: format!("10.1.2.{number}:7000"),
        zone: "zone-a".to_owned(),
    }
}

pub fn groups() -> ReplicaGroups {
    let settled = ReplicaSet {
        epoch: EPOCH,
        voters: vec![replica(1), replica(2), replica(3)],
        incoming: None,
    };
    let changing = ReplicaSet {
        epoch: Epoch(4),
        voters: vec![replica(1)],
        incoming: Some(vec![replica(4)]),
    };
    ReplicaGroups::new(vec![settled, changing])
}

pub fn replica_requests() -> Vec<ReplicaRequest> {
    vec![
        ReplicaRequest::Charge {
            group: GROUP,
            epoch: EPOCH,
            program: program(),
            turn: turn("t2"),
            entry: entry(None),
            ttl_ms: RETENTION_MS,
        },
        ReplicaRequest::Settle {
            group: GROUP,
            epoch: EPOCH,
            settlements: vec![Settlement {
                program: program(),
                turn: turn("t2"),
                entry: entry(Some(33)),
                ttl_ms: RETENTION_MS,
            }],
        },
        ReplicaRequest::Append {
            group: GROUP,
            epoch: EPOCH,
            record: record(),
            ttl_ms: RETENTION_MS,
        },
        ReplicaRequest::ReadChain {
            group: GROUP,
            epoch: EPOCH,
            turn: turn("t2"),
        },
        ReplicaRequest::Adopt { groups: groups() },
        ReplicaRequest::List {
            group: GROUP,
            epoch: EPOCH,
            after: Some(ListPosition {
                log_id: 5,
                change: 6,
            }),
        },
        ReplicaRequest::Admit(Admission {
            group: GROUP,
            tenant: "tenant".to_owned(),
            may_start_program: true,
            per_ks: 1_500,
            burst: 7,
            version: 42,
        }),
        ReplicaRequest::Fetch {
            turns: vec![turn("t1"), turn("t2")],
        },
    ]
}

/// Name in the golden files. A new variant must not be added here, since nodes of version 0 couldn't decode it.
pub fn replica_request_name(request: &ReplicaRequest) -> &'static str {
    match request {
        ReplicaRequest::Charge { .. } => "charge",
        ReplicaRequest::Settle { .. } => "settle",
        ReplicaRequest::Append { .. } => "append",
        ReplicaRequest::ReadChain { .. } => "read-chain",
        ReplicaRequest::Adopt { .. } => "adopt",
        ReplicaRequest::List { .. } => "list",
        ReplicaRequest::Admit(_) => "admit",
        ReplicaRequest::Fetch { .. } => "fetch",
    }
}

pub fn replica_replies() -> Vec<ReplicaReply> {
    vec![
        ReplicaReply::Charged { ledger: ledger() },
        ReplicaReply::Done,
        ReplicaReply::Chain {
            records: vec![record()],
            missing: Some(turn("t1")),
        },
        ReplicaReply::Listed(Listing {
            turns: vec![(turn("t1"), 10)],
            ledgers: vec![(program(), ledger(), 20)],
            next: ListPosition {
                log_id: 5,
                change: 9,
            },
            is_end: true,
        }),
        ReplicaReply::Fetched {
            records: vec![record()],
        },
        ReplicaReply::Granted,
        ReplicaReply::Exhausted {
            next_ms: 30,
            retry_ms: 90,
        },
        ReplicaReply::Stale { groups: groups() },
        ReplicaReply::Behind,
        ReplicaReply::NotMember,
        ReplicaReply::Unavailable,
    ]
}

pub fn replica_reply_name(reply: &ReplicaReply) -> &'static str {
    match reply {
        ReplicaReply::Charged { .. } => "charged",
        ReplicaReply::Done => "done",
        ReplicaReply::Chain { .. } => "chain",
        ReplicaReply::Listed(_) => "listed",
        ReplicaReply::Fetched { .. } => "fetched",
        ReplicaReply::Granted => "granted",
        ReplicaReply::Exhausted { .. } => "exhausted",
        ReplicaReply::Stale { .. } => "stale",
        ReplicaReply::Behind => "behind",
        ReplicaReply::NotMember => "not-member",
        ReplicaReply::Unavailable => "unavailable",
    }
}

pub fn requests() -> Vec<PeerRequest> {
    let replica_requests = replica_requests().into_iter();
    let replica_requests = replica_requests.map(|request| PeerRequest::Replica {
        to: REPLICA,
        request,
    });
    let positions = [
        KnownEngines::Unwanted,
        KnownEngines::Nothing,
        KnownEngines::UpTo(9),
    ];
    let fetches = positions.into_iter().map(|engines| {
        PeerRequest::FetchView(ViewPosition {
            version: 42,
            engines,
            epoch: EPOCH,
            wants_drains: false, // not in version 0
        })
    });
    let others = [
        PeerRequest::ListMembers,
        PeerRequest::Relay(Box::new(RelayedRequest {
            address: address(7_001),
            to: REPLICA,
            request: ReplicaRequest::Fetch {
                turns: vec![turn("t1")],
            },
        })),
        PeerRequest::Prepare(Box::new(PrepareRequest {
            to: REPLICA,
            group: GROUP,
            groups: groups(),
        })),
    ];
    replica_requests.chain(fetches).chain(others).collect()
}

pub fn request_name(request: &PeerRequest) -> String {
    match request {
        PeerRequest::Replica { request, .. } => {
            format!("replica-{}", replica_request_name(request))
        }
        PeerRequest::FetchView(position) => {
            let engines = match position.engines {
                KnownEngines::Unwanted => "unwanted",
                KnownEngines::Nothing => "nothing",
                KnownEngines::UpTo(_) => "up-to",
            };
            format!("fetch-view-{engines}")
        }
        PeerRequest::ListMembers => "list-members".to_owned(),
        PeerRequest::Relay(_) => "pass-on".to_owned(),
        PeerRequest::Prepare(_) => "prepare".to_owned(),
        PeerRequest::Extension(_) => "extension".to_owned(), // not in version 0
    }
}

pub fn configuration() -> RouteConfiguration {
    let kinds = [
        RequestKind::Repeatable,
        RequestKind::NotRepeatable,
        RequestKind::Stream,
    ];
    let routes = kinds.into_iter().map(|kind| Route {
        name: format!("{kind:?}"),
        host: "host.example".to_owned(),
        path_prefix: "/path/".to_owned(),
        kind,
        timeout_ms: 30_000,
        target_ms: 1_900,
        gap_target_ms: 29,
        priority: 2,
        services: vec![WeightedService {
            service: "models".to_owned(),
            weight: 5,
        }],
        max_attempts: 3,
        resumable: true,
        keeps_turns: true,
        retention_ms: RETENTION_MS,
        is_public: false,
        residency: Residency::anywhere(), // not in version 0
    });
    let models = Service {
        name: "models".to_owned(),
        max_connections: 64,
        model: Some(ModelEngine {
            slots: 16,
            event_tokens: 4,
            memory_tokens: 100_000,
        }),
        warm_up: None, // not in version 0
    };
    let tools = Service {
        name: "tools".to_owned(),
        max_connections: 8,
        model: None,
        warm_up: None, // not in version 0
    };
    let key = KeyDigest::of(b"key").expect("a key");
    let limited = Tenant {
        name: "limited".to_owned(),
        keys: vec![key],
        priority: Some(1),
        limit: Some(RateLimit {
            per_ks: 1_500,
            burst: 7,
        }),
        residency: Residency::anywhere(), // not in version 0
    };
    let free = Tenant {
        name: "free".to_owned(),
        keys: Vec::new(),
        priority: None,
        limit: None,
        residency: Residency::anywhere(), // not in version 0
    };
    RouteConfiguration {
        version: 42,
        routes: routes.collect(),
        services: vec![models, tools],
        limits: ClientLimits {
            max_header_bytes: 16_384,
            max_body_bytes: 1_048_576,
            header_timeout_ms: 5_000,
            idle_timeout_ms: 60_000,
        },
        tenants: Some(vec![limited, free]),
    }
}

pub fn engines() -> EngineChanges {
    let states = [EngineState::Ready, EngineState::Draining];
    let entries = states.into_iter().map(|state| EngineEntry {
        engine: Engine {
            instance: format!("{state:?}"),
            born_ms: 1_700_000_000_000,
            service: "models".to_owned(),
            address: address(8_000),
            zone: "zone-b".to_owned(),
            slots: 16,
            state,
            warm_up_ms: 0,           // not in version 0
            software: String::new(), // not in version 1
        },
        revision: 8,
    });
    EngineChanges {
        is_whole: true,
        entries: entries.collect(),
        removals: vec![Removal {
            instance: "gone".to_owned(),
            revision: 7,
        }],
        at: 9,
    }
}

fn member() -> MemberInfo {
    MemberInfo {
        name: "node-1".to_owned(),
        address: address(7_000),
        zone: "zone-a".to_owned(),
        is_replica: true,
    }
}

pub fn replies() -> Vec<PeerReply> {
    let replica_replies = replica_replies().into_iter().map(PeerReply::Replica);
    let whole = ViewUpdate {
        configuration: Some(configuration()),
        engines: Some(engines()),
        groups: Some(groups()),
        unconfirmed_ms: Some(120),
        engines_unconfirmed_ms: Some(80),
        drains: None,        // not in version 0
        protocol: 0,         // not in version 0
        has_extras: false,   // not in version 0
        has_starts: false,   // not in version 0
        has_software: false, // not in version 1
    };
    let empty = ViewUpdate {
        configuration: None,
        engines: None,
        groups: None,
        unconfirmed_ms: None,
        engines_unconfirmed_ms: None,
        drains: None,        // not in version 0
        protocol: 0,         // not in version 0
        has_extras: false,   // not in version 0
        has_starts: false,   // not in version 0
        has_software: false, // not in version 1
    };
    let others = [
        PeerReply::View(whole),
        PeerReply::View(empty),
        PeerReply::Members(vec![member()]),
        PeerReply::Unsupported,
        PeerReply::RelayFailed,
        PeerReply::Prepared { is_ready: true },
    ];
    replica_replies.chain(others).collect()
}

pub fn reply_name(reply: &PeerReply) -> String {
    match reply {
        PeerReply::Replica(reply) => format!("replica-{}", replica_reply_name(reply)),
        PeerReply::View(update) if update.configuration.is_some() => "view".to_owned(),
        PeerReply::View(_) => "view-empty".to_owned(),
        PeerReply::Members(_) => "members".to_owned(),
        PeerReply::Unsupported => "unsupported".to_owned(),
        PeerReply::RelayFailed => "unreached".to_owned(),
        PeerReply::Prepared { .. } => "prepared".to_owned(),
        PeerReply::Extension(_) => "extension".to_owned(), // not in version 0
    }
}

fn confirmations() -> Confirmations {
    Confirmations {
        version: 42,
        unconfirmed_ms: Some(120),
        engines_newest: 9,
        engines_unconfirmed_ms: None,
        drains: None,             // not in version 0
        no_replica_sets_ms: None, // not in version 0
    }
}

fn prefill() -> PrefillRecord {
    PrefillRecord {
        engine: 77,
        parts: vec![PromptPart {
            hash: 88,
            tokens: 1_200,
        }],
    }
}

pub fn datagrams() -> Vec<Datagram> {
    vec![
        Datagram::Heartbeat(Box::new(Heartbeat {
            from: member(),
            incarnation: 1_700_000_000_123,
            confirmations: confirmations(),
            epoch: EPOCH,
            replica: Some(ReplicaStatus {
                id: REPLICA,
                copied: Some((GROUP, EPOCH)),
            }),
            load: LoadReport {
                open: vec![(77, 3)],
                suspects: vec![ReportedOutcomes {
                    engine: 77,
                    ended: 120,
                    failed: 15,
                }],
                services: vec![ServiceSummary {
                    service: 66,
                    tokens_per_s: 90_000,
                    share_us: 1_500,
                    turn_us: 300_000,
                }],
            },
            known: vec![member()],
            protocol: 0, // not in version 0
        })),
        Datagram::Read(prefill()),
        Datagram::FindRead {
            number: 5,
            part: 88,
        },
        Datagram::AskConfirmations { number: 6 },
        Datagram::Confirmed {
            number: 6,
            told: confirmations(),
        },
        Datagram::FoundRead {
            number: 5,
            read: Some(prefill()),
        },
    ]
}

pub fn datagram_name(datagram: &Datagram) -> &'static str {
    match datagram {
        Datagram::Heartbeat(_) => "heartbeat",
        Datagram::Read(_) => "read",
        Datagram::FindRead { .. } => "find-read",
        Datagram::AskConfirmations { .. } => "ask-confirmations",
        Datagram::Confirmed { .. } => "confirmed",
        Datagram::FoundRead { .. } => "found-read",
        Datagram::Extension(_) => "extension", // not in version 0
    }
}
