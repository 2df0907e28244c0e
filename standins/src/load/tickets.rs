//! Tickets that answers gave ahead of need.

use std::sync::{Mutex, MutexGuard, PoisonError};

use hyper::header::HeaderValue;

use crate::http::client::WholeAnswer;

/// Header that carries a ticket both ways.
pub(super) const TICKET_HEADER: &str = "bronzelock-ticket";

/// Ticket as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Ticket(HeaderValue);

impl Ticket {
    /// Finds the ticket of an answer.
    pub fn of(answer: &WholeAnswer) -> Option<Self> {
        answer.headers.get(TICKET_HEADER).cloned().map(Self)
    }

    /// The ticket as header value.
    pub fn value(&self) -> HeaderValue {
        self.0.clone()
    }
}

/// Unused tickets of one kind of request, the newest used first.
#[derive(Debug, Default)]
pub(super) struct TicketStash {
    tickets: Mutex<Vec<Ticket>>,
}

impl TicketStash {
    fn lock(&self) -> MutexGuard<'_, Vec<Ticket>> {
        self.tickets.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a ticket for a fresh key.
    pub fn take(&self) -> Option<Ticket> {
        self.lock().pop()
    }

    /// Keeps a ticket for a later key.
    pub fn keep(&self, ticket: Ticket) {
        self.lock().push(ticket);
    }
}
