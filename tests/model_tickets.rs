//! Model checking of at-most-once execution by tickets.

mod explore;
mod ticket_spec;

use explore::{explore, shortest_trace};
use ticket_spec::{Bounds, Fault, Invariant, TicketSpec, World};

/// Each kind of event that the invariants must withstand, at least once.
const BOUNDS: Bounds = Bounds {
    ticket_requests: 2,
    sends: 2,
    duplicates: 1,
    crashes: 1,
    pauses: 1,
};

/// Environment variable with the number of requests sent in the full exploration.
const SENDS_VARIABLE: &str = "BRONZELOCK_MODEL_SENDS";

fn bounds_from_environment() -> Bounds {
    match std::env::var(SENDS_VARIABLE) {
        Ok(text) => Bounds {
            sends: text.parse().expect("a number of messages"),
            ..BOUNDS
        },
        Err(_) => BOUNDS,
    }
}

const fn spec(fault: Fault) -> TicketSpec {
    TicketSpec {
        bounds: BOUNDS,
        fault,
    }
}

#[test]
fn every_promise_holds_in_every_reachable_state() {
    let bounds = bounds_from_environment();
    let fault = Fault::None;
    match explore(&TicketSpec { bounds, fault }) {
        Ok(exploration) => println!("{bounds:?}: {exploration:?}"),
        Err(found) => panic!("{:?} is broken:\n{}", found.invariant, found.trace),
    }
}

macro_rules! seeded_faults {
    ($($name:ident: $fault:ident => $invariant:ident,)+) => {
        $(
            #[test]
            fn $name() {
                let violated =
                    |world: &World| world.violated_invariant() == Some(Invariant::$invariant);
                let trace =
                    shortest_trace(&spec(Fault::$fault), violated).expect("the fault is found");
                println!("{:?} violates {:?}:\n{trace}", Fault::$fault, Invariant::$invariant);
            }
        )+
    };
}

seeded_faults! {
    finds_an_ignored_incarnation: IgnoreIncarnation => RunsAtMostOnce,
    finds_a_retry_after_dispatch: RetryAfterDispatch => RunsAtMostOnce,
    finds_an_eviction_before_expiry: EvictBeforeExpiry => RunsAtMostOnce,
    finds_a_forgotten_not_run_outcome: ForgetNotRun => NotRunIsTrue,
    finds_a_skipped_dispatch_check: SkipDispatchCheck => NoDispatchAfterExpiry,
    finds_a_refusal_before_the_claim: RefuseBeforeClaim => NotRunIsTrue,
    finds_an_entry_node_that_claims_not_run: EntryNodeClaimsNotRun => NotRunIsTrue,
    finds_an_entry_node_with_a_ticket_of_its_own: EntryNodeTakesFreshTicket => RunsAtMostOnce,
    finds_a_caller_that_drops_its_ticket: CallerDropsTicket => RunsAtMostOnce,
}

macro_rules! reachable {
    ($($name:ident: $is_target:expr,)+) => {
        $(
            #[test]
            fn $name() {
                let is_target: fn(&World) -> bool = $is_target;
                let trace =
                    shortest_trace(&spec(Fault::None), is_target).expect("the state is reachable");
                println!("{trace}");
            }
        )+
    };
}

reachable! {
    a_request_runs: |world| world.history.runs.len() == 1,
    a_fresh_ticket_runs_after_not_run: |world| {
        !world.history.reported_not_run.is_empty() && world.history.runs.len() == 1
    },
    a_new_incarnation_runs_under_a_fresh_ticket: |world| {
        world.history.runs.first().is_some_and(|ticket| ticket.incarnation == 1)
    },
}
