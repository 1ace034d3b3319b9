//! The checker finds each seeded fault, and none in the protocol as it is.

use lovageplank_check::Search;
use lovageplank_check::group::{Budget, Group};
use lovageplank_core::consensus::{Entry, Id, Index, Mutant, Payload, StoredState, Term, Vote};

/// A fault, a group that suffices to show it, and the invariant that it breaks.
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
    reads: 0,
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

const READS: Budget = Budget {
    reads: 1,
    ..ELECTIONS
};

/// Actions until a stale read shows the fault of [`read_case`].
const READ_DEPTH: usize = 12;

/// Two leaders have each left an entry at the first index, and the third node has neither.
fn divided() -> Group {
    let group = Group::new(ELECTIONS);
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

fn read_case() -> Case {
    Case {
        mutant: Mutant::ReadWithoutQuorum,
        group: Group::new(READS),
        invariant: "a read misses what was committed before it",
    }
}

#[test]
fn each_seeded_fault_is_found() {
    for case in cases().into_iter().chain([read_case()]) {
        let report = Search::new().run(&case.group.mutant(case.mutant));
        println!("{:?}: {report}", case.mutant);
        let violation = report.violation.expect("the fault is found");
        assert_eq!(violation.invariant, case.invariant, "{:?}", case.mutant);
    }
}

#[test]
fn the_protocol_has_none_of_the_faults() {
    for case in cases() {
        let report = Search::new().run(&case.group);
        println!("without {:?}: {report}", case.mutant);
        assert!(report.violation.is_none(), "{report}");
        assert!(report.is_complete, "{report}");
    }
}

/// Explored as deep as the fault needs; the whole takes the binary with `--reads 1`.
#[test]
fn reads_miss_nothing() {
    let report = Search::new().max_depth(READ_DEPTH).run(&read_case().group);
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert_eq!(report.depth, READ_DEPTH, "{report}");
}

#[test]
fn snapshots_break_nothing() {
    let report = Search::new().run(&Group::new(SNAPSHOTS));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}

#[test]
fn pre_votes_break_nothing() {
    let report = Search::new().run(&Group::new(ELECTIONS).pre_vote(true));
    println!("{report}");
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}
