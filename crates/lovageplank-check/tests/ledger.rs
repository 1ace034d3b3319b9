//! The checker finds each seeded fault of the ledger's driver, and none in the ledger as it is.

use lovageplank_check::Search;
use lovageplank_check::ledger::{Budget, Mutant, World};

/// A fault, the world that suffices to show it, and the invariant that it breaks.
struct Case {
    mutant: Mutant,
    world: World,
    invariant: &'static str,
}

const NONE: Budget = Budget {
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

/// Commands for two models, sent again, lost or taken back, with an unload between loads.
const COMMANDS: Budget = Budget {
    models: 2,
    unloads: 1,
    resends: 1,
    not_sent: 1,
    ..NONE
};

/// Commands sent again, with reports asked for.
const RESENDS: Budget = Budget {
    unloads: 1,
    resends: 1,
    asks: 1,
    ..NONE
};

/// Reports, asked for and pushed, of loads that take their time.
const REPORTS: Budget = Budget {
    loads: 1,
    unloads: 1,
    asks: 1,
    pushes: 1,
    ..NONE
};

/// Changes of leader, with an engine's crash and a raised limit.
const CHANGES: Budget = Budget {
    models: 2,
    crashes: 1,
    depositions: 1,
    raises: 1,
    ..NONE
};

/// Changes of leader with commands under way that the next one sends again.
const SUCCESSION: Budget = Budget {
    resends: 1,
    crashes: 1,
    depositions: 1,
    ..NONE
};

/// An engine that refuses one send, with a resend and a second load.
const REFUSALS: Budget = Budget {
    unloads: 1,
    resends: 1,
    not_sent: 1,
    refusals: 1,
    ..NONE
};

/// A crash with a report of the earlier incarnation still on its way.
const CRASHES: Budget = Budget {
    unloads: 1,
    asks: 1,
    crashes: 1,
    ..NONE
};

const DECIDED: &str = "an engine holds only what was decided";
const LIMIT: &str = "loaded and executable loads are within the limit";
const MEMORY: &str = "loaded and executable loads fit into memory";
const OWN: &str = "the ledger's own invariants hold";
const SERVES: &str = "a ready replica is not cut off";

#[test]
fn no_fault_in_the_ledger() {
    let worlds = [
        World::new(COMMANDS).at_once(true),
        World::new(RESENDS).at_once(true),
        World::new(REPORTS),
        World::new(CHANGES),
        World::new(SUCCESSION),
        World::new(REFUSALS).at_once(true),
        World::new(CRASHES).at_once(true),
    ];
    for world in worlds {
        let report = Search::new().run(&world);
        assert!(report.violation.is_none(), "{world:?}\n{report}");
        assert!(report.is_complete, "{world:?}\n{report}");
    }
}

/// One of two sends of a load is refused, the other executed between a report and the unload.
#[test]
fn no_fault_when_one_send_is_refused() {
    let budget = Budget {
        loads: 1,
        refusals: 1,
        ..RESENDS
    };
    let report = Search::new().run(&World::new(budget));
    assert!(report.violation.is_none(), "{report}");
    assert!(report.is_complete, "{report}");
}

#[test]
fn each_mutant_is_found() {
    let cases = [
        (Mutant::SendBeforeCommit, COMMANDS, MEMORY),
        (Mutant::SendBeforeCommit, NONE, LIMIT),
        (Mutant::ForgetUnresolved, CHANGES, MEMORY),
        (Mutant::ForgetUnresolved, SUCCESSION, LIMIT),
        (Mutant::PushedReportIsProof, REPORTS, DECIDED),
        (Mutant::ReuseBeforeProof, REPORTS, DECIDED),
        (Mutant::AnyIncarnation, SUCCESSION, DECIDED),
        (Mutant::ResendUncommitted, RESENDS, DECIDED),
        (Mutant::RepeatLoad, RESENDS, DECIDED),
        (Mutant::ReuseIndex, CHANGES, OWN),
        (Mutant::RepeatUnload, RESENDS, SERVES),
    ];
    let untested = |m: &Mutant| cases.iter().all(|c| c.0 != *m);
    assert!(!Mutant::NAMED.iter().any(|(_, m)| untested(m)));
    for (mutant, budget, invariant) in cases {
        let world = World::new(budget).at_once(budget == RESENDS);
        Case {
            mutant,
            world,
            invariant,
        }
        .run();
    }
}

#[test]
fn each_mutant_has_a_name() {
    let names: Vec<String> = Mutant::NAMED.iter().map(|(_, m)| kebab(*m)).collect();
    assert_eq!(names, Mutant::NAMED.map(|(name, _)| name));
}

impl Case {
    fn run(self) {
        let report = Search::new().run(&self.world.mutant(self.mutant));
        let found = report.violation.as_ref().map(|v| v.invariant.as_str());
        let found = found.unwrap_or_default();
        assert!(
            found.starts_with(self.invariant),
            "{:?}: {report}",
            self.mutant
        );
    }
}

fn kebab(mutant: Mutant) -> String {
    let mut name = String::new();
    for letter in format!("{mutant:?}").chars() {
        if letter.is_uppercase() && !name.is_empty() {
            name.push('-');
        }
        name.push(letter.to_ascii_lowercase());
    }
    name
}
