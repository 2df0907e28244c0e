//! Settings of the administration API.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::check::Problems;
use super::peer::Secret;
use crate::operators::admin_api::access::TOKEN_BYTES_MIN;

/// Listener and token of the administration API.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminSettings {
    /// Address to listen on for operators; the API is off without one.
    #[serde(default)]
    pub listen: Option<SocketAddr>,
    /// Token that operators must present; required unless `listen` is a loopback address.
    #[serde(default)]
    pub token: Option<Secret>,
}

impl AdminSettings {
    pub(super) fn check(&self, problems: &mut Problems) {
        let Some(listen) = self.listen else { return };
        if !listen.ip().is_loopback() && self.token.is_none() {
            problems.add(
                "admin.listen",
                listen,
                "a loopback address, or any address with admin.token set",
            );
        }
        if self
            .token
            .as_ref()
            .is_some_and(|token| token.expose().trim().len() < TOKEN_BYTES_MIN)
        {
            let fits = format!("at least {TOKEN_BYTES_MIN} bytes, or no admin.token");
            problems.add("admin.token", "a shorter token", fits);
        }
    }
}
