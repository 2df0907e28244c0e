//! Starts each request at its intended time, on a thread of its own.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::try_join_all;
use hyper::{Method, Uri};
use tokio::runtime::Handle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::http::client::ClientError;

use super::arrivals::Arrivals;
use super::call::{Callers, KindState, call};
use super::kinds::RequestKind;
use super::pool::Pool;
use super::report::{KindReport, LoadReport};
use super::settings::LoadSettings;
use super::tally::{Counts, Tally};
use super::tickets::TicketStash;

/// Time before a send that is spent spinning, as sleeping is not finer.
const SPIN_US: u64 = 100;
/// Time between preparing a run and its first intended send time.
const START_DELAY_MS: u64 = 10;

/// Why a run could not start.
#[derive(Debug, displaydoc::Display)]
pub enum LoadError {
    /// no target is given
    NoTarget,
    /// no kind of request has weight
    NoKind,
    /// rate must be above 0 per second
    NoRate,
    /// kind {0} has a path that is no URI path
    BadPath(String),
    /// kind {0} has a method or header value that HTTP does not allow
    BadHeader(String),
    /// connections could not be opened: {0}
    Connect(ClientError),
    /// the sending thread failed
    Pacer,
}

impl std::error::Error for LoadError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Connect(error) => Some(error),
            _ => None,
        }
    }
}

impl From<ClientError> for LoadError {
    fn from(error: ClientError) -> Self {
        Self::Connect(error)
    }
}

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

fn prepare_arrivals(settings: &LoadSettings) -> Result<Arrivals, LoadError> {
    if settings.targets.is_empty() {
        return Err(LoadError::NoTarget);
    }
    if settings.rate_per_s <= 0.0 || !settings.rate_per_s.is_finite() {
        return Err(LoadError::NoRate);
    }
    Arrivals::new(settings).ok_or(LoadError::NoKind)
}

async fn prepare_callers(settings: &LoadSettings) -> Result<Callers, LoadError> {
    let kind = |kind| prepare_kind(kind, settings.records_claims);
    let kinds = settings
        .kinds
        .iter()
        .map(kind)
        .collect::<Result<Vec<_>, _>>()?;
    let pools = settings
        .targets
        .iter()
        .map(|target| Pool::open(*target, settings.connections));
    Ok(Callers {
        kinds,
        pools: try_join_all(pools).await?,
        route: settings.route,
        timeout_ms: settings.timeout_ms,
        run_id: rand::random(),
        start: Instant::now() + Duration::from_millis(START_DELAY_MS),
    })
}

fn prepare_kind(kind: &RequestKind, records_claims: bool) -> Result<KindState, LoadError> {
    check_headers(kind)?;
    let uri: Result<Uri, _> = kind.path.parse();
    let Some(uri) = uri.ok().filter(|_| kind.path.starts_with('/')) else {
        return Err(LoadError::BadPath(kind.label()));
    };
    Ok(KindState {
        uri,
        body: Bytes::from(vec![b'x'; kind.body_bytes]),
        tickets: TicketStash::default(),
        tally: Tally::new(records_claims),
        kind: kind.clone(),
    })
}

fn check_headers(kind: &RequestKind) -> Result<(), LoadError> {
    let is_value = |text: &str| hyper::header::HeaderValue::from_str(text).is_ok();
    let method = Method::from_bytes(kind.method.as_bytes()).is_ok();
    let branch = is_value(&kind.branch);
    let priority = kind.priority.as_deref().is_none_or(is_value);
    if method && branch && priority {
        return Ok(());
    }
    Err(LoadError::BadHeader(kind.label()))
}

/// What the sending thread needs.
#[derive(Debug)]
struct Sending {
    callers: Arc<Callers>,
    on_their_way: TaskTracker,
    runtime: Handle,
    stop: CancellationToken,
}

impl Sending {
    fn send_all(&self, arrivals: Arrivals) {
        for arrival in arrivals {
            wait_until(self.callers.start + arrival.time);
            if self.stop.is_cancelled() {
                return;
            }
            let calling = call(Arc::clone(&self.callers), arrival);
            let stop = self.stop.clone();
            let until_stop = async move { stop.run_until_cancelled(calling).await };
            self.on_their_way.spawn_on(until_stop, &self.runtime);
        }
    }
}

fn wait_until(due: Instant) {
    let spin = Duration::from_micros(SPIN_US);
    let sleep = due
        .saturating_duration_since(Instant::now())
        .saturating_sub(spin);
    if !sleep.is_zero() {
        std::thread::sleep(sleep);
    }
    while Instant::now() < due {
        std::hint::spin_loop();
    }
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
