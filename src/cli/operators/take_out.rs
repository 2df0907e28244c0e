//! `zone` and `server`: takes out of service and brings back.

use hyper::Method;
use hyper::header::HeaderMap;
use serde::de::IgnoredAny;

use super::client::Call;
use super::console::Console;
use super::error::CliError;
use super::publish::{Submission, publish};
use super::{AdminArgs, ChangeArgs, Direction, client};

/// Runs the command on the path of the zone or server.
pub async fn run(
    direction: Direction,
    path: &str,
    admin: &AdminArgs,
    change: ChangeArgs,
    console: &mut Console<'_>,
) -> Result<(), CliError> {
    let client = client(admin)?;
    let config = Call {
        method: Method::GET,
        path: "/v1/config",
        headers: HeaderMap::new(),
        body: String::new(),
    };
    let base = client.versioned::<IgnoredAny>(config).await?.version;
    let method = match direction {
        Direction::Out => Method::PUT,
        Direction::In => Method::DELETE,
    };
    let submission = Submission {
        method,
        path,
        body: String::new(),
        base,
    };
    publish(&client, &submission, admin, change, console).await
}
