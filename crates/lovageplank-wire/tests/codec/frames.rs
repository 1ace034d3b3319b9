//! Sample frames: at least one of each kind.

use lovageplank_core::backend::{Announcement, AnnouncementReply, ServerReport};
use lovageplank_core::consensus::{
    Body, Entry, Id, Index, MemberInfo, Membership, Message, Payload, Position, Snapshot, Term,
};
use lovageplank_core::demand::{self, DemandReport};
use lovageplank_core::fleet::document::Document;
use lovageplank_core::fleet::message::Message as FleetMessage;
use lovageplank_core::fleet::patch::Patch;
use lovageplank_core::fleet::permit;
use lovageplank_core::fleet::quarantine;
use lovageplank_core::fleet::quota;
use lovageplank_core::fleet::server_limit::Statement;
use lovageplank_core::fleet::tenant::Unit;
use lovageplank_core::fleet::{brittle, place};
use lovageplank_core::idempotency::{Answer as StoredAnswer, Claim, Key, Outcome, Verdict};
use lovageplank_core::prelude::*;
use lovageplank_core::settings::{Edit, Version};
use lovageplank_core::slo::{Ack, BatchRange, Delta};
use lovageplank_core::view::{ServerLoad, TreeEdits, Update};
use lovageplank_wire::call::{Answer, Call, OperatorRequest, Refusal, RefusalCode};
use lovageplank_wire::hello::{LinkEnd, LinkKey};
use lovageplank_wire::{Frame, Heartbeat, Hello, Lease, Role};
use serde_json::json;

/// Number of frame kinds.
pub const FRAME_KINDS: usize = 16;

/// Index of a frame's kind. A new kind doesn't compile without one.
pub fn kind_index(frame: &Frame) -> usize {
    match frame {
        Frame::Hello(_) => 0,
        Frame::Proof(_) => 1,
        Frame::Reject(_) => 2,
        Frame::Ping { .. } => 3,
        Frame::Pong { .. } => 4,
        Frame::Consensus(_) => 5,
        Frame::Group(_) => 6,
        Frame::Heartbeat(_) => 7,
        Frame::Lease(_) => 8,
        Frame::Update(_) => 9,
        Frame::Objectives(_) => 10,
        Frame::Merged(_) => 11,
        Frame::Call { .. } => 12,
        Frame::Answer { .. } => 13,
        Frame::Members(_) => 14,
        Frame::Fleet(_) => 15,
    }
}

fn statement() -> Statement {
    Statement {
        server: "engine-1".into(),
        limit: Some(permit::Rate(1_700)),
        age_ms: 30,
    }
}

fn permit_request() -> permit::Request {
    permit::Request {
        asked_at: 7,
        wanted: 2,
    }
}

fn brittle_statement() -> brittle::Statement {
    brittle::Statement {
        server: "engine-1".into(),
        incarnation: 5,
        service: "desk".into(),
        tolerated: Some(2),
        age_ms: 40,
    }
}

fn place_server() -> place::Server {
    place::Server {
        id: "engine-1".into(),
        incarnation: 5,
        slots: 6,
        tolerated: 2,
    }
}

/// Samples of messages of deployments whose backend servers announce themselves.
fn fleet_messages() -> Vec<FleetMessage> {
    vec![
        FleetMessage::Totals {
            requests: vec![("engine-1".into(), 3)],
            store_wait_ms: 250,
            expected_waits: vec![("lime".into(), 900)],
            server_limits: vec![statement()],
        },
        FleetMessage::TotalsChanged {
            requests: vec![("engine-1".into(), 0)],
            store_wait_ms: 250,
            expected_waits: Some(vec![("lime".into(), 900)]),
            server_limits: Vec::new(),
        },
        FleetMessage::RetryPermitRequest {
            service: "desk".into(),
            request: permit_request(),
        },
        FleetMessage::ServerPermitRequest {
            statement: statement(),
            request: permit_request(),
        },
        FleetMessage::ServerPermitGrant {
            server: "engine-1".into(),
            grant: permit::Grant {
                asked_at: 7,
                permits: 1,
                retry_after_ms: 0,
            },
        },
        FleetMessage::BrittleServers(vec![brittle_statement()]),
        FleetMessage::PlaceRequest(place::Request {
            number: 3,
            service: "desk".into(),
            servers: vec![place_server()],
            wait_ms: 50,
        }),
        FleetMessage::PlaceAnswer {
            number: 3,
            answer: place::Answer::Given {
                server: "engine-1".into(),
                place: place::Number { term: 2, place: 9 },
            },
        },
        FleetMessage::PlaceUsage(place::Usage {
            server: place_server(),
            service: "desk".into(),
            requests: 2,
            seen: place::Number { term: 2, place: 8 },
            rejected: 1,
            answered: 4,
            broken: 0,
        }),
        FleetMessage::Document(Document::new(7, &[0, 255])),
        FleetMessage::DocumentPatch(Patch::new((6, b"old"), (7, b"new")).expect("a patch")),
        FleetMessage::PatchRefused(6),
        FleetMessage::HeldKeysChanged(quarantine::Change {
            term: 3,
            base: 1,
            number: 2,
            held: Vec::new(),
            gone: vec![("llm".into(), quarantine::Key::Request(7))],
        }),
        FleetMessage::HeldKeysWanted,
        FleetMessage::QuotaAsk(quota::Ask {
            session: 7,
            number: 2,
            sent_at: 5_000,
            items: vec![quota::Item {
                pool: quota_pool(),
                accounts: vec![quota::Account {
                    term: 3,
                    confirmed: 4,
                    charged: 1_100,
                    held: 500,
                }],
                first: 600,
                waiting: 1_700,
                ahead: 0,
            }],
        }),
        FleetMessage::QuotaAnswer(quota::Answer {
            session: 7,
            term: 3,
            given: vec![quota::Given {
                pool: quota_pool(),
                lots: vec![quota::Lot {
                    number: 5,
                    amount: 1_700,
                    asked_at: 5_000,
                }],
                again_ms: Some(250),
            }],
        }),
    ]
}

fn quota_pool() -> quota::Pool {
    quota::Pool {
        tenant: "north".into(),
        unit: Unit::Tokens,
    }
}

/// All sample frames.
pub fn frames() -> Vec<Frame> {
    let mut frames = vec![
        Frame::Hello(hello()),
        Frame::Proof(key().prove(LinkEnd::Dialling, &hello(), &hello())),
        Frame::Reject("protocol 2..=3 meets 1..=1".into()),
        Frame::Ping { nonce: u64::MAX },
        Frame::Pong { nonce: 0 },
        Frame::Members(vec![(7, "127.0.0.1:8200".into())]),
        Frame::Group(None),
        Frame::Group(Some(membership())),
        Frame::Heartbeat(heartbeat()),
        Frame::Lease(Lease {
            term: 3,
            leads: true,
            heartbeat: 9,
            lease_ms: 1_500,
        }),
        Frame::Update(Box::default()),
        Frame::Update(Box::new(update())),
        Frame::Objectives(delta()),
        Frame::Merged(Ack { merged: None }),
        Frame::Merged(Ack {
            merged: Some(BatchRange { low: 1, high: 4 }),
        }),
    ];
    frames.extend(
        fleet_messages()
            .into_iter()
            .map(|message| Frame::Fleet(Box::new(message))),
    );
    frames.extend(bodies().into_iter().map(|body| {
        let term = Term(4);
        Frame::Consensus(Message { term, body })
    }));
    let numbered = |(id, call)| Frame::Call { id, call };
    frames.extend((1..).zip(calls()).map(numbered));
    let numbered = |(id, answer)| Frame::Answer { id, answer };
    frames.extend((1..).zip(answers()).map(numbered));
    frames
}

fn key() -> LinkKey {
    LinkKey::new(b"0123456789abcdef").expect("long enough")
}

fn hello() -> Hello {
    Hello {
        protocol: 1,
        protocol_min: 1,
        instance: "control-1".into(),
        role: Role::Control,
        id: 7,
        incarnation: 1_764_795_600_000,
        address: "127.0.0.1:8200".into(),
        failure_domain: "salt".into(),
        nonce: [255; 16],
    }
}

fn membership() -> Membership {
    Membership::default()
        .with_voter(Id(1), MemberInfo::new("control-1", "127.0.0.1:1"))
        .with_learner(Id(2), MemberInfo::new("control-2", "127.0.0.1:2"))
}

fn heartbeat() -> Heartbeat {
    let entry = demand::ModelDemand {
        waiting: 2,
        deadline_in_ms: Some(900),
        ..demand::ModelDemand::new("lime")
    };
    Heartbeat {
        sequence: 5,
        tree: Version(2),
        view: 8,
        leaving: true,
        busy: Vec::new(),
        demand: DemandReport {
            models: vec![entry],
        },
    }
}

fn update() -> Update {
    let edits = vec![edit("deadline_ms", Some(json!(5)))];
    Update {
        sequence: 1,
        full: true,
        tree_edits: Some(TreeEdits {
            from: Version(1),
            to: Version(2),
            edits,
        }),
        backends_gone: vec!["engine-1".into()],
        loads: vec![(
            "engine-2".into(),
            ServerLoad {
                running: 1,
                queued: 2,
            },
        )],
        ..Update::default()
    }
}

fn delta() -> Delta {
    Delta {
        base: BatchRange { low: 0, high: 1 },
        range: BatchRange { low: 0, high: 2 },
        dropped: 3,
        names: vec!["drafting".into()],
        batches: Vec::new(),
    }
}

fn bodies() -> Vec<Body> {
    let last = Position {
        term: Term(3),
        index: Index(9),
    };
    let entry = |index, payload| Entry {
        term: Term(3),
        index: Index(index),
        payload,
    };
    let entries = vec![
        entry(10, Payload::Noop),
        entry(11, Payload::Data(vec![0, 255])),
        entry(12, Payload::Voters(membership())),
    ];
    let snapshot = Snapshot {
        index: Index(9),
        term: Term(3),
        membership: membership(),
        data: Arc::from(vec![7; 100]),
    };
    let (prev, commit, round) = (last, Index(9), 6);
    vec![
        Body::PreVote { last },
        Body::PreVoteReply { granted: true },
        Body::RequestVote {
            last,
            transfer: false,
        },
        Body::VoteReply { granted: false },
        Body::Append {
            prev,
            entries,
            commit,
            round,
        },
        Body::AppendAccepted {
            matched: Index(12),
            round,
        },
        Body::AppendRejected {
            prev: Index(9),
            hint: last,
            round,
        },
        Body::Install { snapshot, round },
        Body::TakeOver,
    ]
}

fn calls() -> Vec<Call> {
    let announcement: Announcement = serde_json::from_value(json!({
        "id": "engine-1", "incarnation": 5, "address": "127.0.0.1:9000", "kind": "engine",
        "failure_domain": "salt", "services": ["drafting"], "state": "leaving",
        "accelerators": [{"memory_mb": 80_000}], "fencing": true, "running": 2,
        "loaded": [{"model": "lime", "version": "1", "adapters": ["salt"], "loading": true}],
    }))
    .expect("an announcement");
    let report: ServerReport = serde_json::from_value(json!({
        "id": "engine-1", "incarnation": 5, "sequence": 1, "running": 2, "queued": 3,
        "kv_used": 0.25, "cache": [{"sequence": 1, "prefix": 9, "model": "lime", "added": true}],
    }))
    .expect("a report");
    let outcome = Outcome {
        claim: 8,
        answer: stored_answer(),
        at_ms: 0,
    };
    let mut calls = vec![
        Call::Announce(announcement),
        Call::Report(report),
        Call::Claim(claim()),
        Call::Complete(outcome),
    ];
    calls.extend(operator_requests().into_iter().map(Call::Operator));
    calls
}

fn claim() -> Claim {
    let key = Key {
        service: "orders".into(),
        caller: "office".into(),
        key: "42".into(),
    };
    Claim {
        key,
        fingerprint: 7,
        router: "router-1".into(),
        router_incarnation: 1,
        attempt: 1,
        at_ms: 0,
        ttl_ms: 60_000,
    }
}

fn stored_answer() -> StoredAnswer {
    StoredAnswer::Whole {
        status: 200,
        content_type: "text/plain".into(),
        body: vec![0, 159, 255],
    }
}

fn operator_requests() -> Vec<OperatorRequest> {
    let (id, base, author): (Name, _, Name) = ("c1".into(), Version(1), "office".into());
    let (from, to, version) = (Version(1), Version(2), Version(2));
    let instance: Name = "control-1".into();
    let edits = vec![
        edit("services/drafting", None),
        edit("", Some(json!({"settings": {"retry_ratio": 0.5}}))),
    ];
    vec![
        OperatorRequest::Status,
        OperatorRequest::Instances,
        OperatorRequest::Engines,
        OperatorRequest::Models,
        OperatorRequest::Settings {
            path: "services/drafting".into(),
            effective: true,
        },
        OperatorRequest::Change {
            id: id.clone(),
            base,
            author: author.clone(),
            edits,
        },
        OperatorRequest::Rollback {
            id,
            base,
            author,
            to,
        },
        OperatorRequest::History { limit: 3 },
        OperatorRequest::Diff { from, to },
        OperatorRequest::InForce { version },
        OperatorRequest::Drain {
            instance: instance.clone(),
        },
        OperatorRequest::VoterAdd {
            instance: instance.clone(),
        },
        OperatorRequest::VoterRemove { instance },
        OperatorRequest::Burn { window_ms: 0 },
    ]
}

fn answers() -> Vec<Answer> {
    let grant = AnnouncementReply {
        heartbeat_ms: 1_000,
        lease_ms: 3_500,
    };
    let verdicts = [
        Verdict::Run { claim: 8 },
        Verdict::InProgress,
        Verdict::Done(stored_answer()),
        Verdict::Done(StoredAnswer::Unknown),
        Verdict::Mismatch,
        Verdict::Full,
        Verdict::Stale,
        Verdict::Malformed,
    ];
    let codes = [
        RefusalCode::NoLeader,
        RefusalCode::Unknown,
        RefusalCode::Conflict,
        RefusalCode::Invalid,
        RefusalCode::NotFound,
        RefusalCode::Overloaded,
        RefusalCode::Forbidden,
    ];
    let refused =
        |code| Answer::Refused(Refusal::new(code, "why").with_details(json!({"current": 3})));
    let mut answers = vec![
        Answer::Done,
        Answer::Grant(grant),
        Answer::Operator(json!({"list": [null, true, -1, 0.5, "text", {}]})),
    ];
    answers.extend(verdicts.map(Answer::Claim));
    answers.extend(codes.map(refused));
    answers
}

fn edit(path: &str, value: Option<serde_json::Value>) -> Edit {
    Edit {
        path: path.into(),
        value,
    }
}
