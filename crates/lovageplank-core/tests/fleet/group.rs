//! Growth and repair of the control group.

use lovageplank_core::consensus::{Id, Index, MemberInfo, Membership};
use lovageplank_core::fleet::group::{Change, Reconfigurator, successor};

fn voter(name: &str) -> MemberInfo {
    MemberInfo::new(name, format!("{name}:1"))
}

/// A group of voters 1 to `count`, all connected except 1, the process that decides.
fn group(count: u64) -> (Reconfigurator, Membership) {
    let mut reconfigurator = Reconfigurator::new(0, 1);
    let mut membership = Membership::default();
    for id in 1..=count {
        let voter = voter(&format!("host-{id}"));
        membership = membership.with_voter(Id(id), voter.clone());
        if id > 1 {
            reconfigurator.process_connected(Id(id), voter);
        }
    }
    (reconfigurator, membership)
}

#[test]
fn a_complete_group_is_not_changed() {
    let (reconfigurator, membership) = group(3);
    assert_eq!(reconfigurator.next_change(60_000, Id(1), &membership), None);
}

#[test]
fn a_new_process_is_added_as_a_learner() {
    let (mut reconfigurator, membership) = group(3);
    reconfigurator.process_connected(Id(9), voter("host-9"));
    let change = reconfigurator.next_change(0, Id(1), &membership);
    assert_eq!(change, Some(Change::Learner(Id(9), voter("host-9"))));
    // With enough voters, all of them connected, it stays a learner.
    let membership = membership.with_learner(Id(9), voter("host-9"));
    assert_eq!(reconfigurator.next_change(60_000, Id(1), &membership), None);
}

#[test]
fn a_lost_voter_is_replaced_before_it_is_removed() {
    let (mut reconfigurator, membership) = group(3);
    reconfigurator.process_connected(Id(9), voter("host-9"));
    reconfigurator.process_disconnected(10_000, Id(3));
    let membership = membership.with_learner(Id(9), voter("host-9"));
    assert_eq!(reconfigurator.next_change(10_500, Id(1), &membership), None);
    let change = reconfigurator.next_change(11_500, Id(1), &membership);
    assert_eq!(change, Some(Change::Promote(Id(9))));
    let membership = membership.with_voter(Id(9), voter("host-9"));
    let change = reconfigurator.next_change(11_600, Id(1), &membership);
    assert_eq!(change, Some(Change::Remove(Id(3))));
}

#[test]
fn a_lost_voter_stays_while_no_process_can_replace_it() {
    let (mut reconfigurator, membership) = group(3);
    reconfigurator.process_disconnected(0, Id(3));
    assert_eq!(
        reconfigurator.next_change(600_000, Id(1), &membership),
        None
    );
}

#[test]
fn an_instance_that_lost_its_disk_replaces_its_old_identity_at_once() {
    let (mut reconfigurator, membership) = group(3);
    reconfigurator.process_disconnected(10_000, Id(3));
    reconfigurator.process_connected(Id(33), voter("host-3"));
    let change = reconfigurator.next_change(10_100, Id(1), &membership);
    assert_eq!(change, Some(Change::Learner(Id(33), voter("host-3"))));
    let membership = membership.with_learner(Id(33), voter("host-3"));
    let change = reconfigurator.next_change(10_200, Id(1), &membership);
    assert_eq!(change, Some(Change::Promote(Id(33))));
    let membership = membership.with_voter(Id(33), voter("host-3"));
    let change = reconfigurator.next_change(10_300, Id(1), &membership);
    assert_eq!(change, Some(Change::Remove(Id(3))));
}

#[test]
fn a_superseded_voter_is_removed_before_a_disconnected_one() {
    let (mut reconfigurator, membership) = group(4);
    reconfigurator.process_disconnected(0, Id(2));
    reconfigurator.process_disconnected(9_000, Id(3));
    reconfigurator.process_connected(Id(33), voter("host-3"));
    let membership = membership.with_voter(Id(33), voter("host-3"));
    let change = reconfigurator.next_change(10_000, Id(1), &membership);
    assert_eq!(change, Some(Change::Remove(Id(3))));
}

#[test]
fn a_small_group_grows_to_tolerate_the_failures() {
    let mut reconfigurator = Reconfigurator::new(0, 2);
    let mut membership = Membership::default().with_voter(Id(1), voter("host-1"));
    for id in 2..=6 {
        let member = voter(&format!("host-{id}"));
        reconfigurator.process_connected(Id(id), member.clone());
        membership = membership.with_learner(Id(id), member);
    }
    let mut promoted = 0;
    while let Some(change) = reconfigurator.next_change(0, Id(1), &membership) {
        let Change::Promote(id) = change else {
            panic!("expected a promotion: {change:?}");
        };
        let member = membership.learners[&id].clone();
        membership = membership.with_voter(id, member);
        promoted += 1;
    }
    assert_eq!(promoted, 4);
    assert_eq!(membership.voters.len(), 5);
}

#[test]
fn the_leader_never_removes_itself() {
    let (reconfigurator, membership) = group(4);
    let change = reconfigurator.next_change(0, Id(1), &membership);
    assert_eq!(change, Some(Change::Remove(Id(4))));
    let (reconfigurator, membership) = group(4);
    assert_ne!(
        reconfigurator.next_change(0, Id(4), &membership),
        Some(Change::Remove(Id(4)))
    );
}

#[test]
fn a_learner_that_stays_disconnected_is_removed() {
    let (mut reconfigurator, membership) = group(3);
    let membership = membership.with_learner(Id(9), voter("host-9"));
    reconfigurator.process_disconnected(1_000, Id(9));
    assert_eq!(reconfigurator.next_change(5_000, Id(1), &membership), None);
    let change = reconfigurator.next_change(12_000, Id(1), &membership);
    assert_eq!(change, Some(Change::Remove(Id(9))));
}

/// Each change of the leader costs a wait. When instances are stopped and started in turn, the
/// leader therefore hands over to one that has been restarted already.
#[test]
fn a_leader_hands_over_to_the_voter_that_was_restarted_last() {
    let next = |voters: &[(u64, u64, u64)]| {
        let voters = voters.iter();
        let voters = voters.map(|(id, matched, connected)| (Id(*id), Index(*matched), *connected));
        successor(voters, Index(20)).map(|id| id.0)
    };
    assert_eq!(next(&[(1, 20, 5), (2, 20, 9), (3, 20, 7)]), Some(2));
    // A voter that lacks log entries is selected only if all do.
    assert_eq!(next(&[(1, 20, 5), (2, 19, 9)]), Some(1));
    assert_eq!(next(&[(1, 12, 5), (2, 19, 1)]), Some(2));
    assert_eq!(next(&[]), None);
}

#[test]
fn an_observer_becomes_a_learner_and_is_never_promoted() {
    let (mut reconfigurator, membership) = group(2);
    reconfigurator.process_connected(Id(9), voter("host-9"));
    reconfigurator.mark_observer(Id(9));
    let change = reconfigurator.next_change(0, Id(1), &membership);
    assert_eq!(change, Some(Change::Learner(Id(9), voter("host-9"))));
    // It is promoted neither to grow the group nor to replace a lost voter.
    let mut membership = membership.with_learner(Id(9), voter("host-9"));
    assert_eq!(reconfigurator.next_change(10, Id(1), &membership), None);
    reconfigurator.process_disconnected(10, Id(2));
    assert_eq!(
        reconfigurator.next_change(600_000, Id(1), &membership),
        None
    );
    // A process that stores its state is promoted instead, whatever its number.
    reconfigurator.process_connected(Id(10), voter("host-10"));
    membership = membership.with_learner(Id(10), voter("host-10"));
    let change = reconfigurator.next_change(600_000, Id(1), &membership);
    assert_eq!(change, Some(Change::Promote(Id(10))));
}

#[test]
fn the_old_identity_of_a_restarted_observer_is_removed() {
    let (mut reconfigurator, membership) = group(3);
    let membership = membership.with_learner(Id(9), voter("host-9"));
    reconfigurator.process_disconnected(0, Id(9));
    reconfigurator.process_connected(Id(10), voter("host-9"));
    reconfigurator.mark_observer(Id(10));
    let change = reconfigurator.next_change(1, Id(1), &membership);
    assert_eq!(change, Some(Change::Remove(Id(9))));
}
