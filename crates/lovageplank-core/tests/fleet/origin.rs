//! Where streams began: what is admitted, recorded and known, in any order of messages.

use crate::samples::announcement;
use lovageplank_core::fleet::message::Message;
use lovageplank_core::fleet::origin::{
    Admitted, Answer, Begun, Ledger, Origin, Question, Streams, keep_ms,
};
use lovageplank_core::fleet::registry::{Announcement, Registry};
use lovageplank_core::prelude::*;

const SERVICE: &str = "drafting";
/// Milliseconds for which the streams of these tests are kept.
const KEEP_MS: Millis = 10_000;
/// Milliseconds after which a version without servers has been dropped, with time to spare.
const LONG_MS: Millis = 3_600_000;

fn origin(software: &str) -> Origin {
    Origin {
        service: SERVICE.into(),
        software: software.into(),
    }
}

fn known(software: &str) -> Answer {
    Answer::Known(origin(software))
}

fn begun(stream: &str, software: &str) -> Begun {
    Begun {
        stream: stream.into(),
        origin: origin(software),
        keep_ms: KEEP_MS,
    }
}

fn admitted(number: u64, versions: &[&str]) -> Admitted {
    let versions = versions.iter().map(|v| Name::from(*v)).collect();
    Admitted {
        number,
        versions: BTreeMap::from([(SERVICE.into(), versions)]),
    }
}

fn question(stream: Option<&str>) -> Question {
    Question {
        number: 1,
        stream: stream.map(Name::from),
        services: vec![SERVICE.into()],
    }
}

fn registry(servers: &[(&str, &str)]) -> Registry {
    let mut registry = Registry::default();
    for (number, (id, software)) in servers.iter().enumerate() {
        let announcement = Announcement {
            address: format!("10.0.0.1:{}", 8_000 + number).into(),
            software: (*software).into(),
            ..announcement(id, 1)
        };
        registry.observe(0, announcement);
    }
    registry
}

/// A ledger to which these versions are admitted.
fn ledger(versions: &[&str]) -> Ledger {
    let mut ledger = Ledger::default();
    ledger.admit(admitted(1, versions));
    ledger
}

#[test]
fn a_stream_without_a_record_has_an_origin_only_if_one_version_is_admitted() {
    for (versions, expected) in [
        (&["v1"][..], known("v1")),
        (&["v1", "v2"], Answer::Unknown),
        (&[], Answer::Unknown),
    ] {
        let ledger = ledger(versions);
        assert_eq!(ledger.answer(&question(Some("s"))), expected);
        assert_eq!(ledger.answer(&question(None)), expected);
    }
    // A route that is split among services has an origin in each.
    let mut split = question(None);
    split.services.push("canary".into());
    let mut both = admitted(2, &["v1"]);
    assert_eq!(both.sole_origin(&split.services), Some(origin("v1")));
    both.versions
        .insert("canary".into(), BTreeSet::from(["v1".into()]));
    assert_eq!(both.sole_origin(&split.services), None);
}

#[test]
fn a_record_outlives_the_version_list_and_the_first_one_counts() {
    let mut ledger = ledger(&["v1", "v2"]);
    ledger.add(0, vec![begun("s", "v2")], false);
    ledger.add(1, vec![begun("s", "v1")], true);
    assert_eq!(ledger.answer(&question(Some("s"))), known("v2"));
    ledger.expire(KEEP_MS - 1);
    assert_eq!(ledger.answer(&question(Some("s"))), known("v2"));
    ledger.expire(KEEP_MS);
    assert_eq!(ledger.answer(&question(Some("s"))), Answer::Unknown);
}

#[test]
fn records_are_proposed_until_they_are_applied() {
    let mut ledger = ledger(&["v1", "v2"]);
    ledger.add(0, vec![begun("a", "v1"), begun("b", "v2")], false);
    assert_eq!(ledger.proposal(0).len(), 2);
    assert_eq!(ledger.proposal(500), []);
    ledger.add(600, vec![begun("a", "v1")], true);
    let again = ledger.proposal(2_000);
    assert_eq!(again.len(), 1);
    assert_eq!(&*again[0].stream, "b");
    assert_eq!(ledger.snapshot(2_000).len(), 1);
    // A later term of this process proposes at once.
    ledger.resign();
    assert_eq!(ledger.proposal(2_001).len(), 1);
}

#[test]
fn a_version_is_admitted_when_a_server_runs_it_and_dropped_long_after_the_last() {
    let mut ledger = ledger(&["v1"]);
    let both = registry(&[("a", "v1"), ("b", "v2")]);
    let proposed = ledger.versions_proposal(0, &both).expect("a new version");
    assert_eq!(proposed, admitted(2, &["v1", "v2"]));
    assert_eq!(
        ledger.versions_proposal(1, &both),
        None,
        "proposed just now"
    );
    assert!(
        ledger.versions_proposal(5_000, &both).is_some(),
        "not applied"
    );
    assert!(ledger.admit(proposed));
    assert!(!ledger.admit(admitted(1, &["v9"])), "outdated");
    assert_eq!(ledger.versions_proposal(6_000, &both), None);
    let old_left = registry(&[("b", "v2")]);
    assert_eq!(ledger.versions_proposal(7_000, &old_left), None);
    // It came back meanwhile, so the time counts anew.
    assert_eq!(ledger.versions_proposal(LONG_MS, &both), None);
    assert_eq!(ledger.versions_proposal(LONG_MS + 1, &old_left), None);
    let dropped = ledger.versions_proposal(2 * LONG_MS, &old_left);
    assert_eq!(dropped, Some(admitted(3, &["v2"])));
}

#[test]
fn versions_and_records_are_bounded() {
    let names: Vec<(String, String)> = (0..100)
        .map(|n| (format!("s{n}"), format!("v{n}")))
        .collect();
    let servers: Vec<(&str, &str)> = names.iter().map(|(s, v)| (&**s, &**v)).collect();
    let mut ledger = Ledger::default();
    let proposed = ledger.versions_proposal(0, &registry(&servers));
    let versions = &proposed.expect("versions").versions[SERVICE];
    assert_eq!(versions.len(), 32);
    for number in 0..70_000_u64 {
        let stream = Begun {
            keep_ms: KEEP_MS + number,
            ..begun(&format!("s{number}"), "v1")
        };
        ledger.add(0, vec![stream], false);
    }
    assert!(ledger.record_count() <= 65_536);
    // The ones that are forgotten soonest were dropped.
    assert_eq!(ledger.answer(&question(Some("s0"))), Answer::Unknown);
    assert_eq!(ledger.answer(&question(Some("s69999"))), known("v1"));
    assert_eq!(keep_ms(u64::MAX), 600_000);
}

fn recorded(streams: &mut Streams) -> Vec<Name> {
    match streams.take_records() {
        Some(Message::StreamsBegun(begun)) => begun.into_iter().map(|b| b.stream).collect(),
        _ => Vec::new(),
    }
}

/// Guards against a cost while a service has one version, and against streams that are lost when a second
/// one comes.
#[test]
fn streams_are_recorded_as_soon_as_there_are_two_versions() {
    let mut streams = Streams::default();
    assert!(streams.update(0, admitted(1, &["v1"])));
    let begin = |streams: &mut Streams, id: &str| {
        streams.begun(0, &id.into(), origin("v1"), [SERVICE.into()], KEEP_MS);
    };
    begin(&mut streams, "a");
    begin(&mut streams, "b");
    streams.completed("a");
    assert_eq!(recorded(&mut streams), []);
    assert_eq!(streams.known("b"), Some(&origin("v1")));
    assert!(streams.update(1, admitted(2, &["v1", "v2"])));
    assert!(!streams.update(1, admitted(1, &["v1"])), "outdated");
    assert_eq!(recorded(&mut streams), ["b".into()]);
    begin(&mut streams, "c");
    assert_eq!(recorded(&mut streams), ["c".into()]);
    assert_eq!(recorded(&mut streams), []);
    // A control process that has started again gets both.
    let Some(Message::StreamsBegun(all)) = streams.all_records(2) else {
        panic!("records");
    };
    assert_eq!(all.len(), 2);
    streams.expire(KEEP_MS);
    assert_eq!(streams.known("b"), None);
    assert_eq!(streams.all_records(KEEP_MS), None);
}

#[test]
fn a_question_is_repeated_until_it_is_answered() {
    let mut streams = Streams::default();
    let number = streams.ask(Some("s".into()), [SERVICE.into()]);
    assert!(streams.has_questions(0));
    assert_eq!(streams.take_questions(0).len(), 1);
    assert!(!streams.has_questions(100));
    assert_eq!(streams.take_questions(200).len(), 1);
    streams.answered(number + 1, known("v9"));
    assert_eq!(streams.answer(number), None);
    streams.answered(number, Answer::Unknown);
    assert_eq!(streams.answer(number), Some(Answer::Unknown));
    assert!(!streams.has_questions(10_000));
    streams.close(number);
    streams.answered(number, known("v1"));
    assert_eq!(streams.answer(number), None);
}
