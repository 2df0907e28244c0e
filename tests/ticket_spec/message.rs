//! Messages between the caller, entry nodes and executors.

use std::sync::LazyLock;

use bronzelock::decision::ticket::Ticket;
use bronzelock::model::ids::Incarnation;
use bronzelock::model::names::{ServerName, ServiceName};

/// Index of one of the two executors.
pub type ExecutorIndex = usize;

static EXECUTORS: LazyLock<[ServerName; 2]> =
    LazyLock::new(|| ["herd-1", "herd-2"].map(|name| ServerName::new(name).expect("a valid name")));

static SERVICE: LazyLock<ServiceName> =
    LazyLock::new(|| ServiceName::new("herd").expect("a valid name"));

/// Ticket as the specification represents it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TicketId {
    pub executor: ExecutorIndex,
    pub incarnation: u64,
    pub serial: u64,
    pub expires_us: u64,
}

/// Message in transit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Message {
    /// The caller requests a ticket from an executor.
    TicketRequest { executor: ExecutorIndex },
    /// The executor issues a ticket.
    IssuedTicket { ticket: TicketId },
    /// The caller sends its request through an entry node.
    Request { entry_node: usize, ticket: TicketId },
    /// Reports to the caller that the request of a ticket was not run.
    NotRun { ticket: TicketId },
}

impl TicketId {
    pub fn of(executor: ExecutorIndex, ticket: &Ticket) -> Self {
        Self {
            executor,
            incarnation: ticket.incarnation.0,
            serial: ticket.serial,
            expires_us: ticket.expires_us,
        }
    }

    pub fn to_ticket(self) -> Ticket {
        Ticket {
            executor: executor_name(self.executor),
            incarnation: Incarnation(self.incarnation),
            service: service(),
            serial: self.serial,
            expires_us: self.expires_us,
        }
    }
}

pub fn executor_name(executor: ExecutorIndex) -> ServerName {
    EXECUTORS[executor].clone()
}

pub fn service() -> ServiceName {
    SERVICE.clone()
}
