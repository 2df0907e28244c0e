//! Puts together what the nodes' logs say of one request.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use serde_json::{Map, Value};

/// Time around a request's trail in which changes of its hosts are shown, in ms.
const CONTEXT_MS: u64 = 3_000;

/// Events that end a request's trail.
const FINAL_EVENTS: [&str; 4] = ["answered", "refused", "no-route", "rejected"];

/// Fields that are shown at the start of a line or not at all.
const PLACED_FIELDS: [&str; 5] = ["time_ms", "at_ms", "event", "host", "id"];

/// One line of a log.
#[derive(Debug, Clone)]
struct Entry {
    time_ms: u64,
    host: String,
    event: String,
    id: Option<String>,
    fields: Map<String, Value>,
}

/// Lines of several nodes' logs.
#[derive(Debug, Default)]
pub struct Trails {
    entries: Vec<Entry>,
    unreadable: usize,
    dropped: u64,
    /// Number of dropped lines of each event, as far as the logs tell.
    dropped_by_event: BTreeMap<String, u64>,
}

impl Trails {
    /// Adds the lines of one log. What stands before the first brace of a line is passed over.
    pub fn read(&mut self, text: &str) {
        for line in text.lines().filter(|line| !line.trim().is_empty()) {
            let parsed = line.find('{').map(|at| serde_json::from_str(&line[at..]));
            match parsed {
                Some(Ok(Value::Object(fields))) => self.add(fields),
                Some(Ok(_) | Err(_)) | None => self.unreadable += 1,
            }
        }
    }

    fn add(&mut self, fields: Map<String, Value>) {
        let text = |name: &str| fields.get(name).and_then(Value::as_str).map(str::to_owned);
        let Some(event) = text("event") else {
            self.unreadable += 1;
            return;
        };
        if event == "lines-dropped" {
            self.dropped += fields.get("count").and_then(Value::as_u64).unwrap_or(0);
            self.add_dropped_by_event(&fields);
        }
        self.entries.push(Entry {
            time_ms: fields.get("time_ms").and_then(Value::as_u64).unwrap_or(0),
            host: text("host").unwrap_or_default(),
            id: text("id"),
            event,
            fields,
        });
    }

    fn add_dropped_by_event(&mut self, fields: &Map<String, Value>) {
        let by_event = fields.get("by_event").and_then(Value::as_object);
        for (event, count) in by_event.into_iter().flatten() {
            let sum = self.dropped_by_event.entry(event.clone()).or_default();
            *sum += count.as_u64().unwrap_or(0);
        }
    }

    /// The path of the request `id` over all nodes, in order of time, and why it ends there.
    pub fn explain(&self, id: &str) -> String {
        let is_of_request = |entry: &&Entry| entry.id.as_deref() == Some(id);
        let own: Vec<&Entry> = self.entries.iter().filter(is_of_request).collect();
        let mut out = String::new();
        let (Some(from_ms), Some(to_ms)) = (
            own.iter().map(|entry| entry.time_ms).min(),
            own.iter().map(|entry| entry.time_ms).max(),
        ) else {
            out.push_str("no line names this request: plain answers are sampled, and lines may have been dropped\n");
            self.explain_input(&mut out);
            return out;
        };
        let hosts: BTreeSet<&str> = own.iter().map(|entry| entry.host.as_str()).collect();
        let is_context = |entry: &&Entry| {
            let near = entry.time_ms + CONTEXT_MS >= from_ms && entry.time_ms <= to_ms + CONTEXT_MS;
            entry.id.is_none() && near && hosts.contains(entry.host.as_str())
        };
        let mut shown = own.clone();
        shown.extend(self.entries.iter().filter(is_context));
        shown.sort_by_key(|entry| entry.time_ms);
        for entry in shown {
            entry.write_to(&mut out, from_ms);
        }
        out.push_str(ending(&own));
        self.explain_input(&mut out);
        out
    }

    fn explain_input(&self, out: &mut String) {
        if self.dropped > 0 {
            let _infallible =
                writeln!(out, "the logs say that {} lines were dropped", self.dropped);
        }
        for (event, count) in &self.dropped_by_event {
            let _infallible = writeln!(out, "  {count} of them {event}");
        }
        if self.unreadable > 0 {
            let _infallible = writeln!(out, "{} lines could not be read", self.unreadable);
        }
    }
}

impl Entry {
    fn write_to(&self, out: &mut String, from_ms: u64) {
        let after_ms = self.time_ms.cast_signed() - from_ms.cast_signed();
        let mark = if self.id.is_some() { ' ' } else { '~' };
        let _infallible = write!(out, "{after_ms:>7} ms {mark} {} {}", self.host, self.event);
        for (name, value) in &self.fields {
            if !PLACED_FIELDS.contains(&name.as_str()) && !value.is_null() {
                let _infallible = write!(out, " {name}={value}");
            }
        }
        out.push('\n');
    }
}

/// Says how the trail ends.
fn ending(own: &[&Entry]) -> &'static str {
    let ended = own
        .iter()
        .any(|entry| FINAL_EVENTS.contains(&entry.event.as_str()));
    if ended {
        "the trail ends with the answer to the caller\n"
    } else {
        "the trail ends without an answer to the caller: the caller left, the entry node ended, or its lines were dropped\n"
    }
}
