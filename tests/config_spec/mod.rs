//! Specification of configuration changes: two nodes, two operators and a log that trims records.
//!
//! It uses the real fold, catch-up and publish attempt. An append that is never carried out counts
//! as lost. The answer to an append may also be lost while the append is carried out later.

mod fault;
mod log;
mod node;
mod operator;
mod steps;
mod world;

use crate::explore::{Specification, Successor};

pub use fault::Fault;
pub use world::{Bounds, Invariant, World};

/// Specification within bounds, correct or with one seeded fault.
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
