//! The search finds each injected fault of the settings' driver, and no violation without one.

use lovageplank_check::Search;
use lovageplank_check::settings::{Budget, Mutant, SettingsModel};

/// One change of each operator, with a lost answer, a repeated change, a snapshot and a restart.
const ONE_DRAFT: Budget = Budget {
    drafts: 1,
    lost_answers: 1,
    repeats: 1,
    snapshots: 1,
    restores: 1,
};

/// Two changes of each operator, with a snapshot and a restart.
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
        // With two changes, the version in force may differ from the version in the first answer.
        let budget = Budget {
            drafts: 2,
            ..ONE_DRAFT
        };
        let report = Search::new().run(&SettingsModel::new(budget).mutant(mutant));
        let violated = report.violation.as_ref().map(|v| v.invariant.as_str());
        assert_eq!(violated, Some(invariant), "{mutant:?}: {report}");
    }
}
