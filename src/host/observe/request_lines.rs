//! Fields of the event log's lines about one request.

use std::net::{IpAddr, SocketAddr};

use serde::Serialize;
use serde_json::Value;

use crate::host::observe::knowledge::ConfigAge;
use crate::host::outcome::RequestFailure;
use crate::model::load::ServerState;
use crate::model::names::ServiceName;

/// Maximum length of text from callers in a line, in bytes.
const TEXT_BYTES_MAX: usize = 200;

/// Lowest status code of answers with an error of the caller, or a redirection.
const REDIRECTION_MIN: u16 = 300;

/// Lowest status code above these.
const SERVER_ERROR_MIN: u16 = crate::model::host_request::SERVER_ERROR_MIN;

/// Returns whether a status tells the caller to send another request.
pub fn is_client_error(status: u16) -> bool {
    (REDIRECTION_MIN..SERVER_ERROR_MIN).contains(&status)
}

/// Returns the start of a caller's text for the log.
pub fn shortened(text: &str) -> &str {
    &text[..text.floor_char_boundary(TEXT_BYTES_MAX)]
}

/// Hosts that were tried, in order; `None` is this host.
pub type TriedHosts = Vec<Option<IpAddr>>;

/// Returns the hosts for the log.
pub fn host_labels(hosts: &[Option<IpAddr>]) -> Value {
    hosts.iter().map(|ip| host_label(*ip)).collect()
}

/// Returns the address of a host for the log, or `own` for this host.
pub fn host_label(ip: Option<IpAddr>) -> String {
    ip.map_or_else(|| "own".to_owned(), |ip| ip.to_string())
}

/// Processing step of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Forwarding to another host.
    Forward,
    /// Waiting at the gate.
    Admit,
    /// Running at the backend server.
    Dispatch,
}

/// Values that a failed attempt was based on.
#[derive(Debug, Clone, Default, Serialize)]
pub struct FailureInputs {
    /// Requests waiting in the gate.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub queued: Option<u16>,
    /// Requests running on the backend server.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u16>,
    /// Maximum number of requests that may run at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limit: Option<u16>,
    /// Current run time of requests, in percent of their usual one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slowness_percent: Option<u16>,
    /// Time left until the deadline, in ms.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub left_ms: Option<u64>,
    /// State of the backend server, which says whether it accepts new work.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub state: Option<ServerState>,
    /// Host that was tried.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub peer: Option<IpAddr>,
}

impl FailureInputs {
    /// Creates inputs that name only the host that was tried.
    pub fn peer(ip: IpAddr) -> Self {
        Self {
            peer: Some(ip),
            ..Self::default()
        }
    }
}

/// A run at the backend server that ended after the objective of its request.
#[derive(Debug, Serialize)]
pub struct LateRun<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Time in the queue of the gate, in ms.
    pub waited_ms: u64,
    /// Time from sending the request to the end of its answer, in ms.
    pub run_ms: u64,
    /// Usual run time that the gate expected, in ms.
    pub usual_run_ms: u64,
    /// Run time when the request was sent, in percent of the usual one.
    pub slowness_percent: u16,
    /// Time by which the objective was missed, in ms.
    pub late_ms: u64,
    /// Urgency; 0 is the most urgent.
    pub rank: u8,
    /// State of the backend server.
    pub state: ServerState,
}

/// A request that received a complete answer.
#[derive(Debug)]
pub struct Completed<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Service that was chosen for it.
    pub service: &'a ServiceName,
    /// Hosts that were tried, in order.
    pub tried: &'a [Option<IpAddr>],
    /// Backend server that answered, if it says which one it is.
    pub instance: Option<&'a str>,
    /// Status of the answer.
    pub status: u16,
    /// Time since the request arrived, in µs.
    pub took_us: u64,
    /// How long before it the first attempt of its caller arrived, in µs.
    pub since_first_us: u64,
    /// Time left until the deadline, in µs.
    pub left_us: u64,
    /// Whether the answer met the latency objective of the route, which counts from the first attempt.
    pub in_time: bool,
    /// Version of the configuration that chose its route.
    pub config_version: u64,
}

/// A request that received no answer of a backend server.
#[derive(Debug)]
pub struct Refused<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Name of its route, if a configuration was known.
    pub route: Option<&'a str>,
    /// Service that was chosen for it, if one was.
    pub service: Option<&'a ServiceName>,
    /// Hosts that were tried, in order.
    pub tried: &'a [Option<IpAddr>],
    /// Why there is no answer.
    pub failure: &'a RequestFailure,
    /// Time since the request arrived, in µs.
    pub took_us: u64,
    /// Version of the configuration that chose its route.
    pub config_version: Option<u64>,
}

/// A failed attempt at one host.
#[derive(Debug)]
pub struct FailedAttempt<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Service that was to run it.
    pub service: &'a ServiceName,
    /// Where the attempt failed.
    pub step: Step,
    /// Why it failed.
    pub failure: &'a RequestFailure,
    /// What the failure was based on.
    pub inputs: &'a FailureInputs,
    /// Version of the configuration in force here.
    pub config_version: Option<u64>,
}

/// A run at the backend server, as the node beside it saw it.
#[derive(Debug, Serialize)]
pub struct Run<'a> {
    /// Identifier of the request.
    pub id: &'a str,
    /// Service that was asked for.
    pub service: &'a str,
    /// Service of the backend server, as far as known here.
    pub own_service: &'a str,
    /// Backend server that the request named as the one meant.
    pub target_instance: &'a str,
    /// Backend server that answered, if it says which one it is.
    pub instance: Option<&'a str>,
    /// Version of the backend server, where roll-outs are possible.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub version: Option<&'a str>,
    /// Status of the answer; `None` if there is none.
    pub status: Option<u16>,
    /// Time since the last announcement, in ms.
    pub announcement_age_ms: Option<u64>,
    /// Version of the configuration in force here.
    pub config_version: Option<u64>,
}

impl Run<'_> {
    /// Whether the request asked for the service of the backend server.
    pub fn is_at_its_service(&self) -> bool {
        self.own_service == self.service
    }
}

/// A request to which this node gave a 3xx or 4xx status of its own.
#[derive(Debug, Serialize)]
pub struct Rejected<'a> {
    /// Identifier of the request, if known.
    pub id: Option<&'a str>,
    /// Status that the caller got.
    pub status: u16,
    /// Why, from a closed set.
    pub reason: &'static str,
    /// What exactly was wrong.
    #[serde(skip_serializing_if = "str::is_empty")]
    pub detail: &'a str,
    /// Address of the caller.
    pub peer: SocketAddr,
    /// Method and target, or what was received in their place.
    pub first_line: &'a str,
    /// Number of bytes received but not read.
    pub unread_bytes: usize,
    /// Whether the status was sent, instead of only closing the connection.
    pub answered: bool,
    /// Configuration in force.
    #[serde(flatten)]
    pub config: ConfigAge,
}
