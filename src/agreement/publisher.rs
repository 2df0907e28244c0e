//! Publishes changes: the I/O around the state machine in [`super::publish`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use super::change::Change;
use super::follower::{ReadToEndError, read_to_end};
use super::publish::{Action, Event, NotAcceptedReason, Publication, Publish};
use super::record::RecordWire;
use crate::edge::log_client::{LogClient, LogError};
use crate::kernel::Kernel;
use crate::kernel::metrics;
use crate::kernel::shards::lock;
use crate::model::ids::ChangeId;

/// Time in which an operator is told an outcome, in ms.
const REPORT_MS: u64 = 10_000;
/// Time for which an unknown outcome is looked for after it was reported, in ms.
const RESOLVE_MS: u64 = 60_000;
/// Pause between two reads for an unknown outcome, in ms.
const RESOLVE_PAUSE_MS: u64 = 200;

type Reports = watch::Receiver<Option<Publication>>;

/// Changes that this node is publishing, by id.
#[derive(Debug, Default)]
pub struct Publisher {
    running: Arc<Mutex<HashMap<ChangeId, Reports>>>,
}

impl Publisher {
    /// Publishes a change, or joins the publication of the same id.
    ///
    /// The work goes on when the caller goes away.
    pub async fn publish(&self, kernel: &Arc<Kernel>, change: Change) -> Publication {
        let mut reports = self.start(kernel, change);
        match reports.wait_for(Option::is_some).await {
            Ok(report) => report.clone().unwrap_or(Publication::Unknown),
            Err(_ended) => Publication::Unknown,
        }
    }

    fn start(&self, kernel: &Arc<Kernel>, change: Change) -> Reports {
        let mut running = lock(&self.running);
        if let Some(reports) = running.get(&change.id) {
            return reports.clone();
        }
        let (report, reports) = watch::channel(None);
        running.insert(change.id.clone(), reports.clone());
        let (kernel_of_task, table) = (Arc::clone(kernel), Arc::clone(&self.running));
        kernel.tasks.spawn(async move {
            let id = change.id.clone();
            let work = drive(&kernel_of_task, change, &report);
            tokio::select! {
                () = kernel_of_task.stop.stopped() => {}
                () = work => {}
            }
            lock(&table).remove(&id);
        });
        reports
    }
}

/// Feeds the state machine until the outcome is final or no longer looked for.
async fn drive(kernel: &Kernel, change: Change, report: &watch::Sender<Option<Publication>>) {
    let log = kernel.config_log();
    let text = RecordWire::from(&change).to_text();
    let mut publish = Publish::new(change);
    let started = Instant::now();
    let report_by = started + Duration::from_millis(REPORT_MS);
    let resolve_by = started + Duration::from_millis(RESOLVE_MS);
    let mut action = Action::ReadToEnd;
    while Instant::now() < resolve_by {
        let late = report.borrow().is_none() && Instant::now() >= report_by;
        let event = match action {
            // Nothing was appended yet, so the refusal is certain.
            Action::Append if late => Event::AppendRefused(NotAcceptedReason::ReadTooSlow),
            _ if late => Event::DeadlinePassed,
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
            .with(|fold| publish.on(event, fold));
        if let Action::Report(publication) = &action {
            log::info!("publish: change {} is {publication:?}", publish.change().id);
            report.send_replace(Some(publication.clone()));
        }
        if publish.is_done() {
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
            Event::ReadFailed(why_unread(&error))
        }
    }
}

fn why_unread(error: &ReadToEndError) -> NotAcceptedReason {
    match error {
        ReadToEndError::Log(error) => error
            .not_appended()
            .unwrap_or(NotAcceptedReason::ReadTooSlow),
        ReadToEndError::Stuck => NotAcceptedReason::LogIncomplete,
    }
}

async fn append(kernel: &Kernel, log: &LogClient, text: &str) -> Event {
    match log.append(text).await {
        Ok(offset) => Event::Appended { offset },
        Err(error) => lost_or_refused(kernel, &error),
    }
}

fn lost_or_refused(kernel: &Kernel, error: &LogError) -> Event {
    kernel.metrics.count(metrics::Event::LogFailed);
    log::warn!("publish: {error}");
    error
        .not_appended()
        .map_or(Event::AppendLost, Event::AppendRefused)
}
