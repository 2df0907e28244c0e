//! Tests of a host's node: decisions, HTTP/1.1 handling, decoding and metrics.

#[path = "../support/cases.rs"]
mod cases;

mod announcement;
mod answer_transport;
mod backend_answers;
mod branches;
mod claims;
mod cold_start;
mod connection_pool;
mod crash_watch;
mod event_log;
mod executions;
mod facts;
mod freshness;
mod full_links;
mod gate;
mod http1;
mod latency;
mod log_eras;
mod log_reader;
mod log_relay;
mod nested_calls;
mod peer_client;
mod peers;
mod placement;
mod platform;
mod poison_requests;
mod poll_schedule;
mod quarantine;
mod quotas;
mod refusals;
mod registration;
mod report_schedule;
mod report_targets;
mod request_reading;
mod retry_budget_rule;
mod returning_callers;
mod rollout;
mod routes;
mod run_table;
mod run_times;
mod server_limit;
mod settlement;
mod shared_retry_budget;
mod store_client;
