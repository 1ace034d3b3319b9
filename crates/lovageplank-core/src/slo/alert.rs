//! Burn-rate alerts with hysteresis.

use super::{BurnWindows, Kind, Objective, Tally};
use crate::prelude::*;

/// Milliseconds for which the short window must stay calm before a raised alert is cleared.
pub const CLEAR_AFTER_MS: u64 = 120_000;

/// A short window is calm while its burn rate is below this part of the threshold.
const CLEAR_THRESHOLD_RATIO: f64 = 0.5;

/// Minimum bad events in the long window. With fewer, no alert is raised: a single failed request
/// of a rarely used model is a high burn rate, but requires no action.
pub const MIN_BAD_EVENTS: u64 = 5;

/// How the state of an alert changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AlertChange {
    /// The burn rates of both windows exceed the threshold.
    Raised,
    /// The short window was calm for [`CLEAR_AFTER_MS`].
    Cleared,
}

/// An alert that was raised or cleared.
#[derive(Clone, Debug, PartialEq)]
pub struct Alert {
    /// The service.
    pub service: Name,
    /// The objective.
    pub kind: Kind,
    /// Name of the pair of windows.
    pub windows: &'static str,
    /// Whether it was raised or cleared.
    pub change: AlertChange,
    /// Burn rate of the short window.
    pub short: f64,
    /// Burn rate of the long window.
    pub long: f64,
}

/// Tracks which alerts are raised.
#[derive(Clone, Debug, Default)]
pub struct AlertTracker {
    raised: BTreeMap<(Name, Kind, &'static str), RaisedAlert>,
}

/// State of a raised alert.
#[derive(Clone, Copy, Debug, Default)]
struct RaisedAlert {
    /// Since when the short window is calm; `None` if it isn't.
    calm_since: Option<Millis>,
}

impl AlertTracker {
    /// Evaluates a pair of windows; returns an alert only if it is raised or cleared now.
    pub fn update(
        &mut self,
        now: Millis,
        service: &Name,
        objective: &Objective,
        windows: &BurnWindows,
        (short, long): (Tally, Tally),
    ) -> Option<Alert> {
        let key = (service.clone(), objective.kind, windows.name);
        let rates = (objective.burn(short), objective.burn(long));
        let change = match self.raised.get_mut(&key) {
            None => {
                let exceeds = rates.0 > windows.threshold && rates.1 > windows.threshold;
                (exceeds && long.bad >= MIN_BAD_EVENTS).then_some(AlertChange::Raised)?
            }
            Some(raised) => {
                let calm = rates.0 < windows.threshold * CLEAR_THRESHOLD_RATIO;
                raised
                    .should_clear(now, calm)
                    .then_some(AlertChange::Cleared)?
            }
        };
        match change {
            AlertChange::Raised => drop(self.raised.insert(key, RaisedAlert::default())),
            AlertChange::Cleared => drop(self.raised.remove(&key)),
        }
        Some(Alert {
            service: service.clone(),
            kind: objective.kind,
            windows: windows.name,
            change,
            short: rates.0,
            long: rates.1,
        })
    }

    /// Names of the window pairs whose alert is raised for an objective.
    pub fn raised(&self, service: &Name, kind: Kind) -> Vec<&'static str> {
        let mine = self
            .raised
            .keys()
            .filter(|key| key.0 == *service && key.1 == kind);
        mine.map(|key| key.2).collect()
    }

    /// Removes the alerts of services for which `exists` is false.
    pub fn retain(&mut self, exists: impl Fn(&Name) -> bool) {
        self.raised.retain(|key, _| exists(&key.0));
    }
}

impl RaisedAlert {
    fn should_clear(&mut self, now: Millis, calm: bool) -> bool {
        if !calm {
            self.calm_since = None;
            return false;
        }
        let since = *self.calm_since.get_or_insert(now);
        now >= since + CLEAR_AFTER_MS
    }
}
