//! The checker finds each seeded fault, and none in the protocol as it is.

use lovageplank_check::Search;
use lovageplank_check::group::{Budget, Group};
use lovageplank_core::consensus::{Entry, Id, Index, Mutant, Payload, Stored, Term, Vote};

/// A fault, a group that suffices to show it, and the invariant that it breaks.
struct Case {
    mutant: Mutant,
    group: Group,
    /// The search ends at this depth where the whole would take too long; the binary explores
    /// the whole.
    max_depth: Option<usize>,
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

fn cases() -> [Case; 6] {
    let lost = "a committed entry is on no quorum of disks";
    [
        Case {
            mutant: Mutant::VoteNotDurable,
            group: Group::new(CRASH),
            max_depth: None,
            invariant: "two leaders in one term",
        },
        Case {
            mutant: Mutant::VoteForStaleLog,
            group: Group::new(ELECTIONS),
            max_depth: None,
            invariant: "a leader lacks a committed entry",
        },
        Case {
            mutant: Mutant::CommitEarlierTerm,
            group: divided(),
            max_depth: None,
            invariant: "a leader lacks a committed entry",
        },
        Case {
            mutant: Mutant::CommitWithoutQuorum,
            group: Group::new(ELECTIONS),
            max_depth: None,
            invariant: lost,
        },
        Case {
            mutant: Mutant::TruncateCommitted,
            group: Group::new(LATE_MESSAGES),
            max_depth: None,
            invariant: lost,
        },
        Case {
            mutant: Mutant::ReadWithoutQuorum,
            group: Group::new(READS),
            max_depth: Some(12),
            invariant: "a read misses what was committed before it",
        },
    ]
}

impl Case {
    fn search(&self) -> Search {
        let search = Search::new();
        match self.max_depth {
            Some(depth) => search.max_depth(depth),
            None => search,
        }
    }
}

#[test]
fn each_seeded_fault_is_found() {
    for case in cases() {
        let report = case.search().run(&case.group.clone().mutant(case.mutant));
        println!("{:?}: {report}", case.mutant);
        let violation = report.violation.expect("the fault is found");
        assert_eq!(violation.invariant, case.invariant, "{:?}", case.mutant);
    }
}

#[test]
fn the_protocol_has_none_of_the_faults() {
    for case in cases() {
        let report = case.search().run(&case.group);
        println!("without {:?}: {report}", case.mutant);
        assert!(report.violation.is_none(), "{report}");
        let deep = case.max_depth == Some(report.depth);
        assert!(report.is_complete || deep, "{report}");
    }
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
