//! Specification of at-most-once execution by tickets.
//!
//! It has one caller, two entry nodes and two executors, which use the real [`TicketTable`].
//! Messages are delivered in any order, and one that is never delivered counts as lost. Replies
//! that change nothing for the caller are checked when they are sent and not put in the network.

mod executor;
mod fault;
mod message;
mod steps;
mod world;

use crate::explore::{Specification, Successor};

pub use fault::Fault;
pub use world::{Bounds, Invariant, World};

/// Specification within bounds, correct or with one seeded fault.
#[derive(Debug, Clone, Copy)]
pub struct TicketSpec {
    pub bounds: Bounds,
    pub fault: Fault,
}

impl Specification for TicketSpec {
    type State = World;
    type Step = steps::Step;
    type Invariant = Invariant;

    fn initial_state(&self) -> World {
        World::new(self.bounds)
    }

    fn successors(&self, world: &World) -> Vec<Successor<steps::Step, World>> {
        steps::enabled(world, self.fault)
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
