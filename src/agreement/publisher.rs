//! Publishes changes: performs the I/O for the state machine in [`super::publish`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::change::Change;
use super::follower::{ReadToEndError, read_to_end};
use super::publish::{Action, Event, NotAcceptedReason, PublishAttempt, PublishOutcome};
use super::record::RecordWire;
use crate::edge::log_client::{LogClient, LogError};
use crate::kernel::Kernel;
use crate::kernel::metrics;
use crate::kernel::shards::lock;
use crate::model::ids::ChangeId;

/// Time after which the operator is told an outcome at the latest, in ms.
const REPORT_DEADLINE_MS: u64 = 10_000;
/// Time from the start in which an outcome is looked for, in ms.
///
/// The search goes on after the operator was told that the outcome is unknown.
const RESOLVE_DEADLINE_MS: u64 = 60_000;
/// Pause between two reads that look for the outcome, in ms.
const RESOLVE_PAUSE_MS: u64 = 200;

type OutcomeReceiver = watch::Receiver<Option<PublishOutcome>>;

/// Changes that this node is publishing, by id.
#[derive(Debug, Default)]
pub struct Publisher {
    running: Arc<Mutex<HashMap<ChangeId, OutcomeReceiver>>>,
}

impl Publisher {
    /// Publishes a change, or waits for a running attempt with the same id.
    ///
    /// The attempt continues when the caller drops the future.
    pub async fn publish(&self, kernel: &Arc<Kernel>, change: Change) -> PublishOutcome {
        let mut outcomes = self.start(kernel, change);
        match outcomes.wait_for(Option::is_some).await {
            Ok(report) => report.clone().unwrap_or(PublishOutcome::Unknown),
            Err(_ended) => PublishOutcome::Unknown,
        }
    }

    fn start(&self, kernel: &Arc<Kernel>, change: Change) -> OutcomeReceiver {
        let mut running = lock(&self.running);
        if let Some(outcomes) = running.get(&change.id) {
            return outcomes.clone();
        }
        let (sender, outcomes) = watch::channel(None);
        running.insert(change.id.clone(), outcomes.clone());
        let (task_kernel, running_changes) = (Arc::clone(kernel), Arc::clone(&self.running));
        kernel.tasks.spawn(async move {
            let id = change.id.clone();
            let work = run_attempt(&task_kernel, change, &sender);
            tokio::select! {
                () = task_kernel.stop.stopped() => {}
                () = work => {}
            }
            lock(&running_changes).remove(&id);
        });
        outcomes
    }
}

/// Drives the state machine until the outcome is final or the deadline has passed.
async fn run_attempt(
    kernel: &Kernel,
    change: Change,
    sender: &watch::Sender<Option<PublishOutcome>>,
) {
    let log = kernel.config_log();
    let text = RecordWire::from(&change).to_text();
    let mut attempt = PublishAttempt::new(change);
    let started_at = Instant::now();
    let report_by = started_at + Duration::from_millis(REPORT_DEADLINE_MS);
    let resolve_by = started_at + Duration::from_millis(RESOLVE_DEADLINE_MS);
    let mut action = Action::ReadToEnd;
    while Instant::now() < resolve_by {
        let overdue = sender.borrow().is_none() && Instant::now() >= report_by;
        let event = match action {
            // This attempt appended nothing yet, so the refusal is certain.
            Action::Append if overdue => Event::AppendRefused(NotAcceptedReason::ReadTooSlow),
            _ if overdue => Event::DeadlinePassed,
            Action::ReadToEnd => read(kernel, &log).await,
            Action::Append => append(kernel, &log, &text).await,
            Action::Wait | Action::Report(_) => {
                tokio::time::sleep(Duration::from_millis(RESOLVE_PAUSE_MS)).await;
                read(kernel, &log).await
            }
        };
        action = kernel
            .state
            .config_fold
            .with(|fold| attempt.on(event, fold));
        if let Action::Report(outcome) = &action {
            log::info!("publish: change {} is {outcome:?}", attempt.change().id);
            sender.send_replace(Some(outcome.clone()));
        }
        if attempt.is_done() {
            return;
        }
    }
}

async fn read(kernel: &Kernel, log: &LogClient) -> Event {
    match read_to_end(kernel, log).await {
        Ok(()) => Event::ReadToEnd,
        Err(error) => {
            kernel.metrics.count(metrics::Event::LogFailed);
            log::warn!("publish: {error}");
            Event::ReadFailed(read_failure_reason(&error))
        }
    }
}

fn read_failure_reason(error: &ReadToEndError) -> NotAcceptedReason {
    match error {
        ReadToEndError::Log(error) => error
            .not_appended()
            .unwrap_or(NotAcceptedReason::ReadTooSlow),
        ReadToEndError::LogIncomplete => NotAcceptedReason::LogIncomplete,
    }
}

async fn append(kernel: &Kernel, log: &LogClient, text: &str) -> Event {
    match log.append(text).await {
        Ok(offset) => Event::Appended { offset },
        Err(error) => append_failure_event(kernel, &error),
    }
}

fn append_failure_event(kernel: &Kernel, error: &LogError) -> Event {
    kernel.metrics.count(metrics::Event::LogFailed);
    log::warn!("publish: {error}");
    error
        .not_appended()
        .map_or(Event::AppendLost, Event::AppendRefused)
}
