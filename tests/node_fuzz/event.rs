//! Events that a case is made of.

use bronzelock::decision::gate::RunOutcome;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

pub const NODES: usize = 3;

/// Longest time that passes at once, in µs; longer than a cold start.
const PASS_US_MAX: u64 = 60_000;

/// Choice of one among those that are there, taken modulo their count.
pub type Pick = usize;

/// One event; what it picks may be absent, then it does nothing.
#[derive(Debug, Clone)]
pub enum Event {
    /// A caller sends a non-idempotent request without key to an entry node.
    Call { entry: usize, draw: u64 },
    /// A message arrives.
    Deliver { pick: Pick },
    /// A message is lost.
    Lose { pick: Pick },
    /// A running request ends.
    Finish { pick: Pick, outcome: RunOutcome },
    /// A backend server turns cold without warning.
    ColdRestart { node: usize },
    /// A backend server says that it is leaving.
    Leave { node: usize },
    /// A node loses all its memory and starts anew.
    Crash { node: usize },
    /// An operator takes a zone out or brings it back, through what one node knows.
    Change {
        through: usize,
        zone: usize,
        out: bool,
    },
    /// A node reads the log, up to some records.
    Read { node: usize, records: usize },
    /// A node takes a peer's configuration over.
    Ask { node: usize, peer: usize },
    /// A node appends a snapshot of what it knows, however old.
    Renew { node: usize },
    /// The log forgets its oldest records.
    Trim { records: u64 },
    /// Time passes.
    Pass { time_us: u64 },
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
        let node = || 0..NODES;
        prop_oneof![
            24 => (node(), any::<u64>()).prop_map(|(entry, draw)| Event::Call { entry, draw }),
            40 => any::<Pick>().prop_map(|pick| Event::Deliver { pick }),
            2 => any::<Pick>().prop_map(|pick| Event::Lose { pick }),
            16 => (any::<Pick>(), outcome()).prop_map(|(pick, outcome)| Event::Finish { pick, outcome }),
            1 => node().prop_map(|node| Event::ColdRestart { node }),
            1 => node().prop_map(|node| Event::Leave { node }),
            1 => node().prop_map(|node| Event::Crash { node }),
            3 => (node(), node(), any::<bool>())
                .prop_map(|(through, zone, out)| Event::Change { through, zone, out }),
            8 => (node(), 1..8_usize).prop_map(|(node, records)| Event::Read { node, records }),
            2 => (node(), node()).prop_map(|(node, peer)| Event::Ask { node, peer }),
            1 => node().prop_map(|node| Event::Renew { node }),
            1 => (1..6_u64).prop_map(|records| Event::Trim { records }),
            6 => (1..PASS_US_MAX).prop_map(|time_us| Event::Pass { time_us }),
        ]
        .boxed()
    }

    fn apply((): (), _event: &Event) {}
}

fn outcome() -> impl Strategy<Value = RunOutcome> {
    prop_oneof![
        8 => Just(RunOutcome::Succeeded),
        1 => Just(RunOutcome::Failed),
        1 => Just(RunOutcome::TimedOut),
        1 => Just(RunOutcome::Cancelled),
    ]
}
