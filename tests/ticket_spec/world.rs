//! State of the specification and its invariants.

use std::collections::BTreeSet;

use super::executor::Executor;
use super::message::{Message, TicketId};

/// How often each kind of event may occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Tickets that the caller requests.
    pub ticket_requests: u8,
    /// Requests with a ticket that the caller sends.
    pub sends: u8,
    /// Messages delivered twice.
    pub duplicates: u8,
    /// Restarts in which an executor loses all memory.
    pub crashes: u8,
    /// Pauses of an executor that last until every ticket has expired.
    pub pauses: u8,
}

/// Property that must hold in every reachable state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Invariant {
    /// The caller's request runs at most once, over all tickets.
    RunsAtMostOnce,
    /// A ticket that was reported as not run never runs.
    NotRunIsTrue,
    /// A replayed answer belongs to the ticket's own request.
    AnswerMatchesRequest,
    /// No dispatch is allowed after the ticket has expired.
    NoDispatchAfterExpiry,
}

/// One caller with one request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Caller {
    /// Current ticket; `None` before the first one and after "not run" was reported.
    pub ticket: Option<TicketId>,
}

/// Global record of what really happened, which no single node knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct History {
    /// Ticket of each run, in order.
    pub runs: Vec<TicketId>,
    /// Tickets that some node reported as not run.
    pub reported_not_run: BTreeSet<TicketId>,
    pub crossed_answer: bool,
    pub late_dispatch: bool,
}

/// Global state of the specification.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub caller: Caller,
    pub executors: [Executor; 2],
    /// Messages in transit, sorted.
    pub network: Vec<Message>,
    /// Events that may still occur.
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

    /// Reports to the caller that the request of a ticket was not run.
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
