//! Specification of the configuration: two nodes, racing operators and a log that forgets.
//!
//! Nodes hold the real fold and reader, operators the real publication. An append that is never
//! carried out is a lost one; its answer may be lost while it is carried out later.

mod fault;
mod log;
mod node;
mod operator;
mod steps;
mod world;

use crate::explore::{Specification, Successor};

pub use fault::Fault;
pub use world::{Bounds, Invariant, World};

/// Specification within bounds, whole or with one fault seeded.
#[derive(Debug, Clone, Copy)]
pub struct ConfigSpec {
    pub bounds: Bounds,
    pub fault: Fault,
}

impl Specification for ConfigSpec {
    type State = World;
    type Step = steps::Step;
    type Invariant = Invariant;

    fn initial_state(&self) -> World {
        World::new(self.bounds)
    }

    fn successors(&self, world: &World) -> Vec<Successor<steps::Step, World>> {
        steps::enabled(world)
            .into_iter()
            .map(|step| Successor {
                step,
                state: steps::apply(world, step, self.fault),
            })
            .collect()
    }

    fn violated_invariant(&self, world: &World) -> Option<Invariant> {
        world.violated_invariant()
    }
}
