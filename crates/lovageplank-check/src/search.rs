//! Breadth-first search with a set of visited states.

use std::collections::{HashSet, VecDeque};
use std::fmt;

const DEFAULT_MAX_DEPTH: usize = 64;
const DEFAULT_MAX_STATES: usize = 1_000_000;

/// A state machine with its environment, small enough to be explored.
pub trait Model {
    /// The state of everything.
    type State;
    /// One thing that may happen.
    type Action: Clone + fmt::Debug;

    /// Where the search begins.
    fn initial(&self) -> Vec<Self::State>;
    /// All that may happen next.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// What comes of it.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// Tells states apart; equal for states that behave equally.
    fn fingerprint(&self, state: &Self::State) -> u64;
    /// Names the invariant that a state violates.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// Bounds of an exploration.
#[derive(Clone, Debug)]
pub struct Search {
    max_depth: usize,
    max_states: usize,
}

/// What a search has seen.
#[derive(Clone, Debug)]
pub struct Report<A> {
    /// Different states visited.
    pub states: usize,
    /// Actions on the longest way explored.
    pub depth: usize,
    /// Whether every reachable state was visited: no bound and no violation ended the search.
    pub is_complete: bool,
    /// The first violation found.
    pub violation: Option<Violation<A>>,
}

/// A violated invariant and a shortest way to it.
#[derive(Clone, Debug)]
pub struct Violation<A> {
    /// The invariant.
    pub invariant: String,
    /// Actions from the initial state.
    pub trace: Vec<A>,
}

/// A state that waits for its turn.
struct QueuedState<S> {
    state: S,
    depth: usize,
    step: Option<usize>,
}

/// How a state was reached.
struct Step<A> {
    parent: Option<usize>,
    action: A,
}

impl Default for Search {
    fn default() -> Search {
        Search::new()
    }
}

impl Search {
    /// A search within the default bounds.
    pub fn new() -> Search {
        Search {
            max_depth: DEFAULT_MAX_DEPTH,
            max_states: DEFAULT_MAX_STATES,
        }
    }

    /// Sets the number of actions on the longest way.
    #[must_use]
    pub fn max_depth(self, max_depth: usize) -> Search {
        Search { max_depth, ..self }
    }

    /// Sets the number of different states.
    #[must_use]
    pub fn max_states(self, max_states: usize) -> Search {
        Search { max_states, ..self }
    }

    /// Explores a model until a violation, a bound or the end.
    pub fn run<M: Model>(&self, model: &M) -> Report<M::Action> {
        let mut visited = HashSet::new();
        let mut steps: Vec<Step<M::Action>> = Vec::new();
        let mut queue = VecDeque::new();
        let mut report = Report {
            states: 0,
            depth: 0,
            is_complete: true,
            violation: None,
        };
        for state in model.initial() {
            visited.insert(model.fingerprint(&state));
            queue.push_back(QueuedState {
                state,
                depth: 0,
                step: None,
            });
        }
        while let Some(QueuedState { state, depth, step }) = queue.pop_front() {
            report.states += 1;
            report.depth = report.depth.max(depth);
            if let Err(invariant) = model.check(&state) {
                let trace = trace(&steps, step);
                report.violation = Some(Violation { invariant, trace });
                report.is_complete = false;
                return report;
            }
            let actions = model.actions(&state);
            if depth >= self.max_depth {
                report.is_complete &= actions.is_empty();
                continue;
            }
            for action in actions {
                let next = model.next(&state, &action);
                if !visited.insert(model.fingerprint(&next)) {
                    continue;
                }
                if visited.len() > self.max_states {
                    report.is_complete = false;
                    continue;
                }
                let parent = step;
                steps.push(Step { parent, action });
                queue.push_back(QueuedState {
                    state: next,
                    depth: depth + 1,
                    step: Some(steps.len() - 1),
                });
            }
        }
        report
    }
}

fn trace<A: Clone>(steps: &[Step<A>], mut last: Option<usize>) -> Vec<A> {
    let mut trace = Vec::new();
    while let Some(step) = last.map(|index| &steps[index]) {
        trace.push(step.action.clone());
        last = step.parent;
    }
    trace.reverse();
    trace
}

impl<A: fmt::Debug> fmt::Display for Report<A> {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        let (states, depth, complete) = (self.states, self.depth, self.is_complete);
        write!(
            formatter,
            "states={states} depth={depth} complete={complete}"
        )?;
        let Some(violation) = &self.violation else {
            return write!(formatter, " violation=none");
        };
        write!(formatter, " violation={:?}", violation.invariant)?;
        for (index, action) in violation.trace.iter().enumerate() {
            write!(formatter, "\n{:4}. {action:?}", index + 1)?;
        }
        Ok(())
    }
}
