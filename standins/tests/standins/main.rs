//! Tests of the stand-ins and the load generator, in-process and over HTTP.

mod backend_server;
mod backend_server_faults;
mod load;
mod load_tickets;
mod log_service;
mod oracle;
mod precise_timer;
mod proxy;
mod support;
