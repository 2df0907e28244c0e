//! Events that a case is made of.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use super::executor::Action;
use super::message::CallerIndex;

pub const CALLERS: usize = 3;
pub const EXECUTORS: usize = 3;

/// Longest time that passes at once, in µs; longer than a ticket lives.
const CLOCK_ADVANCE_US_MAX: u64 = 1_500;

/// Longest body of an answer, in bytes; longer than an executor keeps.
const ANSWER_PADDING_BYTES_MAX: usize = 80;

/// Choice of one among those that are there, taken modulo their count.
pub type Pick = usize;

/// One event; what it picks may be absent, then it does nothing.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sends its request, with its ticket if it has one.
    Call {
        caller: CallerIndex,
        executor: usize,
    },
    /// A caller sends other work under its ticket.
    ReuseTicket { caller: CallerIndex },
    /// A caller gives its work up for good and begins the next.
    Abandon { caller: CallerIndex },
    /// A message arrives.
    Deliver { pick: Pick },
    /// A message arrives and will arrive again.
    Duplicate { pick: Pick },
    /// A message is lost.
    Lose { pick: Pick },
    /// A request's ticket is damaged on its way.
    CorruptTicket { pick: Pick },
    /// An entry node cannot reach a request's executor.
    Unreachable { pick: Pick },
    /// An executor goes on with one of its requests.
    AdvanceJob {
        executor: usize,
        pick: Pick,
        action: Action,
    },
    /// An executor's timer forgets what has expired.
    Expire { executor: usize },
    /// Time passes on an executor, at work or paused.
    AdvanceClock { executor: usize, time_us: u64 },
    /// An executor loses its memory and starts anew.
    Crash { executor: usize },
}

/// Source of events. They need no state, since an event without an object does nothing.
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
