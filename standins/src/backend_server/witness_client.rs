//! Fetches the witnesses of backend server stand-ins over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::try_join_all;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;
use tokio::time::sleep;

use crate::http::client::{ClientError, send_once};

use super::witness::{Witness, WitnessDetail};

/// Time between two looks at whether backend servers still work.
const SETTLE_POLL_MS: u64 = 250;
/// Time after which witnesses are taken in any case.
const SETTLE_LIMIT_MS: u64 = 10_000;

/// Why a witness could not be had.
#[derive(Debug, displaydoc::Display)]
pub enum WitnessError {
    /// witness not fetched: {0}
    Exchange(ClientError),
    /// witness of {server} not understood: {cause}
    Malformed {
        /// Address of the backend server.
        server: SocketAddr,
        /// What the parser reported.
        cause: serde_json::Error,
    },
}

impl std::error::Error for WitnessError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Exchange(error) => Some(error),
            Self::Malformed { cause, .. } => Some(cause),
        }
    }
}

/// Fetches the witnesses of all servers, in the order given.
///
/// # Errors
/// [`WitnessError`] of the first server that gives none.
pub async fn fetch_witnesses(
    servers: &[SocketAddr],
    detail: WitnessDetail,
) -> Result<Vec<Witness>, WitnessError> {
    try_join_all(servers.iter().map(|server| fetch(*server, detail))).await
}

/// Fetches all runs once nothing is in flight and no run is added any more.
///
/// A run that does not end within the limit is given as it stands.
///
/// # Errors
/// [`WitnessError`] of the first server that gives none.
pub async fn fetch_settled_witnesses(servers: &[SocketAddr]) -> Result<Vec<Witness>, WitnessError> {
    let mut before = Activity::of(&fetch_witnesses(servers, WitnessDetail::Totals).await?);
    for _ in 0..SETTLE_LIMIT_MS / SETTLE_POLL_MS {
        sleep(Duration::from_millis(SETTLE_POLL_MS)).await;
        let now = Activity::of(&fetch_witnesses(servers, WitnessDetail::Totals).await?);
        if now.in_flight == 0 && now == before {
            break;
        }
        before = now;
    }
    fetch_witnesses(servers, WitnessDetail::All).await
}

/// What changes while backend servers still work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Activity {
    in_flight: u64,
    runs: u64,
}

impl Activity {
    fn of(witnesses: &[Witness]) -> Self {
        Self {
            in_flight: witnesses.iter().map(|witness| witness.in_flight).sum(),
            runs: witnesses.iter().map(|witness| witness.runs).sum(),
        }
    }
}

async fn fetch(server: SocketAddr, detail: WitnessDetail) -> Result<Witness, WitnessError> {
    let path = format!("/-/witness?detail={}", detail.as_str());
    let request = Request::get(path).header(HOST, server.to_string());
    let request = request
        .body(Full::<Bytes>::default())
        .expect("a valid request");
    let answer = send_once(server, request)
        .await
        .map_err(WitnessError::Exchange)?;
    let witness = serde_json::from_slice(&answer.body);
    witness.map_err(|cause| WitnessError::Malformed { server, cause })
}
