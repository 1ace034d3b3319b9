//! The checker finds each seeded fault, and none in the protocol as it is.

use lovageplank_check::group::{Budget, Group};
use lovageplank_check::{Report, Search};
use lovageplank_core::consensus::{Entry, Id, Index, Mutant, Payload, Stored, Term, Vote};

/// A fault, the budget that suffices to show it, and the invariant that it breaks.
struct Case {
    mutant: Mutant,
    group: Group,
    invariant: &'static str,
}

const ELECTIONS: Budget = Budget {
    timeouts: 2,
    proposals: 0,
    crashes: 0,
    duplicates: 0,
    snapshots: 0,
};

const CRASH: Budget = Budget {
    crashes: 1,
    ..ELECTIONS
};

const LATE_MESSAGES: Budget = Budget {
    timeouts: 1,
    proposals: 1,
    duplicates: 1,
    ..ELECTIONS
};

const SNAPSHOTS: Budget = Budget {
    timeouts: 2,
    snapshots: 1,
    ..ELECTIONS
};

/// Two leaders have each left an entry at the first index, and the third node has neither.
fn divided() -> Group {
    let group = Group::new(ELECTIONS);
    let membership = group.membership();
    let disk = |vote: (u64, Option<u64>), entry: Option<u64>| Stored {
        vote: Vote {
            term: Term(vote.0),
            voted_for: vote.1.map(Id),
        },
        snapshot: None,
        entries: entry
            .map(|term| Entry {
                term: Term(term),
                index: Index(1),
                payload: Payload::Voters(membership.clone()),
            })
            .into_iter()
            .collect(),
    };
    group
        .disk(Id(1), disk((2, None), Some(1)))
        .disk(Id(2), disk((2, Some(2)), Some(2)))
        .disk(Id(3), disk((2, Some(2)), None))
}

fn cases() -> [Case; 5] {
    let lost = "a committed entry is on no quorum of disks";
    [
        Case {
            mutant: Mutant::VoteNotDurable,
            group: Group::new(CRASH),
            invariant: "two leaders in one term",
        },
        Case {
            mutant: Mutant::VoteForStaleLog,
            group: Group::new(ELECTIONS),
            invariant: "a leader lacks a committed entry",
        },
        Case {
            mutant: Mutant::CommitEarlierTerm,
            group: divided(),
            invariant: "a leader lacks a committed entry",
        },
        Case {
            mutant: Mutant::CommitWithoutQuorum,
            group: Group::new(ELECTIONS),
            invariant: lost,
        },
        Case {
            mutant: Mutant::TruncateCommitted,
            group: Group::new(LATE_MESSAGES),
            invariant: lost,
        },
    ]
}

fn explore(group: &Group) -> Report<lovageplank_check::group::Action> {
    Search::new().run(group)
}

#[test]
fn each_seeded_fault_is_found() {
    for case in cases() {
        let report = explore(&case.group.mutant(case.mutant));
        println!("{:?}: {report}", case.mutant);
        let violation = report.violation.expect("the fault is found");
        assert_eq!(violation.invariant, case.invariant, "{:?}", case.mutant);
    }
}

#[test]
fn the_protocol_has_none_of_the_faults() {
    for case in cases() {
        let report = explore(&case.group);
        println!("without {:?}: {report}", case.mutant);
        assert!(report.violation.is_none(), "{report}");
        assert!(report.is_complete, "{report}");
    }
}

#[test]
fn snapshots_break_nothing() {
    let report = explore(&Group::new(SNAPSHOTS));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}

#[test]
fn pre_votes_break_nothing() {
    let report = explore(&Group::new(ELECTIONS).pre_vote(true));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}
