//! Table of the tickets issued by one incarnation of an executor.
//!
//! The executor of a ticket is the node that issued it, the only one that may run its request.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::model::ids::Incarnation;
use crate::model::names::{ServerName, ServiceName};
use crate::model::reasons::{Refusal, RefusalReason, RunState};

use super::answer::StoredAnswer;
use super::fingerprint::Fingerprint;
use super::refusals::{not_run, ticket_invalid, unknown};
use super::settings::TicketTableSettings;
use super::slot::{BoundRequest, RequestState, Slot, TicketOutcome};
use super::token::Ticket;
use crate::model::units::US_PER_MS;

/// What to do with a message that carries a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimDecision {
    /// First use: queue the request, and report its outcome with [`TicketTable::finish`].
    Run,
    /// The same request is queued or running: wait for its outcome.
    Join,
    /// The same request has run: send this answer.
    Replay(Arc<StoredAnswer>),
    /// The request must not run.
    Refuse(Refusal),
}

/// Ticket counts for status pages and metrics.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TicketCounts {
    /// Tickets that were issued and not yet used.
    pub unused: usize,
    /// Tickets whose request is queued or running.
    pub in_progress: usize,
    /// Tickets whose request has ended.
    pub ended: usize,
    /// Total length of the stored answers, in bytes.
    pub answer_bytes: usize,
}

/// Tickets of one executor incarnation, with their requests and outcomes.
///
/// Each issued ticket occupies one slot until it has expired and its request has ended. So every
/// use finds a slot, and no ticket is removed early.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TicketTable {
    executor: ServerName,
    incarnation: Incarnation,
    settings: TicketTableSettings,
    /// Slots by serial, which is also expiry order, since all lifetimes are equal.
    slots: BTreeMap<u64, Slot>,
    next_serial: u64,
    /// Latest time seen, in µs; calls from several threads may come out of order.
    now_us: u64,
    answers_bytes_total: usize,
}

impl TicketTable {
    /// Creates an empty table for one executor incarnation.
    pub const fn new(
        executor: ServerName,
        incarnation: Incarnation,
        settings: TicketTableSettings,
    ) -> Self {
        Self {
            executor,
            incarnation,
            settings,
            slots: BTreeMap::new(),
            next_serial: 0,
            now_us: 0,
            answers_bytes_total: 0,
        }
    }

    /// Issues a ticket and reserves its slot.
    ///
    /// # Errors
    /// `TicketsExhausted` when every slot is in use, with the time until the next slot is free.
    pub fn issue(&mut self, service: &ServiceName, now_us: u64) -> Result<Ticket, Refusal> {
        self.expire(now_us);
        if self.slots.len() >= self.settings.capacity {
            return Err(self.exhausted_refusal());
        }
        let serial = self.next_serial;
        let expires_us = self.now_us.saturating_add(self.settings.lifetime_us);
        self.next_serial += 1;
        self.slots.insert(
            serial,
            Slot {
                expires_us,
                request: None,
            },
        );
        Ok(Ticket {
            executor: self.executor.clone(),
            incarnation: self.incarnation,
            service: service.clone(),
            serial,
            expires_us,
        })
    }

    /// Decides what to do with a message that carries a ticket.
    ///
    /// The first use binds the ticket to the request's fingerprint. Call this before all other
    /// checks of the gate: their refusals report "not run" for the ticket, which only this table
    /// can know.
    pub fn claim(
        &mut self,
        ticket: &Ticket,
        service: &ServiceName,
        fingerprint: Fingerprint,
        now_us: u64,
    ) -> ClaimDecision {
        self.advance_clock(now_us);
        if ticket.executor != self.executor || ticket.incarnation != self.incarnation {
            return ClaimDecision::Refuse(unknown(RefusalReason::TicketExecutorGone));
        }
        if ticket.service != *service {
            return ClaimDecision::Refuse(ticket_invalid());
        }
        let now_us = self.now_us;
        let Some(slot) = self.slots.get_mut(&ticket.serial) else {
            return ClaimDecision::Refuse(missing_slot_refusal(ticket, now_us));
        };
        match &slot.request {
            Some(request) => claim_repeat(request, fingerprint),
            None => claim_first_use(slot, fingerprint, now_us),
        }
    }

    /// Marks a queued request as dispatched unless its ticket has expired.
    ///
    /// Returns true at most once per ticket. Call this right before sending the first byte. When
    /// it returns false for a queued request, the ticket has expired and is recorded as not run.
    pub fn may_dispatch(&mut self, serial: u64, now_us: u64) -> bool {
        self.advance_clock(now_us);
        let Some(slot) = self.slots.get_mut(&serial) else {
            return false;
        };
        let Some(BoundRequest { state, .. }) = &mut slot.request else {
            return false;
        };
        if *state != RequestState::Queued {
            return false;
        }
        let in_time = self.now_us < slot.expires_us;
        *state = if in_time {
            RequestState::Dispatched
        } else {
            RequestState::NotRun(not_run(RefusalReason::TicketExpired))
        };
        in_time
    }

    /// Records the outcome of a ticket's request, which answers repeats until the ticket expires.
    ///
    /// A known outcome is final; an unknown one may still be replaced.
    pub fn finish(&mut self, serial: u64, outcome: TicketOutcome, now_us: u64) {
        self.advance_clock(now_us);
        let remaining_bytes = self.settings.answers_bytes_total_max - self.answers_bytes_total;
        let answer_bytes_max = self.settings.answer_bytes_max.min(remaining_bytes);
        let Some(slot) = self.slots.get_mut(&serial) else {
            return;
        };
        let Some(request) = slot
            .request
            .as_mut()
            .filter(|request| request.accepts_outcome())
        else {
            return;
        };
        request.state = state_after(outcome, answer_bytes_max);
        self.answers_bytes_total += slot.answer_bytes();
    }

    /// Removes expired tickets whose request is neither queued nor running.
    pub fn expire(&mut self, now_us: u64) {
        self.advance_clock(now_us);
        let now_us = self.now_us;
        let removable: Vec<u64> = self
            .slots
            .iter()
            .take_while(|(_, slot)| slot.expires_us <= now_us)
            .filter(|(_, slot)| slot.is_removable(now_us))
            .map(|(serial, _)| *serial)
            .collect();
        for serial in removable {
            let slot = self.slots.remove(&serial);
            self.answers_bytes_total -= slot.as_ref().map_or(0, Slot::answer_bytes);
        }
    }

    /// Earliest expiry of a ticket not in progress, in µs; `None` without one.
    pub fn next_expiry_us(&self) -> Option<u64> {
        self.slots
            .values()
            .find(|slot| !slot.in_progress())
            .map(|slot| slot.expires_us)
    }

    /// Counts tickets by state.
    pub fn counts(&self) -> TicketCounts {
        let mut counts = TicketCounts {
            answer_bytes: self.answers_bytes_total,
            ..TicketCounts::default()
        };
        for slot in self.slots.values() {
            match &slot.request {
                None => counts.unused += 1,
                Some(_) if slot.in_progress() => counts.in_progress += 1,
                Some(_) => counts.ended += 1,
            }
        }
        counts
    }

    fn advance_clock(&mut self, now_us: u64) {
        self.now_us = self.now_us.max(now_us);
    }

    fn exhausted_refusal(&self) -> Refusal {
        let wait_us = self
            .next_expiry_us()
            .map(|expiry_us| expiry_us.saturating_sub(self.now_us));
        Refusal {
            reason: RefusalReason::TicketsExhausted,
            run_state: RunState::NotRun,
            retry_after_ms: wait_us.map(|wait_us| wait_us.div_ceil(US_PER_MS)),
        }
    }
}

/// Decides on the first message with a ticket, and binds the ticket.
fn claim_first_use(slot: &mut Slot, fingerprint: Fingerprint, now_us: u64) -> ClaimDecision {
    if slot.expires_us <= now_us {
        return ClaimDecision::Refuse(not_run(RefusalReason::TicketExpired));
    }
    slot.request = Some(BoundRequest {
        fingerprint,
        state: RequestState::Queued,
    });
    ClaimDecision::Run
}

/// Decides on a message whose ticket is already bound to a request.
fn claim_repeat(request: &BoundRequest, fingerprint: Fingerprint) -> ClaimDecision {
    if request.fingerprint != fingerprint {
        return ClaimDecision::Refuse(reuse_refusal(request));
    }
    match &request.state {
        RequestState::Queued | RequestState::Dispatched => ClaimDecision::Join,
        RequestState::Answered(answer) => ClaimDecision::Replay(Arc::clone(answer)),
        RequestState::AnswerNotHeld => ClaimDecision::Refuse(unknown(RefusalReason::AnswerNotHeld)),
        RequestState::NotRun(refusal) | RequestState::Unknown(refusal) => {
            ClaimDecision::Refuse(*refusal)
        }
    }
}

/// Refusal of another request under a bound ticket.
///
/// It reports "not run" only if the request that the ticket is bound to was not run.
fn reuse_refusal(request: &BoundRequest) -> Refusal {
    match request.state {
        RequestState::NotRun(_) => not_run(RefusalReason::TicketReused),
        _ => unknown(RefusalReason::TicketReused),
    }
}

/// Refusal of a ticket that has no slot.
const fn missing_slot_refusal(ticket: &Ticket, now_us: u64) -> Refusal {
    if ticket.expires_us <= now_us {
        unknown(RefusalReason::TicketExpired)
    } else {
        ticket_invalid()
    }
}

/// State after an outcome; an answer longer than `answer_bytes_max` is not stored.
fn state_after(outcome: TicketOutcome, answer_bytes_max: usize) -> RequestState {
    match outcome {
        TicketOutcome::Answered(answer) if answer.length_bytes() <= answer_bytes_max => {
            RequestState::Answered(answer)
        }
        TicketOutcome::Answered(_) => RequestState::AnswerNotHeld,
        TicketOutcome::NotRun(refusal) => RequestState::NotRun(Refusal {
            run_state: RunState::NotRun,
            ..refusal
        }),
        TicketOutcome::Unknown(refusal) => RequestState::Unknown(Refusal {
            run_state: RunState::Unknown,
            ..refusal
        }),
    }
}
