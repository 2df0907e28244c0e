//! Explicit-state model checker: explores a specification breadth first.

use std::fmt::{self, Debug};
use std::hash::Hash;
use std::sync::Arc;

use pathfinding::directed::bfs::bfs;
use pathfinding::directed::dijkstra::dijkstra_reach;

/// State that one step leads to.
pub struct Successor<Step, State> {
    pub step: Step,
    pub state: State,
}

/// State machine with invariants that must hold in every reachable state.
pub trait Specification {
    type State: Eq + Hash + Clone;
    type Step: Debug;
    type Invariant: Debug + PartialEq;

    fn initial_state(&self) -> Self::State;
    fn successors(&self, state: &Self::State) -> Vec<Successor<Self::Step, Self::State>>;
    fn violated_invariant(&self, state: &Self::State) -> Option<Self::Invariant>;
}

/// Size of a state space in which every invariant holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exploration {
    pub states: usize,
    pub transitions: usize,
    pub depth_steps: usize,
}

/// Shortest sequence of steps to a state.
pub struct Trace<Step> {
    steps: Vec<Step>,
}

impl<Step: Debug> fmt::Display for Trace<Step> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, step) in self.steps.iter().enumerate() {
            writeln!(f, "{:>3}. {step:?}", index + 1)?;
        }
        Ok(())
    }
}

/// Violated invariant with a shortest trace to the violation.
pub struct Counterexample<Step, Invariant> {
    pub invariant: Invariant,
    pub trace: Trace<Step>,
}

/// Visits every reachable state, or stops at the first that violates an invariant.
pub fn explore<S: Specification>(
    spec: &S,
) -> Result<Exploration, Counterexample<S::Step, S::Invariant>> {
    let mut transitions = 0;
    let reached = dijkstra_reach(&Arc::new(spec.initial_state()), |state: &Arc<S::State>| {
        let successors = spec.successors(state);
        transitions += successors.len();
        successors
            .into_iter()
            .map(|successor| (Arc::new(successor.state), 1_usize))
    });
    let mut states = 0;
    let mut depth_steps = 0;
    for item in reached {
        states += 1;
        depth_steps = item.total_cost;
        if let Some(invariant) = spec.violated_invariant(&item.node) {
            let trace =
                shortest_trace(spec, |state| *state == *item.node).expect("the state was reached");
            return Err(Counterexample { invariant, trace });
        }
    }
    Ok(Exploration {
        states,
        transitions,
        depth_steps,
    })
}

/// Finds a shortest trace to a state that satisfies a predicate.
pub fn shortest_trace<S: Specification>(
    spec: &S,
    is_target: impl Fn(&S::State) -> bool,
) -> Option<Trace<S::Step>> {
    let next = |state: &Arc<S::State>| -> Vec<Arc<S::State>> {
        spec.successors(state)
            .into_iter()
            .map(|successor| Arc::new(successor.state))
            .collect()
    };
    let path = bfs(&Arc::new(spec.initial_state()), next, |state| {
        is_target(state)
    })?;
    let steps = path
        .windows(2)
        .map(|pair| step_between(spec, &pair[0], &pair[1]))
        .collect();
    Some(Trace { steps })
}

fn step_between<S: Specification>(spec: &S, from: &S::State, to: &S::State) -> S::Step {
    let successor = spec
        .successors(from)
        .into_iter()
        .find(|successor| successor.state == *to);
    successor
        .expect("each state of a path is a successor of the one before it")
        .step
}
