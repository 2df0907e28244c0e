//! Structured event log and the metrics of the same events.
//!
//! Each decision about a request and each change in what the node knows is one JSON line.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Write;
use std::net::IpAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use serde::Serialize;
use serde_json::{Map, Value};

use super::context::Host;
use super::knowledge::ConfigAge;
use super::latency::{Latencies, Stage};
use super::log_writer::{LinePriority, LogWriter};
use super::request_lines::{
    Completed, FailedAttempt, Refused, Rejected, Run, host_label, host_labels, is_client_error,
    shortened,
};
use crate::decision::host::announcement::{Announcement, Freshness};
use crate::decision::host::crash_watch::Crash;
use crate::decision::host::poison_requests::Quarantine;
use crate::decision::host::suspect::Suspect;
use crate::kernel::clock::Clock;
use crate::kernel::shards::lock;
use crate::model::host_request::SERVER_ERROR_MIN;
use crate::model::load::ServerState;
use crate::model::names::ServiceName;
use crate::model::request_digest::RequestDigest;
use crate::model::units::{US_PER_MS, US_PER_S};

/// Maximum number of requests that the line of a crash lists.
const LISTED_RUNS_MAX: usize = 32;

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
    /// Resolving the outcome of a lost request.
    Settle,
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

/// Structured log and metrics of one node.
#[derive(Debug)]
pub struct EventLog {
    clock: Clock,
    host: Arc<str>,
    writer: LogWriter,
    written_lines: AtomicU64,
    open_count: AtomicU64,
    counters: Mutex<BTreeMap<String, u64>>,
    /// Latency histograms of the stages of requests.
    pub latencies: Latencies,
}

/// Guard that counts a caller's request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest<'a>(&'a EventLog);

impl Drop for OpenRequest<'_> {
    fn drop(&mut self) {
        self.0.open_count.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EventLog {
    /// Creates the log and starts its writer thread.
    pub fn start(host: &Arc<str>, clock: Clock, output: Box<dyn Write + Send>) -> Self {
        Self {
            clock,
            host: Arc::clone(host),
            writer: LogWriter::start(output),
            written_lines: AtomicU64::new(0),
            open_count: AtomicU64::new(0),
            counters: Mutex::default(),
            latencies: Latencies::default(),
        }
    }

    /// Counts a caller's request as open until the guard is dropped.
    pub fn open_request(&self) -> OpenRequest<'_> {
        self.open_count.fetch_add(1, Ordering::Relaxed);
        OpenRequest(self)
    }

    /// Returns the number of callers' requests that are open.
    pub fn open_requests(&self) -> u64 {
        self.open_count.load(Ordering::Relaxed)
    }

    /// Logs a change in the lifecycle of the process or in what it knows.
    pub fn state_changed(&self, event: &'static str, fields: Value) {
        self.write(LinePriority::Notable, event, fields);
    }

    /// Writes the remaining lines at the end of the process.
    pub fn finish(&self) {
        self.writer.finish();
    }

    /// Logs and counts a complete answer.
    pub fn answered(&self, completed: &Completed<'_>) {
        self.latencies.add(Stage::Answered, completed.took_us);
        let timeliness = if completed.in_time { "in-time" } else { "late" };
        self.count(&format!(
            "answers{{status=\"{}\",time=\"{timeliness}\"}}",
            completed.status
        ));
        let priority = match completed.status {
            status if is_client_error(status) => LinePriority::ClientError,
            status if completed.in_time && status < SERVER_ERROR_MIN => LinePriority::RoutineAnswer,
            _ => LinePriority::Notable,
        };
        self.write(
            priority,
            "answered",
            serde_json::json!({
                "id": completed.id,
                "route": completed.route,
                "service": completed.service.as_str(),
                "tried": host_labels(completed.tried),
                "instance": completed.instance,
                "status": completed.status,
                "took_ms": completed.took_us / 1_000,
                "left_ms": completed.left_us / 1_000,
                "in_time": completed.in_time,
                "config_version": completed.config_version,
            }),
        );
    }

    /// Logs and counts a request that received no answer from a backend server.
    pub fn refused(&self, refused: &Refused<'_>) {
        self.latencies.add(Stage::Refused, refused.took_us);
        let reason = refused.failure.reason.as_str();
        let not_run = refused.failure.is_not_run();
        self.count(&format!(
            "refusals{{reason=\"{reason}\",not_run=\"{not_run}\"}}"
        ));
        self.write(
            LinePriority::Notable,
            "refused",
            serde_json::json!({
                "id": refused.id,
                "route": refused.route,
                "service": refused.service.map(ServiceName::as_str),
                "tried": host_labels(refused.tried),
                "reason": reason,
                "not_run": not_run,
                "took_ms": refused.took_us / 1_000,
                "retry_after_ms": refused.failure.retry_after_ms(),
                "config_version": refused.config_version,
            }),
        );
    }

    /// Logs and counts a request that matches no route; the caller gets 404.
    pub fn no_route(&self, id: &str, caller_host: &str, target: &str, config: &ConfigAge) {
        self.count("refusals{reason=\"no-route\",not_run=\"true\"}");
        self.count("rejections{status=\"404\",reason=\"no-route\"}");
        self.write(
            LinePriority::ClientError,
            "no-route",
            serde_json::json!({
                "id": shortened(id),
                "requested_host": shortened(caller_host),
                "target": shortened(target),
                "config_version": config.config_version,
                "config_age_ms": config.config_age_ms,
                "operator_log_age_ms": config.operator_log_age_ms,
            }),
        );
    }

    /// Logs and counts a request that could not be read, or bears no identifier.
    pub fn rejected(&self, rejected: &Rejected<'_>) {
        let (status, reason) = (rejected.status, rejected.reason);
        self.count(&format!(
            "rejections{{status=\"{status}\",reason=\"{reason}\"}}"
        ));
        let fields = serde_json::to_value(rejected).unwrap_or_default();
        self.write(LinePriority::ClientError, "rejected", fields);
    }

    /// Logs and counts a run at the backend server.
    pub fn ran(&self, run: &Run<'_>) {
        let at_service = run.is_at_its_service();
        self.count(&format!("runs{{at_service=\"{at_service}\"}}"));
        let priority = match run.status {
            Some(status) if is_client_error(status) => LinePriority::ClientError,
            _ if at_service => LinePriority::RoutineRun,
            _ => LinePriority::Notable,
        };
        let fields = serde_json::to_value(run).unwrap_or_default();
        self.write(priority, "ran", fields);
    }

    /// Logs and counts a failed attempt.
    pub fn attempt_failed(&self, attempt: &FailedAttempt<'_>) {
        let failure = attempt.failure;
        self.count(&format!("misses{{reason=\"{}\"}}", failure.reason.as_str()));
        self.write(
            LinePriority::Notable,
            "missed",
            serde_json::json!({
                "id": attempt.id,
                "service": attempt.service.as_str(),
                "step": attempt.step,
                "reason": failure.reason.as_str(),
                "not_run": failure.is_not_run(),
                "arrived": failure.arrived,
                "inputs": attempt.inputs,
                "config_version": attempt.config_version,
            }),
        );
    }

    /// Logs and counts bytes from the backend server that are no answer to a request.
    pub fn answer_broken(&self, id: &str, status: Option<u16>, error: &impl Display) {
        self.count("broken_answers");
        self.write(
            LinePriority::Notable,
            "answer-broken",
            serde_json::json!({ "id": id, "status": status, "error": error.to_string() }),
        );
    }

    /// Logs and counts a run that ended after the objective of its request.
    pub fn ran_late(&self, run: &LateRun<'_>) {
        self.count("late_runs");
        let fields = serde_json::to_value(run).unwrap_or_default();
        self.write(LinePriority::Notable, "ran-late", fields);
    }

    /// Logs and counts a further attempt at another host.
    pub fn retried(&self, id: &str, from: Option<IpAddr>, to: Option<IpAddr>, arrivals: u32) {
        self.count("retries");
        self.write(
            LinePriority::Notable,
            "retried",
            serde_json::json!({
                "id": id, "from": host_label(from), "to": host_label(to), "arrivals": arrivals,
            }),
        );
    }

    /// Logs and counts a retry for which the budget of the service is spent.
    pub fn retry_denied(&self, id: &str, service: &ServiceName) {
        self.count("retries_denied");
        self.write(
            LinePriority::Notable,
            "retry-denied",
            serde_json::json!({ "id": id, "service": service.as_str() }),
        );
    }

    /// Logs and counts a failed connection to another node.
    pub fn peer_lost(&self, id: &str, peer: IpAddr, error: &impl Display) {
        self.count("peer_connections_lost");
        self.write(
            LinePriority::Notable,
            "peer-lost",
            serde_json::json!({
                "id": id, "peer": peer, "error": error.to_string(),
            }),
        );
    }

    /// Counts a failed connection to the backend server and logs it if `is_new`.
    pub fn server_unreachable(&self, error: &impl Display, is_new: bool) {
        self.count("server_connect_failures");
        if !is_new {
            return;
        }
        self.write(
            LinePriority::Notable,
            "server-unreachable",
            serde_json::json!({
                "error": error.to_string(),
            }),
        );
    }

    /// Logs and counts the end of a backend server, with the requests that ran there.
    pub fn server_crashed(&self, crash: &Crash) {
        self.count("server_crashes");
        let runs = crash.runs.iter().take(LISTED_RUNS_MAX);
        let listed: Vec<_> = runs
            .map(|run| serde_json::json!({"id": &*run.id, "digest": run.digest.to_string()}))
            .collect();
        let fields = serde_json::json!({
            "crash": crash.id.to_string(),
            "instance": &*crash.instance,
            "lost_runs": crash.runs.len(),
            "runs": listed,
        });
        self.write(LinePriority::Notable, "server-crashed", fields);
    }

    /// Logs and counts the refusal of a request that is in quarantine, with the crashes against it.
    pub fn quarantine_refused(&self, id: &str, suspect: &Suspect, now_us: u64) {
        self.count("quarantine_refusals");
        let crashes: Vec<_> = suspect
            .standing()
            .map(|mark| {
                let age_ms = mark.age_ms(now_us);
                serde_json::json!({"crash": mark.crash.to_string(), "age_ms": age_ms})
            })
            .collect();
        let fields = serde_json::json!({
            "id": id, "digest": suspect.digest.to_string(), "crashes": crashes,
        });
        self.write(LinePriority::Notable, "quarantine-refused", fields);
    }

    /// Logs and counts that a request is in quarantine, because of a crash that was not known here.
    pub fn quarantined(&self, digest: RequestDigest, quarantine: Quarantine) {
        self.count("quarantines");
        let fields = serde_json::json!({
            "digest": digest.to_string(),
            "crashes": quarantine.crashes,
            "left_ms": quarantine.left_us / US_PER_MS,
        });
        self.write(LinePriority::Notable, "quarantined", fields);
    }

    /// Logs and counts that a suspected request was answered.
    pub fn suspicion_refuted(&self, id: &str, digest: RequestDigest) {
        self.count("suspicions_refuted");
        let fields = serde_json::json!({"id": id, "digest": digest.to_string()});
        self.write(LinePriority::Notable, "suspicion-refuted", fields);
    }

    /// Logs and counts a request rate that a backend server names in its answers.
    pub fn limit_named(&self, instance: &str, per_s: f64) {
        self.count("server_limits_named");
        let fields = serde_json::json!({"instance": instance, "per_s": per_s});
        self.write(LinePriority::Notable, "limit-named", fields);
    }

    /// Logs that a backend server no longer names a request rate.
    pub fn limit_ended(&self, instance: &str) {
        let fields = serde_json::json!({"instance": instance});
        self.write(LinePriority::Notable, "limit-ended", fields);
    }

    /// Logs and counts a text that a backend server names as its request rate, but is none.
    pub fn limit_refused(&self, instance: &str, text: &str) {
        self.count("server_limits_refused");
        let fields = serde_json::json!({"instance": instance, "text": shortened(text)});
        self.write(LinePriority::Notable, "limit-refused", fields);
    }

    /// Logs an announcement that changed the state of the gate.
    pub fn announced(&self, announcement: &Announcement, freshness: Freshness, state: ServerState) {
        self.write(
            LinePriority::Notable,
            "announced",
            serde_json::json!({
                "instance": &*announcement.instance,
                "service": announcement.service.as_str(),
                "born_ms": announcement.start_time_ms,
                "sequence": announcement.sequence,
                "said": format!("{:?}", announcement.state),
                "cold_left_ms": announcement.cold_left_us / 1_000,
                "new_start": freshness == Freshness::NewStart,
                "state": state,
            }),
        );
    }

    /// Logs and counts an announcement that was malformed or came from another sender.
    pub fn announcement_refused(&self, target: &str, error: &impl Display) {
        self.count("announcements_refused");
        self.write(
            LinePriority::Notable,
            "announcement-refused",
            serde_json::json!({
                "target": target, "error": error.to_string(),
            }),
        );
    }

    /// Increments a counter.
    ///
    /// Labels must come from closed sets, which bounds the number of counters.
    pub fn count(&self, counter: &str) {
        let mut counters = lock(&self.counters);
        match counters.get_mut(counter) {
            Some(count) => *count += 1,
            None => {
                counters.insert(counter.to_owned(), 1);
            }
        }
    }

    /// Returns counters, gauges and latencies in the Prometheus text format.
    pub fn metrics_text(&self, host: &Host) -> String {
        let load = host.gate.load();
        let mut text = String::new();
        let mut line = |name: &str, value: u64| {
            text.extend(["bronzelock_", name, " ", &value.to_string(), "\n"]);
        };
        for (counter, count) in lock(&self.counters).iter() {
            line(counter, *count);
        }
        line("gate_in_flight", u64::from(load.in_flight));
        line("gate_queued", u64::from(load.queued));
        line("gate_limit", u64::from(load.limit));
        line("server_slowness_percent", u64::from(load.slowness_percent));
        line(
            "server_connections_opened",
            host.server_connections.opened_count(),
        );
        line(
            "answer_memory_bytes",
            host.server_connections.answer_memory_bytes() as u64,
        );
        line(
            "config_version",
            host.config
                .load()
                .as_ref()
                .map_or(0, |config| config.version),
        );
        let (log_era, lost_records) = {
            let state = lock(&host.operator_state);
            (state.end().era, state.lost().len() as u64)
        };
        let quarantined = lock(&host.poison_requests).quarantined_count(host.now_us());
        line("quarantined_requests", quarantined as u64);
        line("log_era", log_era);
        line("log_lost_records", lost_records);
        line("peers_known", lock(&host.peers).node_count() as u64 - 1);
        line(
            "log_lines_written",
            self.written_lines.load(Ordering::Relaxed),
        );
        line("log_write_failures", self.writer.write_failure_count());
        let config = host.config_age();
        let ages = [
            ("config_age_ms", config.config_age_ms),
            ("operator_log_age_ms", config.operator_log_age_ms),
        ];
        for (name, age_ms) in ages {
            if let Some(age_ms) = age_ms {
                line(name, age_ms);
            }
        }
        text.push_str(&self.latencies.text());
        text
    }

    fn write(&self, priority: LinePriority, event: &'static str, fields: Value) {
        let now_us = self.clock.now_us();
        let added = self.writer.add(priority, event, now_us / US_PER_S, || {
            let mut line = Map::new();
            line.insert("time_ms".to_owned(), time_of_day_ms().into());
            line.insert("at_ms".to_owned(), (now_us / 1_000).into());
            line.insert("event".to_owned(), event.into());
            line.insert("host".to_owned(), (&*self.host).into());
            if let Value::Object(fields) = fields {
                line.extend(fields);
            }
            Value::Object(line).to_string().into_bytes()
        });
        if added {
            self.written_lines.fetch_add(1, Ordering::Relaxed);
        } else if !priority.is_sampled() {
            self.count(&format!("log_lines_dropped{{event=\"{event}\"}}"));
        }
    }
}

/// Returns the wall-clock time in ms, used to merge the logs of several hosts.
pub fn time_of_day_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.map_or(0, |since| since.as_millis() as u64)
}
