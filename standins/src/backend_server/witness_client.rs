//! Fetches the witnesses of backend server stand-ins over HTTP.

use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::try_join_all;
use http_body_util::Full;
use hyper::Request;
use hyper::header::HOST;

use crate::http::client::{ClientError, send_once};

use super::witness::{Witness, WitnessDetail};

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
