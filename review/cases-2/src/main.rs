//! Cases of the second review, each with its stand-ins in this process and the nodes of the project
//! as processes of their own. Usage: `cases NUMBER RECORD DIRECTORY`; `TROUBLE=0` leaves out the
//! disruption. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod backend;
mod client;
mod cold_unnoticed;
mod http;
mod kept_connections;
mod large_upload;
mod last_readers;
mod leave_unapplied;
mod narrow_link;
mod node;
mod record;
mod stop_behind_link;
mod store;

use std::process::ExitCode;

use record::Record;

/// What a case found.
pub enum Found {
    Broken(String),
    Held(String),
    CannotRun(String),
}

/// What a case gets.
pub struct Case<'a> {
    pub record: &'a Record,
    pub directory: &'a str,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, record_path, directory] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD DIRECTORY");
        return ExitCode::from(2);
    };
    let record = Record::start();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    record.note("case", &format!("{name} trouble={trouble}"));
    let case = Case {
        record: &record,
        directory,
        trouble,
    };
    let found = match name.as_str() {
        "cold-unnoticed" => cold_unnoticed::run(&case),
        "deregistration-before-heartbeat" => {
            leave_unapplied::deregistration_before_heartbeat(&case)
        }
        "earlier-start-time" => leave_unapplied::earlier_start_time(&case),
        "kept-connections" => kept_connections::run(&case),
        "large-upload" => large_upload::run(&case),
        "last-readers" => last_readers::run(&case),
        "stop-behind-link" => stop_behind_link::run(&case),
        _ => Found::CannotRun("no such case".to_owned()),
    };
    let (code, text) = match found {
        Found::Broken(text) => (1, format!("BROKEN: {text}")),
        Found::Held(text) => (0, format!("held: {text}")),
        Found::CannotRun(text) => (2, format!("could not run: {text}")),
    };
    record.note("verdict", &text);
    record.write(record_path);
    println!("{text}");
    ExitCode::from(code)
}

/// A configuration with one route for each given `(name, prefix, effect, service, timeout_ms,
/// objective_ms)`, and what the services have in common.
pub fn config(
    version: u64,
    routes: &[(&str, &str, &str, &str, u64, u64)],
    services: &[&str],
    cold_per_s: f64,
) -> String {
    config_with_body_limit(version, routes, services, cold_per_s, 1_048_576)
}

/// The same with a limit of bodies, in bytes.
pub fn config_with_body_limit(
    version: u64,
    routes: &[(&str, &str, &str, &str, u64, u64)],
    services: &[&str],
    cold_per_s: f64,
    body_bytes_max: usize,
) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(name, prefix, effect, service, timeout_ms, objective_ms)| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"api.example\",\"path_prefix\":\"{prefix}\",\"effect\":\"{effect}\",\
                 \"timeout_ms\":{timeout_ms},\"objective_ms\":{objective_ms},\"rank\":1,\"service\":\"{service}\",\"servers_max\":3}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"connections_max\":220,\
                 \"cold_start_s\":3000,\"cold_requests_per_s\":{cold_per_s}}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"head_bytes_max\":16384,\
         \"body_bytes_max\":{body_bytes_max},\"head_timeout_ms\":5000,\"idle_timeout_ms\":10000}}}}",
        routes.join(","),
        services.join(","),
    )
}

/// Present time of day, in Unix ms.
pub fn time_of_day_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
