//! How the first voters become a group.

use lovageplank_core::consensus::{Id, MemberInfo, Membership};
use lovageplank_core::fleet::founding::{Founding, Peer};
use std::collections::BTreeMap;

/// A set of processes, by number, that are told of each other's groups.
struct World {
    peers: BTreeMap<u64, Peer>,
    founding: BTreeMap<u64, Founding>,
    groups: BTreeMap<u64, Membership>,
}

fn name(id: u64) -> String {
    format!("host-{id}")
}

fn peer(id: u64, may_vote: bool) -> Peer {
    let voter = MemberInfo::new(name(id), format!("{}:1", name(id)));
    Peer {
        voter,
        votes: may_vote,
    }
}

impl World {
    /// Processes that may vote or not, of which the first `founders` are to found the group.
    fn new(votes: &[bool], founders: u64) -> World {
        let named: Vec<_> = (1..=founders).map(|id| name(id).into()).collect();
        let ids = 1..=u64::try_from(votes.len()).expect("few");
        let peers: BTreeMap<u64, Peer> = ids.zip(votes).map(|(id, v)| (id, peer(id, *v))).collect();
        let start = |(id, own): (&u64, &Peer)| {
            let founding = Founding::new(Id(*id), own.clone(), named.clone(), false);
            (*id, founding)
        };
        World {
            founding: peers.iter().map(start).collect(),
            groups: BTreeMap::new(),
            peers,
        }
    }

    /// `to` hears from `from` what group it is in.
    fn meet(&mut self, from: u64, to: u64) {
        let appointed = self.founding[&from].appointed().cloned();
        let group = self.groups.get(&from).cloned().or(appointed);
        let peer = self.peers[&from].clone();
        let hears = self.founding.get_mut(&to).expect("it exists");
        hears.learn(Id(from), peer, group);
        self.turn(to);
    }

    /// A process does what is due.
    fn turn(&mut self, id: u64) {
        let founding = self.founding.get_mut(&id).expect("it exists");
        founding.appoint();
        if let Some(group) = founding.form() {
            let before = self.groups.insert(id, group);
            assert_eq!(before, None, "{id} forms twice");
        }
    }

    /// All pairs meet, often enough for news to get around, in an order that `stride` gives.
    fn all_meet(&mut self, stride: usize) {
        let ids: Vec<u64> = self.peers.keys().copied().collect();
        for id in &ids {
            self.turn(*id);
        }
        let pairs: Vec<(u64, u64)> = ids
            .iter()
            .flat_map(|a| ids.iter().filter(move |b| *b != a).map(move |b| (*a, *b)))
            .collect();
        for number in 0..pairs.len() * 3 {
            let (from, to) = pairs[number * stride % pairs.len()];
            self.meet(from, to);
        }
    }
}

/// Who may vote, how many found, and the voters that come out; without a founder that may vote it
/// is whichever met the first founder before others did, and more are added later.
const CASES: [(&[bool], u64, &[u64]); 4] = [
    (&[true, true, true], 3, &[1, 2, 3]),
    (&[true], 1, &[1]),
    (&[true, false, true, true], 3, &[1, 3]),
    (&[false, false, true, true], 3, &[3]),
];

#[test]
fn founders_agree_on_one_group_in_whatever_order_they_meet() {
    for (votes, founders, voters) in CASES {
        for stride in [1, 7, 11, 13, 17, 19, 23] {
            let mut world = World::new(votes, founders);
            world.all_meet(stride);
            let expected: Vec<Id> = voters.iter().map(|id| Id(*id)).collect();
            assert!(!world.groups.is_empty(), "{votes:?}");
            for (id, group) in &world.groups {
                let named: Vec<Id> = group.voters.keys().copied().collect();
                assert_eq!(named, expected, "{votes:?}: process {id}, stride {stride}");
            }
            let formed: Vec<Id> = world.groups.keys().map(|id| Id(*id)).collect();
            assert_eq!(formed, expected, "{votes:?}, stride {stride}");
        }
    }
}

#[test]
fn observers_that_found_appoint_one_process_and_only_one() {
    for stride in [1, 7, 11, 13, 17, 19, 23] {
        let mut world = World::new(&[false, false, false, true, true, true], 3);
        world.all_meet(stride);
        assert_eq!(world.groups.len(), 1, "stride {stride}");
        let (id, group) = world.groups.first_key_value().expect("one");
        assert!(world.peers[id].votes, "stride {stride}");
        assert_eq!(group.voters.keys().collect::<Vec<_>>(), [&Id(*id)]);
    }
}

#[test]
fn nobody_founds_before_all_founders_are_here() {
    let mut world = World::new(&[true, false, true], 3);
    world.meet(3, 1);
    assert!(world.groups.is_empty());
    world.meet(2, 1);
    assert_eq!(world.groups.len(), 1);
}

#[test]
fn nobody_is_appointed_while_a_founder_may_turn_out_to_vote() {
    let mut world = World::new(&[false, true, false, true], 3);
    world.meet(4, 1);
    world.meet(3, 1);
    assert_eq!(world.founding[&1].appointed(), None);
    world.meet(2, 1);
    assert_eq!(world.founding[&1].appointed(), None);
}

#[test]
fn a_founder_that_lost_its_disk_waits_until_it_is_added() {
    let mut founding = Founding::new(Id(9), peer(1, true), vec![name(1).into()], false);
    let group = Membership::default().with_voter(Id(1), peer(1, true).voter);
    founding.learn(Id(2), peer(2, true), Some(group.clone()));
    assert_eq!(founding.form(), None);
    founding.learn(
        Id(2),
        peer(2, true),
        Some(group.with_voter(Id(9), peer(1, true).voter)),
    );
    assert!(founding.form().is_some());
}
