//! The search finds each injected fault of the ledger's driver, and no violation without one.

use lovageplank_check::Search;
use lovageplank_check::ledger::{Budget, LedgerModel, Mutant};

/// A fault, a model in which the search finds it, and the invariant that it violates.
struct Case {
    mutant: Mutant,
    model: LedgerModel,
    invariant: &'static str,
}

const TWO_LOADS: Budget = Budget {
    models: 1,
    loads: 2,
    unloads: 0,
    resends: 0,
    asks: 0,
    pushes: 0,
    crashes: 0,
    depositions: 0,
    raises: 0,
    not_sent: 0,
    refusals: 0,
};

/// Loads of two models and an unload, which may be resent, lost or provably not sent.
const COMMANDS: Budget = Budget {
    models: 2,
    unloads: 1,
    resends: 1,
    not_sent: 1,
    ..TWO_LOADS
};

/// Commands with a resend and a requested report.
const RESENDS: Budget = Budget {
    unloads: 1,
    resends: 1,
    asks: 1,
    ..TWO_LOADS
};

/// A load and an unload that take time to complete, with a requested and a pushed report.
const REPORTS: Budget = Budget {
    loads: 1,
    unloads: 1,
    asks: 1,
    pushes: 1,
    ..TWO_LOADS
};

/// A change of leader, with the crash of an engine and an increase of the replica limit.
const LEADER_CHANGE_AND_LIMIT: Budget = Budget {
    models: 2,
    crashes: 1,
    depositions: 1,
    raises: 1,
    ..TWO_LOADS
};

/// A change of leader while commands are in flight, which the new leader may resend, and a crash.
const LEADER_CHANGE_AND_RESEND: Budget = Budget {
    resends: 1,
    crashes: 1,
    depositions: 1,
    ..TWO_LOADS
};

/// An engine that refuses one send, with a resend, an unload and a second load.
const REFUSALS: Budget = Budget {
    unloads: 1,
    resends: 1,
    not_sent: 1,
    refusals: 1,
    ..TWO_LOADS
};

/// A crash while a report of the earlier incarnation is in flight.
const CRASHES: Budget = Budget {
    unloads: 1,
    asks: 1,
    crashes: 1,
    ..TWO_LOADS
};

const DECIDED: &str = "an engine holds only what was decided";
const LIMIT: &str = "loaded and executable loads are within the limit";
const MEMORY: &str = "loaded and executable loads fit into memory";
const LEDGER_CHECK: &str = "the ledger's own invariants hold";
const READY_REPLICA: &str = "a ready replica is not cut off";

#[test]
fn ledger_invariants_hold() {
    let models = [
        LedgerModel::new(COMMANDS).completes_immediately(true),
        LedgerModel::new(RESENDS).completes_immediately(true),
        LedgerModel::new(REPORTS),
        LedgerModel::new(LEADER_CHANGE_AND_LIMIT),
        LedgerModel::new(LEADER_CHANGE_AND_RESEND),
        LedgerModel::new(REFUSALS).completes_immediately(true),
        LedgerModel::new(CRASHES).completes_immediately(true),
    ];
    for model in models {
        let report = Search::new().run(&model);
        assert!(report.violation.is_none(), "{model:?}\n{report}");
        assert!(report.is_complete, "{model:?}\n{report}");
    }
}

/// One of two sends of a load is refused, and the other is executed between a report and the
/// unload.
#[test]
fn invariants_hold_when_one_send_is_refused() {
    let budget = Budget {
        loads: 1,
        refusals: 1,
        ..RESENDS
    };
    let report = Search::new().run(&LedgerModel::new(budget));
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}

#[test]
fn each_mutant_is_found() {
    let cases = [
        (Mutant::SendBeforeCommit, COMMANDS, MEMORY),
        (Mutant::SendBeforeCommit, TWO_LOADS, LIMIT),
        (Mutant::ForgetUnresolved, LEADER_CHANGE_AND_LIMIT, MEMORY),
        (Mutant::ForgetUnresolved, LEADER_CHANGE_AND_RESEND, LIMIT),
        (Mutant::PushedReportIsProof, REPORTS, DECIDED),
        (Mutant::ReuseBeforeProof, REPORTS, DECIDED),
        (Mutant::AnyIncarnation, LEADER_CHANGE_AND_RESEND, DECIDED),
        (Mutant::ResendUncommitted, RESENDS, DECIDED),
        (Mutant::RepeatLoad, RESENDS, DECIDED),
        (Mutant::ReuseIndex, LEADER_CHANGE_AND_LIMIT, LEDGER_CHECK),
        (Mutant::RepeatUnload, RESENDS, READY_REPLICA),
    ];
    let untested = |m: &Mutant| cases.iter().all(|c| c.0 != *m);
    assert!(!Mutant::NAMED.iter().any(|(_, m)| untested(m)));
    for (mutant, budget, invariant) in cases {
        let model = LedgerModel::new(budget).completes_immediately(budget == RESENDS);
        Case {
            mutant,
            model,
            invariant,
        }
        .run();
    }
}

#[test]
fn each_mutant_has_a_name() {
    let names: Vec<String> = Mutant::NAMED.iter().map(|(_, m)| kebab_case(*m)).collect();
    assert_eq!(names, Mutant::NAMED.map(|(name, _)| name));
}

impl Case {
    fn run(self) {
        let report = Search::new().run(&self.model.mutant(self.mutant));
        let violated = report.violation.as_ref().map(|v| v.invariant.as_str());
        let violated = violated.unwrap_or_default();
        assert!(
            violated.starts_with(self.invariant),
            "{:?}: {report}",
            self.mutant
        );
    }
}

fn kebab_case(mutant: Mutant) -> String {
    let mut name = String::new();
    for character in format!("{mutant:?}").chars() {
        if character.is_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.push(character.to_ascii_lowercase());
    }
    name
}
