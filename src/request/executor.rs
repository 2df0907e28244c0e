//! Runs requests on this node's backend server and keeps the outcomes of ticketed ones.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};

use tokio::sync::watch;

use super::call::{Answer, Call, CallResult, Failure, Header, Step};
use super::dispatch;
use crate::decision::ticket::{
    AnswerHeader, ClaimDecision, Fingerprint, FingerprintParts, StoredAnswer, Ticket, TicketCounts,
    TicketOutcome, TicketTable, TicketTableSettings, ticket_invalid,
};
use crate::kernel::Kernel;
use crate::kernel::metrics::Event;
use crate::kernel::shards::lock;
use crate::model::ids::Incarnation;
use crate::model::names::ServiceName;
use crate::model::reasons::{Refusal, RefusalReason, RunState};
use crate::model::units::US_PER_MS;
use crate::settings::NodeSettings;

/// Receives the outcome of a running request.
type PendingResult = watch::Receiver<Option<CallResult>>;

#[derive(Debug)]
struct TicketState {
    table: TicketTable,
    running: HashMap<u64, PendingResult>,
}

/// Tickets issued by this node, with the requests running under them.
#[derive(Debug)]
pub struct SharedTicketTable {
    state: Mutex<TicketState>,
}

impl SharedTicketTable {
    /// Creates an empty table for this run of the node.
    pub fn new(settings: &NodeSettings, incarnation: Incarnation) -> Self {
        let table_settings = TicketTableSettings {
            capacity: settings.ticket.tickets_max,
            lifetime_us: settings.ticket.lifetime_ms * US_PER_MS,
            answer_bytes_max: settings.ticket.answer_bytes_max,
            answers_bytes_total_max: settings.ticket.answers_bytes_max,
        };
        let table = TicketTable::new(settings.node.server.clone(), incarnation, table_settings);
        Self {
            state: Mutex::new(TicketState {
                table,
                running: HashMap::new(),
            }),
        }
    }

    /// Returns the counters for the status page.
    pub fn counts(&self) -> TicketCounts {
        lock(&self.state).table.counts()
    }

    /// Whether the request with ticket `serial` may still be sent.
    pub fn may_dispatch(&self, serial: u64, now_us: u64) -> bool {
        lock(&self.state).table.may_dispatch(serial, now_us)
    }

    /// Removes expired tickets.
    pub fn expire(&self, now_us: u64) {
        lock(&self.state).table.expire(now_us);
    }
}

/// Issues and encodes a ticket for a request to `service`.
///
/// # Errors
/// A refusal if the backend server does not belong to the service, the node is shutting down or
/// the table is full.
pub fn issue_ticket(kernel: &Kernel, service: &ServiceName) -> Result<String, Refusal> {
    let serves = kernel
        .state
        .server
        .load()
        .as_ref()
        .is_some_and(|s| s.service == *service);
    if !serves || kernel.stop.is_leaving() {
        let reason = RefusalReason::NoServer;
        return Err(Refusal {
            reason,
            run_state: RunState::NotRun,
            retry_after_ms: None,
        });
    }
    let ticket = lock(&kernel.state.tickets.state)
        .table
        .issue(service, kernel.now_us())?;
    kernel.metrics.count(Event::TicketIssued);
    Ok(ticket.encode(&kernel.state.ticket_key))
}

/// Runs a call on this node's backend server.
///
/// # Errors
/// [`Failure`] states whether the request was run.
pub async fn run(kernel: &Arc<Kernel>, call: &Call) -> CallResult {
    let result = match &call.ticket {
        Some(text) => run_ticketed(kernel, call, text).await,
        None => dispatch::run(kernel, call, None).await,
    };
    result.map_err(|failure| failure.at(&kernel.settings.node.server))
}

async fn run_ticketed(kernel: &Arc<Kernel>, call: &Call, text: &str) -> CallResult {
    let ticket = Ticket::decode(text, &kernel.state.ticket_key).map_err(|error| {
        log::info!("executor: invalid ticket: {error}");
        Failure::from_refusal(ticket_invalid(), Step::Ticket)
    })?;
    match claim(kernel, call, &ticket) {
        Claimed::Refused(refusal) => Err(Failure::from_refusal(refusal, Step::Ticket)),
        Claimed::Ended(answer) => Ok(replay(kernel, call, &answer)),
        Claimed::Running(running) => await_outcome(kernel, call, running).await,
    }
}

/// Result of claiming a ticket.
enum Claimed {
    /// The request may not run.
    Refused(Refusal),
    /// The request has already run.
    Ended(Arc<StoredAnswer>),
    /// The request is running.
    Running(PendingResult),
}

/// Claims the ticket and starts the request on the ticket's first use.
fn claim(kernel: &Arc<Kernel>, call: &Call, ticket: &Ticket) -> Claimed {
    let fingerprint = fingerprint_of(call);
    let mut state = lock(&kernel.state.tickets.state);
    let claim = state
        .table
        .claim(ticket, &call.service, fingerprint, kernel.now_us());
    match claim {
        ClaimDecision::Refuse(refusal) => Claimed::Refused(refusal),
        ClaimDecision::Replay(answer) => Claimed::Ended(answer),
        ClaimDecision::Join => {
            kernel.metrics.count(Event::TicketJoined);
            match state.running.get(&ticket.serial) {
                Some(running) => Claimed::Running(running.clone()),
                None => Claimed::Refused(still_running().refusal),
            }
        }
        ClaimDecision::Run => {
            let (sender, running) = watch::channel(None);
            state.running.insert(ticket.serial, running.clone());
            let run = run_detached(Arc::clone(kernel), call.clone(), ticket.serial, sender);
            kernel.work.spawn(run);
            Claimed::Running(running)
        }
    }
}

/// Runs the request to its end, even if its caller disconnects.
///
/// A repeat can then get the outcome.
async fn run_detached(
    kernel: Arc<Kernel>,
    call: Call,
    serial: u64,
    sender: watch::Sender<Option<CallResult>>,
) {
    let mut guard = RunGuard {
        kernel: Arc::clone(&kernel),
        serial,
        ended: false,
    };
    let result = dispatch::run(&kernel, &call, Some(serial)).await;
    let outcome = match &result {
        Ok(answer) => TicketOutcome::Answered(Arc::new(stored_answer(answer))),
        Err(failure) if failure.is_not_run() => TicketOutcome::NotRun(failure.refusal),
        Err(failure) => TicketOutcome::Unknown(failure.refusal),
    };
    guard.end(outcome);
    let next_ticket = issue_ticket(&kernel, &call.service).ok();
    let result = result.map(|answer| Answer {
        next_ticket,
        ..answer
    });
    sender.send_replace(Some(result));
}

/// Records the outcome of a ticketed run.
///
/// A run that ends without an outcome is recorded as unknown.
struct RunGuard {
    kernel: Arc<Kernel>,
    serial: u64,
    ended: bool,
}

impl RunGuard {
    fn end(&mut self, outcome: TicketOutcome) {
        self.ended = true;
        let mut state = lock(&self.kernel.state.tickets.state);
        state
            .table
            .finish(self.serial, outcome, self.kernel.now_us());
        state.running.remove(&self.serial);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.end(TicketOutcome::Unknown(still_running().refusal));
        }
    }
}

async fn await_outcome(kernel: &Kernel, call: &Call, mut running: PendingResult) -> CallResult {
    let deadline = kernel.clock.instant_at(call.deadline_us);
    let outcome = running.wait_for(Option::is_some);
    match tokio::time::timeout_at(deadline.into(), outcome).await {
        Ok(Ok(outcome)) => outcome.clone().unwrap_or_else(|| Err(still_running())),
        Ok(Err(_)) | Err(_) => Err(still_running()),
    }
}

fn still_running() -> Failure {
    Failure::new(
        RefusalReason::DeadlinePassedRunning,
        RunState::Unknown,
        Step::Ticket,
    )
}

fn fingerprint_of(call: &Call) -> Fingerprint {
    Fingerprint::of(FingerprintParts {
        service: &call.service,
        branch: &call.branch,
        method: &call.method,
        path: &call.path,
        key: call.key.as_deref(),
        body: &call.body,
    })
}

fn stored_answer(answer: &Answer) -> StoredAnswer {
    let header = |header: &Header| AnswerHeader {
        name: header.name.as_str().into(),
        value: header.value.clone(),
    };
    StoredAnswer {
        status: answer.status,
        headers: answer.headers.iter().map(header).collect(),
        body: answer.body.clone(),
    }
}

fn replay(kernel: &Kernel, call: &Call, stored: &StoredAnswer) -> Answer {
    kernel.metrics.count(Event::TicketReplayed);
    let header = |header: &AnswerHeader| Header {
        name: header.name.as_ref().to_owned(),
        value: header.value.clone(),
    };
    Answer {
        status: stored.status,
        headers: stored.headers.iter().map(header).collect(),
        body: stored.body.clone(),
        served_by: kernel.settings.node.server.clone(),
        next_ticket: issue_ticket(kernel, &call.service).ok(),
    }
}
