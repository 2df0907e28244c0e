//! Readable difference between two configurations.

use std::collections::BTreeSet;
use std::fmt::Display;

use serde_json::Value;

use crate::model::config::Config;

/// The difference as text, one line each, or `no difference` when there is none.
pub fn difference(before: &Config, after: &Config) -> String {
    let mut lines = Vec::new();
    service_lines(before, after, &mut lines);
    set_lines("zone out", &before.zones_out, &after.zones_out, &mut lines);
    set_lines(
        "server out",
        &before.servers_out,
        &after.servers_out,
        &mut lines,
    );
    if lines.is_empty() {
        lines.push("no difference".to_owned());
    }
    lines.join("\n")
}

fn service_lines(before: &Config, after: &Config, lines: &mut Vec<String>) {
    let names: BTreeSet<_> = before
        .services
        .keys()
        .chain(after.services.keys())
        .collect();
    for name in names {
        let old = json_of(before.services.get(name));
        let new = json_of(after.services.get(name));
        value_lines(&format!("service {name}"), &old, &new, lines);
    }
}

fn json_of(value: Option<impl serde::Serialize>) -> Value {
    value.map_or(Value::Null, |value| {
        serde_json::to_value(value).expect("a service has text keys and finite numbers")
    })
}

fn value_lines(path: &str, old: &Value, new: &Value, lines: &mut Vec<String>) {
    if old == new {
        return;
    }
    match (old, new) {
        (Value::Object(old), Value::Object(new)) => {
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let side = |side: &serde_json::Map<String, Value>| {
                    side.get(key).cloned().unwrap_or(Value::Null)
                };
                value_lines(&format!("{path} {key}"), &side(old), &side(new), lines);
            }
        }
        (Value::Array(old), Value::Array(new)) => {
            let gone = old.iter().filter(|item| !new.contains(item));
            lines.extend(gone.map(|item| format!("- {path}: {item}")));
            let added = new.iter().filter(|item| !old.contains(item));
            lines.extend(added.map(|item| format!("+ {path}: {item}")));
        }
        (Value::Null, new) => lines.push(format!("+ {path}: {new}")),
        (old, Value::Null) => lines.push(format!("- {path}: {old}")),
        (old, new) => lines.push(format!("~ {path}: {old} -> {new}")),
    }
}

fn set_lines<T: Ord + Display>(
    what: &str,
    before: &BTreeSet<T>,
    after: &BTreeSet<T>,
    lines: &mut Vec<String>,
) {
    lines.extend(
        after
            .difference(before)
            .map(|name| format!("+ {what}: {name}")),
    );
    lines.extend(
        before
            .difference(after)
            .map(|name| format!("- {what}: {name}")),
    );
}
