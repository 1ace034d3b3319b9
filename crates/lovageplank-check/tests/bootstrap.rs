//! The search finds each injected fault of the bootstrap, and no violation without one.

use lovageplank_check::Search;
use lovageplank_check::bootstrap::{BootstrapModel, Mutant};

/// For each process, whether it may vote; the number of initial voters; the numbers of restarts and of waits.
const CASES: [(&[bool], usize, u32, u32); 7] = [
    (&[true, true], 2, 2, 1),
    (&[true, true, true], 3, 1, 0),
    (&[true, true, true], 3, 0, 3),
    (&[true, false, true], 3, 0, 2),
    (&[true, false, true], 2, 1, 1),
    (&[false, true, true], 1, 1, 1),
    (&[false, false, true], 2, 1, 1),
];

#[test]
fn at_most_one_group_forms() {
    for (can_vote, initial_voters, restarts, waits) in CASES {
        let model = BootstrapModel::new(can_vote, initial_voters, restarts).waits(waits);
        let report = Search::new().run(&model);
        println!("{can_vote:?} {initial_voters} {restarts} {waits}: {report}");
        assert!(report.violation.is_none(), "{can_vote:?}: {report}");
        assert!(report.is_complete, "{can_vote:?}: {report}");
    }
}

#[test]
fn each_mutant_is_found() {
    let cases: [(Mutant, &[bool], usize); 2] = [
        (Mutant::FoundersAfterRestart, &[false, true, true], 1),
        (Mutant::NewIdentity, &[true, true, true], 3),
    ];
    for (mutant, can_vote, initial_voters) in cases {
        let model = BootstrapModel::new(can_vote, initial_voters, 1).mutant(Some(mutant));
        let violation = Search::new().run(&model).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not found"));
        assert!(
            violation.invariant.starts_with("one group"),
            "{violation:?}"
        );
    }
}
