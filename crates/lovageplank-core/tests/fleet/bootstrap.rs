//! Formation of the control group by the initial voters.

use lovageplank_core::consensus::{Id, MemberInfo, Membership};
use lovageplank_core::fleet::bootstrap::{Bootstrap, Peer};
use std::collections::BTreeMap;

/// Processes, by number, that send each other their groups.
struct Simulation {
    peers: BTreeMap<u64, Peer>,
    bootstrap: BTreeMap<u64, Bootstrap>,
    groups: BTreeMap<u64, Membership>,
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
        if let Some(group) = bootstrap.form() {
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
    assert_eq!(bootstrap.form(), None);
    bootstrap.update_peer(
        Id(2),
        peer(2, true),
        Some(group.with_voter(Id(9), peer(1, true).member)),
    );
    assert!(bootstrap.form().is_some());
}
