//! Settings of a backend server stand-in.

use std::net::{Ipv4Addr, SocketAddr};

/// What it is and what it bears.
#[derive(Debug, Clone, PartialEq, Eq, clap::Args)]
pub struct BackendServerSettings {
    /// Name of the backend server
    #[arg(long, default_value = "herd-1")]
    pub name: String,
    /// Service that it belongs to
    #[arg(long, default_value = "herd")]
    pub service: String,
    /// Address to listen on; port 0 takes a free one
    #[arg(long, default_value = "127.0.0.1:0")]
    pub listen: SocketAddr,
    /// Address of the node on its host, which it announces itself to
    #[arg(long)]
    pub announce: Option<SocketAddr>,
    /// Requests at once when warm; more are shed as not run
    #[arg(long, default_value_t = 12)]
    pub slots: u32,
    /// Open connections for work and probes; more are cut
    #[arg(long, default_value_t = 220)]
    pub connections: u32,
    /// Time that opening a connection takes, in µs
    #[arg(long, default_value_t = 1_000)]
    pub connection_open_us: u64,
    /// Time that one request runs, in µs
    #[arg(long, default_value_t = 2_000)]
    pub service_time_us: u64,
    /// Deviation of the service time to both sides, in percent
    #[arg(long, default_value_t = 0, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub service_time_spread_percent: u8,
    /// Requests at once that it bears in its cold start
    #[arg(long, default_value_t = 3)]
    pub cold_slots: u32,
    /// Length of the cold start, in ms
    #[arg(long, default_value_t = 3_000)]
    pub cold_ms: u64,
    /// Age of lagging health and load reports, in ms
    #[arg(long, default_value_t = 1_000)]
    pub report_lag_ms: u64,
    /// Seed of all random draws but the boot id
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl Default for BackendServerSettings {
    fn default() -> Self {
        Self {
            name: "herd-1".to_owned(),
            service: "herd".to_owned(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            announce: None,
            slots: 12,
            connections: 220,
            connection_open_us: 1_000,
            service_time_us: 2_000,
            service_time_spread_percent: 0,
            cold_slots: 3,
            cold_ms: 3_000,
            report_lag_ms: 1_000,
            seed: 1,
        }
    }
}
