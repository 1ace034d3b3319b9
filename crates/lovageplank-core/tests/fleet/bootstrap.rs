//! Formation of the control group by the initial voters.

use lovageplank_core::consensus::{
    Body, Id, Index, MemberInfo, Membership, Message, Position, Term,
};
use lovageplank_core::fleet::bootstrap::{Bootstrap, FOUNDING_WAIT_MS, Peer, Reception};
use std::collections::BTreeMap;

/// Processes, by number, that send each other their groups.
struct Simulation {
    peers: BTreeMap<u64, Peer>,
    bootstrap: BTreeMap<u64, Bootstrap>,
    groups: BTreeMap<u64, Membership>,
    now: u64,
}

fn name(id: u64) -> String {
    format!("host-{id}")
}

fn peer(id: u64, can_vote: bool) -> Peer {
    let member = MemberInfo::new(name(id), format!("{}:1", name(id)));
    Peer { member, can_vote }
}

impl Simulation {
    /// Processes that can vote or not, of which the first `initial_voters` are to form the group.
    fn new(can_vote: &[bool], initial_voters: u64) -> Simulation {
        let named: Vec<_> = (1..=initial_voters).map(|id| name(id).into()).collect();
        let ids = 1..=u64::try_from(can_vote.len()).expect("few");
        let peers: BTreeMap<u64, Peer> = ids
            .zip(can_vote)
            .map(|(id, v)| (id, peer(id, *v)))
            .collect();
        let start = |(id, own): (&u64, &Peer)| {
            let bootstrap = Bootstrap::new(Id(*id), own.clone(), named.clone(), false);
            (*id, bootstrap)
        };
        Simulation {
            bootstrap: peers.iter().map(start).collect(),
            groups: BTreeMap::new(),
            now: 0,
            peers,
        }
    }

    /// Sends the group of `from` to `to`.
    fn send_group(&mut self, from: u64, to: u64) {
        let designated = self.bootstrap[&from].designated().cloned();
        let group = self.groups.get(&from).cloned().or(designated);
        let peer = self.peers[&from].clone();
        let receiver = self.bootstrap.get_mut(&to).expect("the process exists");
        receiver.update_peer(Id(from), peer, group);
        self.step(to);
    }

    /// Lets a process decide what is due.
    fn step(&mut self, id: u64) {
        let bootstrap = self.bootstrap.get_mut(&id).expect("the process exists");
        bootstrap.designate();
        if let Some(group) = bootstrap.form(self.now) {
            let before = self.groups.insert(id, group);
            assert_eq!(before, None, "process {id} formed a group twice");
        }
    }

    /// Sends groups between all pairs of processes, often enough for each group to reach all, in an
    /// order that `stride` gives.
    fn send_all(&mut self, stride: usize) {
        let ids: Vec<u64> = self.peers.keys().copied().collect();
        for id in &ids {
            self.step(*id);
        }
        let pairs: Vec<(u64, u64)> = ids
            .iter()
            .flat_map(|a| ids.iter().filter(move |b| *b != a).map(move |b| (*a, *b)))
            .collect();
        for number in 0..pairs.len() * 3 {
            let (from, to) = pairs[number * stride % pairs.len()];
            self.send_group(from, to);
        }
    }
}

/// Which processes can vote, the number of initial voters, and the voters of the resulting group.
/// Without an initial voter that can vote, it is the process whose message reached the first
/// initial voter before those of others; more are added later.
const CASES: [(&[bool], u64, &[u64]); 4] = [
    (&[true, true, true], 3, &[1, 2, 3]),
    (&[true], 1, &[1]),
    (&[true, false, true, true], 3, &[1, 3]),
    (&[false, false, true, true], 3, &[3]),
];

#[test]
fn initial_voters_form_one_group_in_any_order_of_messages() {
    for (can_vote, initial_voters, voters) in CASES {
        for stride in [1, 7, 11, 13, 17, 19, 23] {
            let mut simulation = Simulation::new(can_vote, initial_voters);
            simulation.send_all(stride);
            let expected: Vec<Id> = voters.iter().map(|id| Id(*id)).collect();
            assert!(!simulation.groups.is_empty(), "{can_vote:?}");
            for (id, group) in &simulation.groups {
                let named: Vec<Id> = group.voters.keys().copied().collect();
                assert_eq!(
                    named, expected,
                    "{can_vote:?}: process {id}, stride {stride}"
                );
            }
            let formed: Vec<Id> = simulation.groups.keys().map(|id| Id(*id)).collect();
            assert_eq!(formed, expected, "{can_vote:?}, stride {stride}");
        }
    }
}

#[test]
fn initial_voters_that_are_observers_designate_exactly_one_process() {
    for stride in [1, 7, 11, 13, 17, 19, 23] {
        let mut simulation = Simulation::new(&[false, false, false, true, true, true], 3);
        simulation.send_all(stride);
        assert_eq!(simulation.groups.len(), 1, "stride {stride}");
        let (id, group) = simulation.groups.first_key_value().expect("one group");
        assert!(simulation.peers[id].can_vote, "stride {stride}");
        assert_eq!(group.voters.keys().collect::<Vec<_>>(), [&Id(*id)]);
    }
}

#[test]
fn no_group_forms_before_all_initial_voters_are_connected() {
    let mut simulation = Simulation::new(&[true, false, true], 3);
    simulation.send_group(3, 1);
    assert!(simulation.groups.is_empty());
    simulation.send_group(2, 1);
    assert_eq!(simulation.groups.len(), 1);
}

#[test]
fn no_process_is_designated_while_an_initial_voter_may_be_able_to_vote() {
    let mut simulation = Simulation::new(&[false, true, false, true], 3);
    simulation.send_group(4, 1);
    simulation.send_group(3, 1);
    assert_eq!(simulation.bootstrap[&1].designated(), None);
    simulation.send_group(2, 1);
    assert_eq!(simulation.bootstrap[&1].designated(), None);
}

#[test]
fn an_initial_voter_that_lost_its_disk_waits_until_it_is_added() {
    let mut bootstrap = Bootstrap::new(Id(9), peer(1, true), vec![name(1).into()], false);
    let group = Membership::default().with_voter(Id(1), peer(1, true).member);
    bootstrap.update_peer(Id(2), peer(2, true), Some(group.clone()));
    assert_eq!(bootstrap.form(0), None);
    bootstrap.update_peer(
        Id(2),
        peer(2, true),
        Some(group.with_voter(Id(9), peer(1, true).member)),
    );
    assert!(bootstrap.form(0).is_some());
}

/// The membership with these voters.
fn group(voters: &[u64]) -> Membership {
    let none = Membership::default();
    voters.iter().fold(none, |group, id| {
        group.with_voter(Id(*id), peer(*id, true).member)
    })
}

/// One of so many initial voters that is connected to some of the others, each with whether it can vote.
fn initial_voter(count: u64, id: u64, connected: &[(u64, bool)]) -> Bootstrap {
    let named = (1..=count).map(|id| name(id).into()).collect();
    let mut bootstrap = Bootstrap::new(Id(id), peer(id, true), named, false);
    for (other, can_vote) in connected {
        bootstrap.update_peer(Id(*other), peer(*other, *can_vote), None);
    }
    bootstrap
}

/// Guards against no group at all, since one of the initial voters is gone for good before it has met the others (Acks,
/// review/7), and against one that forms too early or without a majority (ONE).
#[test]
fn the_first_of_those_who_are_here_forms_a_group_without_those_who_stay_away() {
    // Number of initial voters, the one that decides, the connected ones, and the group.
    type Case = (u64, u64, &'static [(u64, bool)], Option<&'static [u64]>);
    let cases: [Case; 10] = [
        (3, 1, &[(2, true)], Some(&[1, 2])),
        (3, 1, &[(3, true)], Some(&[1, 3])),
        (3, 2, &[(3, true)], Some(&[2, 3])),
        (3, 2, &[(1, true)], None),
        (3, 3, &[(2, true)], None),
        (3, 1, &[(2, false)], None),
        (3, 1, &[(4, true), (5, true)], None),
        (2, 1, &[(3, true)], None),
        // Two of these three and two of the other three would be two majorities.
        (5, 1, &[(2, true), (3, true)], None),
        (
            5,
            1,
            &[(2, true), (3, true), (5, true)],
            Some(&[1, 2, 3, 5]),
        ),
    ];
    for (count, id, connected, expected) in cases {
        let mut bootstrap = initial_voter(count, id, connected);
        assert_eq!(bootstrap.form(100), None, "{id} {connected:?}");
        assert_eq!(
            bootstrap.form(99 + FOUNDING_WAIT_MS),
            None,
            "{id} {connected:?}"
        );
        let formed = bootstrap.form(100 + FOUNDING_WAIT_MS);
        assert_eq!(formed, expected.map(group), "{id} {connected:?}");
    }
}

/// Guards against a group of a majority that was connected for moments only, or beside another group.
#[test]
fn a_majority_waits_anew_after_a_break_and_never_beside_a_group() {
    let mut bootstrap = initial_voter(3, 1, &[(2, true)]);
    assert_eq!(bootstrap.form(0), None);
    bootstrap.remove_peer(Id(2));
    assert_eq!(bootstrap.form(FOUNDING_WAIT_MS - 1), None);
    bootstrap.update_peer(Id(2), peer(2, true), None);
    assert_eq!(bootstrap.form(FOUNDING_WAIT_MS), None);
    assert_eq!(bootstrap.form(2 * FOUNDING_WAIT_MS - 1), None);
    bootstrap.update_peer(Id(4), peer(4, true), Some(group(&[2, 3])));
    assert_eq!(bootstrap.form(3 * FOUNDING_WAIT_MS), None);
}

/// Guards against a leader of an initial membership that a majority hasn't adopted, and against a process that takes entries
/// of one group with the membership of another (ONE).
#[test]
fn before_its_first_entry_a_process_has_to_do_with_its_own_initial_membership_only() {
    let last = Position::default();
    let vote = |index| Body::RequestVote {
        last: Position { index, ..last },
        transfer: false,
    };
    let pre_vote = Body::PreVote { last };
    let append = Body::Append {
        prev: last,
        entries: Vec::new(),
        commit: Index(0),
        round: 1,
    };
    let (both, other) = (group(&[1, 2]), group(&[2, 3]));
    let none = Membership::default();
    let (accept, ignore) = (Reception::Accept, Reception::Ignore);
    // Own membership, last index, what the sender reports, the message, and what is done with it.
    let cases = [
        (&both, 0, Some(&both), vote(Index(0)), accept),
        (&both, 0, Some(&other), vote(Index(0)), ignore),
        (&both, 0, Some(&other), pre_vote.clone(), ignore),
        (&both, 0, None, vote(Index(0)), ignore),
        (&none, 0, Some(&other), vote(Index(0)), ignore),
        (&both, 0, Some(&other), vote(Index(1)), accept),
        (&both, 1, Some(&other), vote(Index(0)), accept),
        (&both, 0, Some(&both), append.clone(), accept),
        (
            &both,
            0,
            Some(&other),
            append.clone(),
            Reception::AbandonMembership,
        ),
        (&none, 0, Some(&other), append.clone(), accept),
        (&both, 1, Some(&other), append, accept),
    ];
    for (own, last_index, reported, body, expected) in cases {
        let mut bootstrap = initial_voter(3, 2, &[]);
        bootstrap.update_peer(Id(1), peer(1, true), reported.cloned());
        let term = Term(1);
        let message = Message { term, body };
        let reception = bootstrap.receives(own, Index(last_index), Id(1), &message);
        assert_eq!(
            reception, expected,
            "{own:?} {last_index} {reported:?} {message:?}"
        );
    }
}
