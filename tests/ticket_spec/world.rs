//! State of the whole specification and what must hold in it.

use std::collections::BTreeSet;

use super::executor::Executor;
use super::message::{Message, TicketId};

/// How often each event may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Tickets that the caller asks for.
    pub ticket_requests: u8,
    /// Messages with a ticket that the caller sends.
    pub sends: u8,
    /// Messages delivered twice.
    pub duplicates: u8,
    /// Executors that lose all memory and start anew.
    pub crashes: u8,
    /// Executors that stand still until every ticket has expired.
    pub pauses: u8,
}

/// What must hold in every reachable state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The caller's request runs at most once, over all tickets.
    RunsAtMostOnce,
    /// A ticket that was said to be not run has not run.
    NotRunIsTrue,
    /// An answer that is replayed belongs to the ticket's own request.
    AnswerMatchesRequest,
    /// No dispatch is allowed after the ticket's expiry.
    NoDispatchAfterExpiry,
}

/// One caller with one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Caller {
    /// Ticket that the request goes under; none before the first and after "not run".
    pub ticket: Option<TicketId>,
}

/// What really happened, which no node knows as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct History {
    /// Ticket of each run, in order.
    pub runs: Vec<TicketId>,
    /// Tickets that some node said were not run.
    pub reported_not_run: BTreeSet<TicketId>,
    pub crossed_answer: bool,
    pub late_dispatch: bool,
}

/// The whole state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub caller: Caller,
    pub executors: [Executor; 2],
    /// Messages on their way, sorted.
    pub network: Vec<Message>,
    /// Events that may still happen.
    pub remaining: Bounds,
    pub history: History,
}

impl World {
    pub fn new(bounds: Bounds) -> Self {
        Self {
            caller: Caller { ticket: None },
            executors: [Executor::new(0, 0, 0), Executor::new(1, 0, 0)],
            network: Vec::new(),
            remaining: bounds,
            history: History {
                runs: Vec::new(),
                reported_not_run: BTreeSet::new(),
                crossed_answer: false,
                late_dispatch: false,
            },
        }
    }

    pub fn send(&mut self, message: Message) {
        let position = self.network.partition_point(|other| *other <= message);
        self.network.insert(position, message);
    }

    /// Tells the caller "not run" of a ticket.
    pub fn report_not_run(&mut self, ticket: TicketId) {
        self.history.reported_not_run.insert(ticket);
        self.send(Message::NotRun { ticket });
    }

    pub fn violated_invariant(&self) -> Option<Invariant> {
        let history = &self.history;
        if history.runs.len() > 1 {
            return Some(Invariant::RunsAtMostOnce);
        }
        if history
            .runs
            .iter()
            .any(|ticket| history.reported_not_run.contains(ticket))
        {
            return Some(Invariant::NotRunIsTrue);
        }
        if history.crossed_answer {
            return Some(Invariant::AnswerMatchesRequest);
        }
        history
            .late_dispatch
            .then_some(Invariant::NoDispatchAfterExpiry)
    }
}
