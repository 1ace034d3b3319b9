//! Whether any call was lost, doubled, cut or crossed, or refused with a false reason.

use lovageplank_core::prelude::*;

use super::outcome::{Ending, Outcome};
use crate::record::{RequestCounts, Snapshot, loads, max_replicas, text_hash_key};

record! { key =>
    /// One broken promise.
    pub struct Finding {
        /// The call's number.
        pub number: usize,
        /// What was seen.
        pub reason: String,
    }
}

record! { key =>
    /// Broken promises by kind; all empty after a clean run.
    #[derive(Default)]
    pub struct Verdict {
        /// Neither answered nor refused in time.
        pub lost: Vec<Finding>,
        /// Ran more than once: a plain call begun twice, a model call finished twice.
        pub doubled: Vec<Finding>,
        /// Answered in part.
        pub cut: Vec<Finding>,
        /// Answered with what belongs to another call.
        pub crossed: Vec<Finding>,
        /// Refused as not run although it ran.
        pub ran_though_refused: Vec<Finding>,
        /// Model calls that began again after a run that didn't end; allowed.
        pub reruns: u32,
        /// Loads that were accepted although they didn't fit.
        pub overcommitted: u32,
        /// Requests that an unload ended.
        pub cut_by_unload: u32,
        /// Most replicas at once over all engines, by model; for the reader to compare.
        pub max_replicas: BTreeMap<Name, u32>,
        /// Loads that began over all engines, by model; for the reader to compare.
        pub loads: BTreeMap<Name, u32>,
    }
}

impl Verdict {
    /// Compares what callers saw with what backend servers did.
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

    /// Returns whether no promise was broken.
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

    /// Two answers under one id mean that one of them went to the wrong caller.
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

/// Which counter may not exceed one.
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

/// Adds up the records of all backend servers.
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
