//! One load run from its settings to its report.

use std::sync::Arc;
use std::time::Duration;

use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::call::Callers;
use super::pacer::Sending;
use super::prepare::{LoadError, prepare_arrivals, prepare_callers};
use super::report::{KindReport, LoadReport};
use super::settings::LoadSettings;
use super::tally::Counts;

/// Sends all requests of a run and waits for their outcomes.
///
/// Dropping the future ends the sending and drops the requests on their way.
///
/// # Errors
/// [`LoadError`] when the settings cannot be used or no connection can be opened.
pub async fn run(settings: &LoadSettings) -> Result<LoadReport, LoadError> {
    let arrivals = prepare_arrivals(settings)?;
    let callers = Arc::new(prepare_callers(settings).await?);
    let stop = CancellationToken::new();
    let _stop_when_dropped = stop.clone().drop_guard();
    let on_their_way = TaskTracker::new();
    let sending = Sending {
        callers: Arc::clone(&callers),
        on_their_way: on_their_way.clone(),
        runtime: Handle::current(),
        stop,
    };
    let sent = tokio::task::spawn_blocking(move || sending.send_all(arrivals)).await;
    sent.map_err(|_panicked| LoadError::Pacer)?;
    on_their_way.close();
    on_their_way.wait().await;
    Ok(report(settings, &callers))
}

fn report(settings: &LoadSettings, callers: &Callers) -> LoadReport {
    let mut overall = Counts::default();
    let mut kinds = Vec::new();
    for state in &callers.kinds {
        let counts = state.tally.read();
        kinds.push(KindReport::new(state.kind.label(), &counts));
        overall.merge(&counts);
    }
    let duration_s = Duration::from_millis(settings.duration_ms).as_secs_f64();
    LoadReport {
        elapsed_ms: callers.start.elapsed().as_millis() as u64,
        answered_per_s: overall.answered as f64 / duration_s,
        overall: KindReport::new("all".to_owned(), &overall),
        kinds,
        claims: overall.claims,
    }
}
