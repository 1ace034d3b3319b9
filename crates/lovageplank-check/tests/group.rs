//! The search finds each injected fault of the consensus nodes, and no violation without one.

use lovageplank_check::Search;
use lovageplank_check::group::{Budget, GroupModel};
use lovageplank_core::consensus::{Entry, Id, Index, Mutant, Payload, StoredState, Term, Vote};

/// A fault, a model in which the search finds it, and the invariant that it violates.
struct Case {
    mutant: Mutant,
    model: GroupModel,
    invariant: &'static str,
}

const ELECTIONS: Budget = Budget {
    timeouts: 2,
    proposals: 0,
    crashes: 0,
    duplicates: 0,
    snapshots: 0,
    reads: 0,
};

const CRASH: Budget = Budget {
    crashes: 1,
    ..ELECTIONS
};

const DUPLICATED_MESSAGE: Budget = Budget {
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

const READS: Budget = Budget {
    reads: 1,
    ..ELECTIONS
};

/// Number of actions after which the fault of [`read_case`] leads to a stale read.
const STALE_READ_DEPTH: usize = 12;

/// Nodes 1 and 2 led terms 1 and 2, and each stored an entry at index 1 on its own disk only. The
/// third node has neither entry.
fn conflicting_logs() -> GroupModel {
    let group = GroupModel::new(ELECTIONS);
    let membership = group.membership();
    let disk = |vote: (u64, Option<u64>), entry: Option<u64>| StoredState {
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
    let not_durable = "a committed entry is on no quorum of disks";
    [
        Case {
            mutant: Mutant::VoteNotDurable,
            model: GroupModel::new(CRASH),
            invariant: "two leaders in one term",
        },
        Case {
            mutant: Mutant::VoteForStaleLog,
            model: GroupModel::new(ELECTIONS),
            invariant: "a leader lacks a committed entry",
        },
        Case {
            mutant: Mutant::CommitEarlierTerm,
            model: conflicting_logs(),
            invariant: "a leader lacks a committed entry",
        },
        Case {
            mutant: Mutant::CommitWithoutQuorum,
            model: GroupModel::new(ELECTIONS),
            invariant: not_durable,
        },
        Case {
            mutant: Mutant::TruncateCommitted,
            model: GroupModel::new(DUPLICATED_MESSAGE),
            invariant: not_durable,
        },
    ]
}

fn read_case() -> Case {
    Case {
        mutant: Mutant::ReadWithoutQuorum,
        model: GroupModel::new(READS),
        invariant: "a read misses what was committed before it",
    }
}

#[test]
fn each_mutant_is_found() {
    for case in cases().into_iter().chain([read_case()]) {
        let report = Search::new().run(&case.model.mutant(case.mutant));
        println!("{:?}: {report}", case.mutant);
        let violation = report
            .violation
            .expect("the search must find the injected fault");
        assert_eq!(violation.invariant, case.invariant, "{:?}", case.mutant);
    }
}

#[test]
fn invariants_hold_without_mutant() {
    for case in cases() {
        let report = Search::new().run(&case.model);
        println!("without {:?}: {report}", case.mutant);
        assert!(report.violation.is_none(), "{report}");
        assert!(report.is_complete, "{report}");
    }
}

/// Searches only as deep as the fault needs. The binary with `--reads 1` searches without this
/// limit.
#[test]
fn reads_include_earlier_commits() {
    let report = Search::new()
        .max_depth(STALE_READ_DEPTH)
        .run(&read_case().model);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert_eq!(report.depth, STALE_READ_DEPTH, "{report}");
}

#[test]
fn invariants_hold_with_snapshot() {
    let report = Search::new().run(&GroupModel::new(SNAPSHOTS));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}

#[test]
fn invariants_hold_with_pre_vote() {
    let report = Search::new().run(&GroupModel::new(ELECTIONS).pre_vote(true));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}
