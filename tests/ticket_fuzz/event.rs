//! Events of a fuzz case.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use super::executor::Action;
use super::message::CallerIndex;

pub const CALLERS: usize = 3;
pub const EXECUTORS: usize = 3;

/// Upper end of one clock advance, in µs, exclusive; longer than a ticket's lifetime.
const CLOCK_ADVANCE_US_MAX: u64 = 1_500;

/// Upper end of an answer's padding, in bytes, exclusive; longer than an executor stores.
const ANSWER_PADDING_BYTES_MAX: usize = 80;

/// Choice of one of the present items, modulo their number.
pub type Pick = usize;

/// One event; it has no effect when there is nothing to pick.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sends its request, with the ticket if it has one.
    Call {
        caller: CallerIndex,
        executor: usize,
    },
    /// A caller sends a request for other work under its ticket.
    ReuseTicket { caller: CallerIndex },
    /// A caller abandons its work for good and begins the next.
    Abandon { caller: CallerIndex },
    /// A message arrives.
    Deliver { pick: Pick },
    /// A message arrives, and a copy remains in the network.
    Duplicate { pick: Pick },
    /// A message is lost.
    Lose { pick: Pick },
    /// A request's ticket is corrupted in transit.
    CorruptTicket { pick: Pick },
    /// An entry node cannot reach a request's executor.
    Unreachable { pick: Pick },
    /// An executor carries out one action on one of its jobs.
    AdvanceJob {
        executor: usize,
        pick: Pick,
        action: Action,
    },
    /// An executor's timer removes expired tickets.
    Expire { executor: usize },
    /// Time passes on an executor, whether it is working or paused.
    AdvanceClock { executor: usize, time_us: u64 },
    /// An executor loses its memory and restarts.
    Crash { executor: usize },
}

/// Generator of events, stateless since an event without an object has no effect.
#[derive(Debug)]
pub struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Event> {
        prop_oneof![
            16 => (0..CALLERS, 0..EXECUTORS)
                .prop_map(|(caller, executor)| Event::Call { caller, executor }),
            1 => (0..CALLERS).prop_map(|caller| Event::ReuseTicket { caller }),
            4 => (0..CALLERS).prop_map(|caller| Event::Abandon { caller }),
            48 => any::<Pick>().prop_map(|pick| Event::Deliver { pick }),
            8 => any::<Pick>().prop_map(|pick| Event::Duplicate { pick }),
            4 => any::<Pick>().prop_map(|pick| Event::Lose { pick }),
            1 => any::<Pick>().prop_map(|pick| Event::CorruptTicket { pick }),
            2 => any::<Pick>().prop_map(|pick| Event::Unreachable { pick }),
            48 => (0..EXECUTORS, any::<Pick>(), action())
                .prop_map(|(executor, pick, action)| Event::AdvanceJob { executor, pick, action }),
            4 => (0..EXECUTORS).prop_map(|executor| Event::Expire { executor }),
            6 => (0..EXECUTORS, 1..CLOCK_ADVANCE_US_MAX)
                .prop_map(|(executor, time_us)| Event::AdvanceClock { executor, time_us }),
            1 => (0..EXECUTORS).prop_map(|executor| Event::Crash { executor }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &Event) {}
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        2 => Just(Action::Refuse),
        6 => Just(Action::TryDispatch),
        6 => Just(Action::SendFirstByte),
        1 => Just(Action::Shed),
        5 => (0..ANSWER_PADDING_BYTES_MAX)
                .prop_map(|padding_bytes| Action::Answer { padding_bytes }),
        2 => Just(Action::LoseConnection),
    ]
}
