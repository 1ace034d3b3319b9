//! Checks that no call was lost, doubled, cut or crossed, or ran although it was refused as not
//! run.

use lovageplank_core::prelude::*;

use super::outcome::{Ending, Outcome};
use crate::record::{RequestCounts, Snapshot, loads, max_replicas, text_hash_key};

record! { key =>
    /// One violated guarantee.
    pub struct Finding {
        /// Position of the call in the plan.
        pub number: usize,
        /// How the guarantee was violated.
        pub reason: String,
    }
}

record! { key =>
    /// Violated guarantees by kind, and counts from the records of the backend servers.
    #[derive(Default)]
    pub struct Verdict {
        /// Neither answered nor refused: the connection broke, or the time was up.
        pub lost: Vec<Finding>,
        /// Ran more than once: a plain call that began, or a model call that finished, twice or
        /// more.
        pub doubled: Vec<Finding>,
        /// Answered in part, without an error.
        pub cut: Vec<Finding>,
        /// Answered with something else than the expected answer, or under the request id of
        /// another call.
        pub crossed: Vec<Finding>,
        /// Refused with `not_run` although a backend server ran it.
        pub ran_though_refused: Vec<Finding>,
        /// Repeated runs of model calls that finished at most once; not a violation.
        pub reruns: u32,
        /// Loads that engines accepted although their memory did not suffice; a violation if above
        /// 0.
        pub overcommitted: u32,
        /// Requests that ended early because their model was unloaded; not a violation by itself.
        pub cut_by_unload: u32,
        /// Maximum number of simultaneous replicas over all engines, by model. Not checked here.
        pub max_replicas: BTreeMap<Name, u32>,
        /// Number of loads that began over all engines, by model. Not checked here.
        pub loads: BTreeMap<Name, u32>,
    }
}

impl Verdict {
    /// Compares the outcomes of calls with the records of the backend servers.
    pub fn new(outcomes: &[Outcome], pages: &[Snapshot]) -> Verdict {
        let mut verdict = Verdict {
            overcommitted: pages.iter().map(|page| page.overcommitted).sum(),
            cut_by_unload: pages.iter().map(|page| page.cut_by_unload).sum(),
            max_replicas: max_replicas(pages),
            loads: loads(pages),
            ..Verdict::default()
        };
        let texts = merge(pages, |page| &page.texts);
        let keys = merge(pages, |page| &page.keys);
        let none = RequestCounts::default();
        for outcome in outcomes {
            verdict.judge_ending(outcome);
            let (ran, limit) = match (&outcome.hash, &outcome.key) {
                (Some(hash), _) => (
                    texts.get(&text_hash_key(*hash)).unwrap_or(&none),
                    Limit::Finished,
                ),
                (None, Some(key)) => (keys.get(key).unwrap_or(&none), Limit::Begun),
                (None, None) => (&none, Limit::Begun),
            };
            verdict.judge_runs(outcome, ran, limit);
        }
        verdict.judge_ids(outcomes);
        verdict
    }

    /// Returns whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        let findings = [
            &self.lost,
            &self.doubled,
            &self.cut,
            &self.crossed,
            &self.ran_though_refused,
        ];
        findings.iter().all(|list| list.is_empty()) && self.overcommitted == 0
    }

    fn judge_ending(&mut self, outcome: &Outcome) {
        let (list, reason) = match &outcome.ending {
            Ending::Whole | Ending::Refused { .. } => return,
            Ending::Lost { reason } => (&mut self.lost, reason),
            Ending::Cut { reason } => (&mut self.cut, reason),
            Ending::Crossed { reason } => (&mut self.crossed, reason),
        };
        list.push(finding(outcome, reason.clone()));
    }

    fn judge_runs(&mut self, outcome: &Outcome, ran: &RequestCounts, limit: Limit) {
        let counted = match limit {
            Limit::Begun => ran.runs,
            Limit::Finished => ran.finished,
        };
        if counted > 1 {
            let reason = format!("began {} times, finished {}", ran.runs, ran.finished);
            self.doubled.push(finding(outcome, reason));
        } else if ran.runs > 1 {
            self.reruns += ran.runs - 1;
        }
        if let Ending::Refused { not_run: true, .. } = outcome.ending
            && ran.runs + ran.resumed > 0
        {
            let reason = format!("began {} times", ran.runs);
            self.ran_though_refused.push(finding(outcome, reason));
        }
    }

    /// Reports two answers with the same request id: one of them went to the wrong caller.
    fn judge_ids(&mut self, outcomes: &[Outcome]) {
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for outcome in outcomes {
            let Some(id) = outcome.request_id.as_deref() else {
                continue;
            };
            if let Some(first) = seen.insert(id, outcome.number) {
                let reason = format!("request id {id} also came to call {first}");
                self.crossed.push(finding(outcome, reason));
            }
        }
    }
}

/// The counter that must not exceed 1.
#[derive(Clone, Copy)]
enum Limit {
    Begun,
    Finished,
}

fn finding(outcome: &Outcome, reason: String) -> Finding {
    Finding {
        number: outcome.number,
        reason,
    }
}

/// Sums the counts of all backend servers by key.
fn merge(
    pages: &[Snapshot],
    of: impl Fn(&Snapshot) -> &BTreeMap<String, RequestCounts>,
) -> BTreeMap<String, RequestCounts> {
    let mut sums: BTreeMap<String, RequestCounts> = BTreeMap::new();
    for (key, request) in pages.iter().flat_map(of) {
        sums.entry(key.clone()).or_default().add(request);
    }
    sums
}
