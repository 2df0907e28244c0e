//! Lines of the structured log about the local backend server and what it may run.

use std::fmt::Display;

use crate::decision::host::announcement::{Announcement, Freshness};
use crate::decision::host::crash_watch::Crash;
use crate::decision::host::poison_requests::Quarantine;
use crate::decision::host::suspect::Suspect;
use crate::host::observe::events::EventLog;
use crate::host::observe::log_writer::LinePriority;
use crate::host::observe::request_lines::shortened;
use crate::model::load::ServerState;
use crate::model::request_digest::RequestDigest;
use crate::model::units::US_PER_MS;

/// Maximum number of requests that the line of a crash lists.
const LISTED_RUNS_MAX: usize = 32;

impl EventLog {
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

    /// Logs the last message of a backend server.
    pub fn leave_acknowledged(&self, instance: &str, start_time_ms: u64, is_contested: bool) {
        self.write(
            LinePriority::Notable,
            "leave-acknowledged",
            serde_json::json!({
                "instance": shortened(instance),
                "start_time_ms": start_time_ms,
                "contested": is_contested,
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
                "target": shortened(target), "error": shortened(&error.to_string()),
            }),
        );
    }

    /// Logs and counts an order of a roll-out that cannot be used; the one before is withdrawn.
    pub fn rollout_refused(&self, key: &str, error: &impl Display) {
        self.count("rollout_orders_refused");
        let error = error.to_string();
        let fields = serde_json::json!({"key": shortened(key), "error": shortened(&error)});
        self.write(LinePriority::Notable, "rollout-refused", fields);
    }

    /// Logs a configuration that cannot be used; the one before stays in force.
    pub fn config_refused(&self, error: &impl Display) {
        let fields = serde_json::json!({"error": shortened(&error.to_string())});
        self.write(LinePriority::Notable, "config-refused", fields);
    }

    /// Logs and counts the record of a host that cannot be used.
    pub fn introduction_refused(&self, key: &str) {
        self.count("introductions_refused");
        let fields = serde_json::json!({"key": shortened(key)});
        self.write(LinePriority::Notable, "introduction-refused", fields);
    }
}
