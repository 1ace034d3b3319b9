//! The checker finds each seeded fault of founding, and none in founding as it is.

use lovageplank_check::Search;
use lovageplank_check::founding::{Founders, Mutant};

/// Processes that may vote or not, how many found, and restarts.
const WORLDS: [(&[bool], usize, u32); 5] = [
    (&[true, true], 2, 2),
    (&[true, true, true], 3, 1),
    (&[true, false, true], 2, 1),
    (&[false, true, true], 1, 1),
    (&[false, false, true], 2, 1),
];

#[test]
fn one_group_is_founded_whatever_the_order() {
    for (votes, founders, restarts) in WORLDS {
        let report = Search::new().run(&Founders::new(votes, founders, restarts));
        println!("{votes:?} {founders} {restarts}: {report}");
        assert!(report.violation.is_none(), "{votes:?}: {report}");
        assert!(report.is_complete, "{votes:?}: {report}");
    }
}

#[test]
fn each_mutant_is_found() {
    let cases: [(Mutant, &[bool], usize); 2] = [
        (Mutant::FoundersAfterRestart, &[false, true, true], 1),
        (Mutant::NewIdentity, &[true, true, true], 3),
    ];
    for (mutant, votes, founders) in cases {
        let world = Founders::new(votes, founders, 1).mutant(Some(mutant));
        let violation = Search::new().run(&world).violation;
        let violation = violation.unwrap_or_else(|| panic!("{mutant:?} is not found"));
        assert!(
            violation.invariant.starts_with("one group"),
            "{violation:?}"
        );
    }
}
