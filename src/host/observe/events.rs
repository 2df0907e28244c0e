//! Structured event log and the metrics of the same events.
//!
//! Each decision about a request and each change in what the node knows is one JSON line.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::SystemTime;

use serde_json::{Map, Value};

use crate::host::observe::knowledge::ConfigAge;
use crate::host::observe::latency::{Latencies, Stage};
use crate::host::observe::log_writer::{LinePriority, LogWriter};
use crate::host::observe::request_lines::{
    Completed, LateRun, Refused, Rejected, Run, host_labels, is_client_error, shortened,
};
use crate::kernel::clock::Clock;
use crate::kernel::shards::lock;
use crate::model::host_request::SERVER_ERROR_MIN;
use crate::model::names::ServiceName;
use crate::model::units::US_PER_S;

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
                "since_first_ms": completed.since_first_us / 1_000,
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

    /// Logs and counts a request whose key no configuration has; the caller gets 401.
    pub fn unknown_key(&self, id: &str, route: &str, config: &ConfigAge) {
        self.count("rejections{status=\"401\",reason=\"unknown-key\"}");
        self.write(
            LinePriority::ClientError,
            "unknown-key",
            serde_json::json!({
                "id": shortened(id),
                "route": route,
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

    /// Returns the counters by name.
    pub fn counters(&self) -> BTreeMap<String, u64> {
        lock(&self.counters).clone()
    }

    /// Returns the number of lines written.
    pub fn written_lines(&self) -> u64 {
        self.written_lines.load(Ordering::Relaxed)
    }

    /// Returns the number of lines that could not be written.
    pub fn write_failures(&self) -> u64 {
        self.writer.write_failure_count()
    }

    /// Adds a line unless the log is full.
    pub fn write(&self, priority: LinePriority, event: &'static str, fields: Value) {
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
