//! One caller's request from its intended time to its outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HOST;
use hyper::http::request::Builder;
use hyper::{Request, Uri};
use tokio::time::{sleep, timeout};

use crate::backend_server::{
    BRANCH_HEADER, IDEMPOTENCY_KEY_HEADER, REQUEST_ID_HEADER, TIMEOUT_HEADER,
};
use crate::http::client::{ClientStep, WholeAnswer};

use super::answer_check::check;
use super::arrivals::Arrival;
use super::claims::{Claim, RequestClaim};
use super::kinds::RequestKind;
use super::outcome::{Loss, Outcome};
use super::pool::Pool;
use super::problem::{Problem, TICKET_REQUIRED};
use super::settings::Route;
use super::tally::Tally;
use super::tickets::{TICKET_HEADER, Ticket, TicketStash};

/// Time that a caller waits beyond the timeout it stated, for a refusal to arrive.
const TIMEOUT_GRACE_MS: u64 = 250;
/// Attempts of one non-idempotent request at most.
const ATTEMPTS_MAX: u32 = 6;
/// Connections tried at least, since an idle one may just have been closed.
const CONNECT_TRIES_MIN: usize = 2;
/// Pause before a lost answer is asked for again.
const REPEAT_PAUSE_MS: u64 = 20;

/// Kind of request with what its callers share.
#[derive(Debug)]
pub(super) struct KindState {
    pub kind: RequestKind,
    pub uri: Uri,
    pub body: Bytes,
    /// Connections to the backend server stand-in that gets it in place of the targets.
    pub straight: Option<Pool>,
    pub tickets: TicketStash,
    pub tally: Tally,
}

/// What all callers of a run share.
#[derive(Debug)]
pub(super) struct Callers {
    pub kinds: Vec<KindState>,
    pub pools: Vec<Pool>,
    pub route: Route,
    pub timeout_ms: u64,
    /// Makes request ids differ from those of other runs.
    pub run_id: u64,
    pub start: Instant,
}

/// One request on its way.
#[derive(Debug)]
struct Call<'a> {
    callers: &'a Callers,
    state: &'a KindState,
    /// Index of the target that gets the next attempt.
    target: usize,
    intended: Instant,
    request_id: String,
    key: Option<String>,
    ticket: Option<Ticket>,
    /// Whether an earlier attempt may have run.
    may_have_run: bool,
    attempts: u32,
}

/// Sends one request, follows it to its end and counts it.
pub(super) async fn call(callers: Arc<Callers>, arrival: Arrival) {
    let mut call = Call::new(&callers, arrival);
    call.state.tally.count_sent(arrival.time);
    let outcome = call.follow().await;
    let claim = RequestClaim {
        claim: call.claim(&outcome),
        request_id: call.request_id,
        idempotency_key: call.key,
    };
    call.state
        .tally
        .count_outcome(&outcome, arrival.time, call.intended.elapsed(), claim);
}

impl Callers {
    fn route(&self, state: &KindState) -> Route {
        match state.straight {
            Some(_) => Route::StraightToServer,
            None => self.route,
        }
    }
}

impl<'a> Call<'a> {
    fn new(callers: &'a Callers, arrival: Arrival) -> Self {
        let state = &callers.kinds[arrival.kind];
        let Arrival { sequence, .. } = arrival;
        let run_id = callers.run_id;
        Self {
            callers,
            state,
            target: arrival.target,
            intended: callers.start + arrival.time,
            request_id: format!("{run_id:016x}{sequence:016x}"),
            key: state
                .kind
                .non_idempotent
                .then(|| format!("{run_id:016x}-{sequence}")),
            ticket: None,
            may_have_run: false,
            attempts: 0,
        }
    }

    fn pool(&self) -> &'a Pool {
        let targets = &self.callers.pools;
        let straight = self.state.straight.as_ref();
        straight.unwrap_or_else(|| &targets[self.target])
    }

    fn move_to_next_target(&mut self) {
        self.target = (self.target + 1) % self.callers.pools.len().max(1);
    }

    async fn follow(&mut self) -> Outcome {
        match (&self.key, self.callers.route(self.state)) {
            (Some(_), Route::ThroughNodes) => self.follow_with_ticket().await,
            (None, _) | (_, Route::StraightToServer) => {
                let exchanged = self.attempt().await;
                self.judge(exchanged)
            }
        }
    }

    /// Repeats with the same key and ticket until the outcome is known.
    async fn follow_with_ticket(&mut self) -> Outcome {
        self.ticket = self.state.tickets.take();
        loop {
            let exchanged = self.attempt().await;
            if self.attempts < ATTEMPTS_MAX && self.repeats_after(&exchanged) {
                self.state.tally.count_repeat();
                if exchanged.is_err() {
                    self.pause_and_move_on().await;
                }
                continue;
            }
            if let Some(next) = exchanged.as_ref().ok().and_then(Ticket::of) {
                self.state.tickets.keep(next);
            }
            return self.judge(exchanged);
        }
    }

    /// Decides whether to repeat, and with which ticket.
    fn repeats_after(&mut self, exchanged: &Result<WholeAnswer, Loss>) -> bool {
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(loss) => {
                self.may_have_run |= loss.may_have_run();
                return true;
            }
        };
        let Some(problem) = Problem::of(answer) else {
            return false;
        };
        if self.may_have_run {
            return false;
        }
        if problem.is(TICKET_REQUIRED) {
            self.ticket = Ticket::of(answer);
            return self.ticket.is_some();
        }
        if problem.wants_fresh_ticket() {
            self.ticket = None;
            return true;
        }
        false
    }

    async fn pause_and_move_on(&mut self) {
        sleep(Duration::from_millis(REPEAT_PAUSE_MS)).await;
        self.move_to_next_target();
    }

    async fn attempt(&mut self) -> Result<WholeAnswer, Loss> {
        self.attempts += 1;
        let wait = Duration::from_millis(self.callers.timeout_ms + TIMEOUT_GRACE_MS);
        match timeout(wait, self.exchange_anywhere()).await {
            Ok(exchanged) => exchanged.map_err(Loss::Connection),
            Err(_elapsed) => Err(Loss::TimedOut),
        }
    }

    /// Goes on to other targets while no connection can be had.
    async fn exchange_anywhere(&mut self) -> Result<WholeAnswer, ClientStep> {
        let tries = self.callers.pools.len().max(CONNECT_TRIES_MIN);
        for _ in 1..tries {
            match self.exchange().await {
                Err(ClientStep::Connect) => {
                    self.state.tally.count_moved();
                    self.move_to_next_target();
                }
                exchanged => return exchanged,
            }
        }
        self.exchange().await
    }

    async fn exchange(&self) -> Result<WholeAnswer, ClientStep> {
        let mut borrowed = self.pool().borrow().await.map_err(|error| error.step)?;
        if self.attempts == 1 {
            self.state.tally.record_send_delay(self.intended.elapsed());
        }
        let sent = borrowed.connection.send(self.request()).await;
        let answer = sent.map_err(|error| error.step)?;
        borrowed.give_back();
        Ok(answer)
    }

    fn request(&self) -> Request<Full<Bytes>> {
        let kind = &self.state.kind;
        let mut request = Request::builder()
            .method(kind.method.as_str())
            .uri(self.state.uri.clone())
            .header(HOST, self.pool().peer().to_string())
            .header(REQUEST_ID_HEADER, &self.request_id)
            .header(TIMEOUT_HEADER, self.callers.timeout_ms)
            .header(BRANCH_HEADER, &kind.branch);
        request = with(request, "priority", kind.priority.as_deref());
        request = with(request, IDEMPOTENCY_KEY_HEADER, self.key.as_deref());
        if let Some(ticket) = &self.ticket {
            request = request.header(TICKET_HEADER, ticket.value());
        }
        request
            .body(Full::new(self.state.body.clone()))
            .expect("kinds were checked at the start")
    }

    fn judge(&self, exchanged: Result<WholeAnswer, Loss>) -> Outcome {
        let answer = match exchanged {
            Ok(answer) => answer,
            Err(loss) => return Outcome::Lost(loss),
        };
        let status = answer.status;
        if let Some(problem) = Problem::of(&answer) {
            return Outcome::Refused { status, problem };
        }
        match check(&answer, &self.request_id, &self.state.uri) {
            Ok(checked) => Outcome::Answered {
                status,
                served_by: checked.served_by,
            },
            Err(fault) => Outcome::Wrong(fault),
        }
    }

    /// A repeat that was not run says nothing about an earlier attempt.
    fn claim(&self, outcome: &Outcome) -> Claim {
        match outcome.claim() {
            Claim::NotRun if self.may_have_run => Claim::Unknown,
            claim => claim,
        }
    }
}

fn with(request: Builder, name: &str, value: Option<&str>) -> Builder {
    match value {
        Some(value) => request.header(name, value),
        None => request,
    }
}
