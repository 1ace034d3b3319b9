//! Breadth-first search of the states of a model.

use std::collections::{HashSet, VecDeque};
use std::fmt;

/// Default maximum number of actions in a trace. A state at this depth is checked, but its
/// successors are not.
const DEFAULT_MAX_DEPTH: usize = 64;
/// Default maximum number of distinct states. States found beyond it are not checked.
const DEFAULT_MAX_STATES: usize = 1_000_000;

/// A system and its environment as a state machine, small enough to be explored.
pub trait Model {
    /// State of the whole system.
    type State;
    /// One step of the system.
    type Action: Clone + fmt::Debug;

    /// Returns the states in which the search starts.
    fn initial(&self) -> Vec<Self::State>;
    /// Returns the actions that are possible in `state`.
    fn actions(&self, state: &Self::State) -> Vec<Self::Action>;
    /// Returns the state that `action` leads to from `state`.
    fn next(&self, state: &Self::State, action: &Self::Action) -> Self::State;
    /// Returns a hash that identifies `state`: equal for states that behave equally, and different
    /// for all others unless hashes collide.
    fn fingerprint(&self, state: &Self::State) -> u64;
    /// Checks the invariants in `state`. The error names the one that is violated.
    fn check(&self, state: &Self::State) -> Result<(), String>;
}

/// A breadth-first search and its bounds.
#[derive(Clone, Debug)]
pub struct Search {
    max_depth: usize,
    max_states: usize,
}

/// Result of a search.
#[derive(Clone, Debug)]
pub struct Report<A> {
    /// Number of distinct states checked.
    pub states: usize,
    /// Largest number of actions from an initial state to a checked state.
    pub depth: usize,
    /// Whether every reachable state was checked: neither a bound nor a violation cut the search
    /// short.
    pub is_complete: bool,
    /// The first violation found, which ends the search.
    pub violation: Option<Violation<A>>,
}

/// A violated invariant with a shortest counterexample.
#[derive(Clone, Debug)]
pub struct Violation<A> {
    /// The violated invariant, as named by [`Model::check`].
    pub invariant: String,
    /// Actions from an initial state to the violation, in order.
    pub trace: Vec<A>,
}

/// A state in the queue, not checked yet.
struct QueuedState<S> {
    state: S,
    depth: usize,
    /// Index of the step that led to the state; `None` for an initial state.
    step: Option<usize>,
}

/// An action that led to a newly found state.
struct Step<A> {
    /// Index of the step before it; `None` if the action was taken in an initial state.
    parent: Option<usize>,
    action: A,
}

impl Default for Search {
    fn default() -> Search {
        Search::new()
    }
}

impl Search {
    /// Creates a search to a depth of 64 actions and to a million states.
    pub fn new() -> Search {
        Search {
            max_depth: DEFAULT_MAX_DEPTH,
            max_states: DEFAULT_MAX_STATES,
        }
    }

    /// Sets the maximum number of actions in a trace. States at this depth are checked, but their
    /// successors are not.
    #[must_use]
    pub fn max_depth(self, max_depth: usize) -> Search {
        Search { max_depth, ..self }
    }

    /// Sets the maximum number of distinct states. States found beyond it are not checked.
    #[must_use]
    pub fn max_states(self, max_states: usize) -> Search {
        Search { max_states, ..self }
    }

    /// Explores `model` until an invariant is violated or no state within the bounds is left.
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

/// Returns the actions from an initial state to the step `last`.
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
