//! The checker finds each seeded fault around the settings, and none in them as they are.

use lovageplank_check::Search;
use lovageplank_check::settings::{Budget, Mutant, SettingsModel};

/// Two operators with one change each, every message and restart that may come between.
const ONE_DRAFT: Budget = Budget {
    drafts: 1,
    lost_answers: 1,
    repeats: 1,
    snapshots: 1,
    restores: 1,
};

/// Two changes of each operator, with a restart.
const TWO_DRAFTS: Budget = Budget {
    drafts: 2,
    lost_answers: 0,
    repeats: 0,
    snapshots: 1,
    restores: 1,
};

#[test]
fn settings_invariants_hold() {
    for budget in [ONE_DRAFT, TWO_DRAFTS] {
        let report = Search::new().run(&SettingsModel::new(budget));
        assert!(report.violation.is_none(), "{budget:?}\n{report}");
        assert!(report.is_complete, "{budget:?}\n{report}");
    }
}

#[test]
fn each_mutant_is_found() {
    let cases = [
        (Mutant::ResendFreshId, "a change applies at most once"),
        (Mutant::RestoreOlder, "the version never goes back"),
        (Mutant::BlindBase, "no two accepted changes share a base"),
        (
            Mutant::TornRead,
            "an accepted change stays until a later one overrides it",
        ),
        (Mutant::AnswerLatest, "a resend gets the first answer"),
        (Mutant::ReplayTwice, "a restart changes nothing"),
        (Mutant::TornSnapshot, "a snapshot can be read"),
    ];
    assert_eq!(cases.map(|c| c.0), Mutant::NAMED.map(|m| m.1));
    for (mutant, invariant) in cases {
        // Two changes, so that the version in force may differ from the first answer's.
        let budget = Budget {
            drafts: 2,
            ..ONE_DRAFT
        };
        let report = Search::new().run(&SettingsModel::new(budget).mutant(mutant));
        let violated = report.violation.as_ref().map(|v| v.invariant.as_str());
        assert_eq!(violated, Some(invariant), "{mutant:?}: {report}");
    }
}
