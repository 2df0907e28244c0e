//! Takes a request through the gate to the backend server beside this node.
//!
//! A non-idempotent request runs detached from the connection it came on, so that another
//! connection can still ask what became of it.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::backend_server::{ANSWER_LIMITS, Lease};
use super::context::Host;
use super::events::{Detail, Step};
use super::gate_cell::Admitted;
use super::latency::Stage;
use super::outcome::{Miss, Outcome, RunFacts};
use super::probe;
use crate::decision::host::claims::{ClaimError, ClaimState};
use crate::decision::host::gate::{HostGate, SlowPhaseAction, Work};
use crate::decision::host::run_times::usual_us;
use crate::edge::http1::Response;
use crate::edge::http1::client::ExchangeError;
use crate::kernel::shards::lock;
use crate::model::host_request::{AnswerFacts, HostWork, SERVER_ERROR_MIN};
use crate::model::reasons::RefusalReason;
use crate::model::request::Effect;
use crate::platform::{answers, requests};

/// Time for which the outcome of a non-idempotent request is held after it ended.
const OUTCOME_HELD: Duration = Duration::from_secs(5);

/// Age of the slowness from which the backend server is asked again before work is sent, in µs.
const SLOWNESS_AGE_MAX_US: u64 = 20_000;

/// Pause between two looks whether a slow phase has ended.
const PACE_PAUSE: Duration = Duration::from_millis(25);

type OutcomeWatch = watch::Receiver<Option<Outcome>>;

/// Non-idempotent requests that run or have just run, by identifier.
#[derive(Debug, Default)]
pub struct Executions {
    running: Mutex<HashMap<Arc<str>, OutcomeWatch>>,
}

/// Runs one request at the backend server beside this node.
pub async fn run(host: &Arc<Host>, work: HostWork) -> Outcome {
    match work.effect {
        Effect::Idempotent => execute(host, &work, &CancellationToken::new()).await,
        Effect::NonIdempotent => run_once(host, work).await,
    }
}

/// Bars a request that has not been sent yet, or tells what became of it.
pub async fn settle(host: &Arc<Host>, id: &Arc<str>) -> Outcome {
    let claim = lock(&host.claims).block(id, host.now_us());
    match claim {
        Some(ClaimState::Blocked) => Outcome::missed(Miss::not_sent(RefusalReason::Cancelled)),
        Some(ClaimState::Claimed) => {
            let running = lock(&host.executions.running).get(id).cloned();
            match running {
                Some(watch) => ended(watch).await,
                None => Outcome::missed(Miss::unknown(RefusalReason::AnswerNotHeld)),
            }
        }
        None => Outcome::missed(Miss::unknown(RefusalReason::QueueFull)),
    }
}

/// Claims a non-idempotent request and runs it in a task of its own.
async fn run_once(host: &Arc<Host>, work: HostWork) -> Outcome {
    let claimed = lock(&host.claims).claim(&work.id, host.now_us());
    match claimed {
        Ok(()) => {}
        Err(ClaimError::Blocked | ClaimError::Full) => {
            return Outcome::missed(Miss::not_sent(RefusalReason::QueueFull));
        }
        Err(ClaimError::AlreadyClaimed) => return settle(host, &work.id).await,
    }
    let (sender, watch) = watch::channel(None);
    lock(&host.executions.running).insert(Arc::clone(&work.id), watch.clone());
    let detached = Arc::clone(host);
    let gone = CancellationToken::new();
    let _caller_present = gone.clone().drop_guard();
    host.work.spawn(async move {
        let outcome = execute(&detached, &work, &gone).await;
        if outcome
            .result
            .as_ref()
            .is_err_and(|miss| miss.is_not_run() && !miss.arrived)
        {
            lock(&detached.claims).withdraw(&work.id);
        }
        sender.send_replace(Some(outcome));
        let keeper = Arc::clone(&detached);
        detached.tasks.spawn(async move {
            tokio::select! {
                () = keeper.stop.stopped() => {}
                () = tokio::time::sleep(OUTCOME_HELD) => {}
            }
            lock(&keeper.executions.running).remove(&work.id);
        });
    });
    ended(watch).await
}

async fn ended(mut watch: OutcomeWatch) -> Outcome {
    let outcome = watch.wait_for(Option::is_some).await;
    let outcome = outcome.ok().and_then(|outcome| outcome.clone());
    outcome.unwrap_or_else(|| Outcome::missed(Miss::unknown(RefusalReason::ConnectionLost)))
}

/// Runs one request; `gone` takes it out of the queue, but never off the backend server.
async fn execute(host: &Arc<Host>, work: &HostWork, gone: &CancellationToken) -> Outcome {
    let offered_us = host.now_us();
    let admitted = host.gate.admit(Work {
        rank: work.rank,
        nested_call: work.invested,
        timing: work.timing,
    });
    let admitted = tokio::select! {
        admitted = admitted => admitted,
        () = gone.cancelled() => Err(Miss::not_sent(RefusalReason::Cancelled)),
    };
    let mut admitted = match admitted {
        Ok(admitted) => admitted,
        Err(miss) => {
            note_miss(host, work, Step::Admit, &miss);
            return Outcome::missed(miss);
        }
    };
    let waited_us = host.now_us() - offered_us;
    host.events.latencies.add(Stage::GateWait, waited_us);
    let mut facts = RunFacts::default();
    let result = send(host, work, &mut admitted, &mut facts).await;
    if let Err(miss) = &result {
        note_miss(host, work, Step::Dispatch, miss);
    }
    Outcome {
        result: result.map(answers::decode),
        facts,
    }
}

fn note_miss(host: &Host, work: &HostWork, step: Step, miss: &Miss) {
    let load = host.gate.load();
    host.events.missed(
        &work.id,
        step,
        miss,
        &Detail {
            queued: Some(load.queued),
            in_flight: Some(load.in_flight),
            limit: Some(load.limit),
            slowness_percent: Some(load.slowness_percent),
            left_ms: Some(work.timing.deadline_us.saturating_sub(host.now_us()) / 1_000),
            state: Some(load.state),
            ..Detail::default()
        },
    );
}

/// Sends an admitted request; a kept connection that proves closed is replaced once.
async fn send(
    host: &Arc<Host>,
    work: &HostWork,
    admitted: &mut Admitted<'_>,
    facts: &mut RunFacts,
) -> Result<Response, Miss> {
    await_pace(host, work).await?;
    let mut lease = lease(host, host.server.lease(work.effect).await)?;
    loop {
        let started_us = host.now_us();
        let cleared = host.gate.with(|gate| {
            facts.slowness = gate.slowness(started_us);
            gate.clear_to_send(admitted.id, work.timing.deadline_us, started_us)
        });
        let instance = match cleared {
            Ok(instance) => instance,
            Err(reason) => {
                host.server.give_back(lease.connection);
                return Err(Miss::not_sent(reason));
            }
        };
        let exchanged = exchange(host, work, &mut lease, instance.as_deref(), started_us).await;
        facts.run_us = host.now_us() - started_us;
        host.events.latencies.add(Stage::ServerRun, facts.run_us);
        match exchanged {
            Ok(response) => {
                let answer_facts = answers::decode_facts(&response);
                observe(host, &answer_facts);
                host.server.give_back(lease.connection);
                let checked = check(host, &answer_facts, response)?;
                if checked.head.status < SERVER_ERROR_MIN {
                    admitted.usual_run_us = Some(usual_us(facts.run_us, facts.slowness));
                }
                return Ok(checked);
            }
            Err(Lost::Exchange(error)) if error.nothing_written && lease.reused => {
                lease = self::lease(host, host.server.open().await)?;
            }
            Err(Lost::Exchange(error)) => {
                log::debug!(
                    "executor: request {} lost its connection: {}",
                    work.id,
                    error.cause
                );
                host.gate.with(HostGate::suspect_restart);
                return Err(if error.nothing_written {
                    Miss::not_sent(RefusalReason::ServerAbsent)
                } else {
                    Miss::unknown(RefusalReason::ConnectionLost)
                });
            }
            Err(Lost::Deadline) => return Err(Miss::unknown(RefusalReason::DeadlinePassedRunning)),
        }
    }
}

/// Holds an admitted request while its backend server is slow, if that pays.
async fn await_pace(host: &Arc<Host>, work: &HostWork) -> Result<(), Miss> {
    loop {
        if host.gate.with(|gate| gate.slowness_age_us(host.now_us())) > SLOWNESS_AGE_MAX_US {
            probe::refresh(host).await;
        }
        let now_us = host.now_us();
        let pace = host
            .gate
            .with(|gate| gate.slow_phase_action(&work.timing, now_us));
        match pace {
            SlowPhaseAction::Send => return Ok(()),
            SlowPhaseAction::Reroute => return Err(Miss::not_sent(RefusalReason::ServerSlow)),
            SlowPhaseAction::Hold => tokio::time::sleep(PACE_PAUSE).await,
        }
    }
}

fn lease(host: &Host, leased: std::io::Result<Lease>) -> Result<Lease, Miss> {
    leased.map_err(|error| {
        host.note_server_unreachable(&error);
        Miss::not_sent(RefusalReason::ServerAbsent)
    })
}

enum Lost {
    Exchange(ExchangeError),
    Deadline,
}

async fn exchange(
    host: &Host,
    work: &HostWork,
    lease: &mut Lease,
    instance: Option<&str>,
    now_us: u64,
) -> Result<Response, Lost> {
    let left_us = work.timing.deadline_us.saturating_sub(now_us);
    let request = requests::encode(work, instance, left_us);
    let belongs =
        |response: &Response| answers::request_id_of(response).is_none_or(|id| id == &*work.id);
    let head_only = work.method == "HEAD";
    let exchange = lease
        .connection
        .exchange(&request, head_only, ANSWER_LIMITS, belongs);
    let deadline = host.clock.instant_at(work.timing.deadline_us);
    match tokio::time::timeout_at(deadline.into(), exchange).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(error)) => Err(Lost::Exchange(error)),
        Err(_elapsed) => Err(Lost::Deadline),
    }
}

/// Takes what an answer tells of the backend server into the gate.
pub fn observe(host: &Host, facts: &AnswerFacts) {
    let now_us = host.now_us();
    host.gate
        .with(|gate| gate.observe_report(facts.report, now_us));
}

/// Decides whether a response is the backend server's whole answer to the request.
fn check(host: &Host, facts: &AnswerFacts, response: Response) -> Result<Response, Miss> {
    if facts.not_run {
        if facts.instance.is_some() {
            host.gate.with(HostGate::suspect_restart);
        }
        return Err(Miss::shed());
    }
    if facts.signed && facts.request_id.is_some() {
        return Ok(response);
    }
    Err(Miss::unknown(RefusalReason::AnswerBroken))
}
