//! Checks the settings of a run and opens its connections.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::future::try_join_all;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};

use crate::http::client::ClientError;

use super::arrivals::Arrivals;
use super::call::{Callers, KindState};
use super::kinds::RequestKind;
use super::pool::Pool;
use super::settings::LoadSettings;
use super::tally::Tally;
use super::tickets::TicketStash;

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

/// Checks rate, targets and weights.
pub(super) fn prepare_arrivals(settings: &LoadSettings) -> Result<Arrivals, LoadError> {
    let uses_targets = settings.kinds.iter().any(|kind| kind.straight_to.is_none());
    if uses_targets && settings.targets.is_empty() {
        return Err(LoadError::NoTarget);
    }
    if settings.rate_per_s <= 0.0 || !settings.rate_per_s.is_finite() {
        return Err(LoadError::NoRate);
    }
    Arrivals::new(settings).ok_or(LoadError::NoKind)
}

/// Checks the kinds and opens all connections.
pub(super) async fn prepare_callers(settings: &LoadSettings) -> Result<Callers, LoadError> {
    let kinds = settings
        .kinds
        .iter()
        .map(|kind| prepare_kind(kind, settings));
    let pools = settings
        .targets
        .iter()
        .map(|target| Pool::open(*target, settings.connections));
    Ok(Callers {
        kinds: try_join_all(kinds).await?,
        pools: try_join_all(pools).await?,
        route: settings.route,
        timeout_ms: settings.timeout_ms,
        run_id: rand::random(),
        start: Instant::now() + Duration::from_millis(START_DELAY_MS),
    })
}

async fn prepare_kind(kind: &RequestKind, settings: &LoadSettings) -> Result<KindState, LoadError> {
    check_headers(kind)?;
    let uri: Result<Uri, _> = kind.path.parse();
    let Some(uri) = uri.ok().filter(|_| kind.path.starts_with('/')) else {
        return Err(LoadError::BadPath(kind.label()));
    };
    let straight = match kind.straight_to {
        Some(server) => Some(Pool::open(server, settings.connections).await?),
        None => None,
    };
    Ok(KindState {
        uri,
        straight,
        body: Bytes::from(vec![b'x'; kind.body_bytes]),
        tickets: TicketStash::default(),
        tally: Tally::new(settings.records_claims),
        kind: kind.clone(),
    })
}

fn check_headers(kind: &RequestKind) -> Result<(), LoadError> {
    let is_value = |text: &str| HeaderValue::from_str(text).is_ok();
    let method = Method::from_bytes(kind.method.as_bytes()).is_ok();
    let branch = is_value(&kind.branch);
    let priority = kind.priority.as_deref().is_none_or(is_value);
    if method && branch && priority {
        return Ok(());
    }
    Err(LoadError::BadHeader(kind.label()))
}
