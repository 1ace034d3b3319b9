//! Reactions of a single node to single messages.

use crate::cluster::member_info;
use lovageplank_core::consensus::{
    Body, Config, Entry, Id, Index, Input, Membership, Message, Node, Output, Payload, Position,
    Snapshot, StoredState, Term, Vote,
};
use lovageplank_core::prelude::*;

const LEADER: Id = Id(2);

fn membership() -> Membership {
    let ids = [1, 2, 3].map(Id).into_iter();
    ids.fold(Membership::default(), |all, id| {
        all.with_voter(id, member_info(id))
    })
}

/// Node 1 of three voters, with this many uncommitted entries of term 1.
fn node(entries: u64) -> Node {
    let entry = |index| Entry {
        term: Term(1),
        index: Index(index),
        payload: Payload::Noop,
    };
    let stored = StoredState {
        vote: Vote {
            term: Term(1),
            voted_for: None,
        },
        snapshot: None,
        entries: (1..=entries).map(entry).collect(),
    };
    Node::new(Config::new(Id(1), 1), stored, membership(), 0)
}

fn position(term: u64, index: u64) -> Position {
    Position {
        term: Term(term),
        index: Index(index),
    }
}

fn receive(node: &mut Node, now: Millis, from: Id, term: u64, body: Body) -> Vec<Output> {
    let term = Term(term);
    let message = Message { term, body };
    node.step(now, Input::Receive { from, message })
}

fn heartbeat(prev: Position) -> Body {
    Body::Append {
        prev,
        entries: Vec::new(),
        commit: Index(0),
        round: 1,
    }
}

#[test]
fn vote_request_is_ignored_while_the_leader_is_alive() {
    let mut node = node(1);
    receive(&mut node, 0, LEADER, 1, heartbeat(position(1, 1)));
    let vote_request = |transfer| Body::RequestVote {
        last: position(9, 9),
        transfer,
    };
    assert_eq!(receive(&mut node, 299, Id(3), 9, vote_request(false)), []);
    assert_eq!((node.term(), node.leader()), (Term(1), Some(LEADER)));

    let mut later = node.clone();
    assert_ne!(receive(&mut later, 300, Id(3), 9, vote_request(false)), []);
    assert_eq!(later.term(), Term(9));

    assert_ne!(receive(&mut node, 299, Id(3), 9, vote_request(true)), []);
    assert_eq!(
        node.term(),
        Term(9),
        "a vote request of a leadership transfer must be handled"
    );
}

#[test]
fn take_over_is_accepted_only_from_the_leader() {
    let mut node = node(1);
    receive(&mut node, 0, LEADER, 1, heartbeat(position(1, 1)));
    assert_eq!(receive(&mut node, 1, Id(3), 1, Body::TakeOver), []);
    assert_ne!(receive(&mut node, 1, LEADER, 1, Body::TakeOver), []);
    assert_eq!(node.term(), Term(2));
}

#[test]
fn installed_snapshot_drops_a_conflicting_log_and_keeps_a_matching_suffix() {
    // Term of the snapshot at index 5, and the last index of the log of 10 entries afterwards.
    for (term, last) in [(1, 10), (2, 5)] {
        let mut node = node(10);
        let snapshot = Snapshot {
            index: Index(5),
            term: Term(term),
            membership: membership(),
            data: Arc::from([]),
        };
        let install = Body::Install { snapshot, round: 1 };
        let outputs = receive(&mut node, 0, LEADER, 3, install.clone());
        assert_eq!(node.last_index(), Index(last), "term {term}");
        assert_eq!(node.commit(), Index(5));
        let restores = outputs.iter().any(|o| matches!(o, Output::Restore(_)));
        assert_eq!(
            restores,
            last == 5,
            "term {term}: the snapshot is restored only if the log lacks its entries"
        );
        let repeated = receive(&mut node, 1, LEADER, 3, install);
        assert_eq!(
            repeated.len(),
            1,
            "a repeated snapshot must only be acknowledged: {repeated:?}"
        );
    }
}

#[test]
fn append_of_an_earlier_term_changes_nothing_and_gets_a_reply() {
    let mut node = node(3);
    receive(&mut node, 0, LEADER, 4, heartbeat(position(1, 3)));
    let entry = Entry {
        term: Term(3),
        index: Index(2),
        payload: Payload::Noop,
    };
    let stale_append = Body::Append {
        prev: position(1, 1),
        entries: vec![entry],
        commit: Index(2),
        round: 1,
    };
    let outputs = receive(&mut node, 1, Id(3), 3, stale_append);
    let [Output::Send { to, message }] = outputs.as_slice() else {
        panic!("expected exactly one reply, got {outputs:?}");
    };
    assert_eq!((*to, message.term), (Id(3), Term(4)));
    assert_eq!((node.last_index(), node.commit()), (Index(3), Index(0)));
}
