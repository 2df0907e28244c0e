//! Command line of the load generator.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::arrivals::{ArrivalSpacing, Burst};
use super::kinds::{RequestKind, read_kinds};
use super::settings::{LoadSettings, Route};

/// Arguments that describe one run.
#[derive(Debug, Clone, clap::Args)]
pub struct LoadArguments {
    /// Addresses that requests are spread over, separated by commas
    #[arg(long, required = true, value_delimiter = ',')]
    pub targets: Vec<SocketAddr>,
    /// Targets are backend server stand-ins; no tickets are used
    #[arg(long)]
    pub straight: bool,
    /// Path with its query
    #[arg(long, default_value = "/herd/cows/7")]
    pub path: String,
    /// HTTP method
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// Branch that the requests are for
    #[arg(long, default_value = "srisawat")]
    pub branch: String,
    /// Value of the header Priority
    #[arg(long)]
    pub priority: Option<String>,
    /// Requests are non-idempotent and follow the ticket protocol
    #[arg(long)]
    pub non_idempotent: bool,
    /// Length of each request body, in bytes
    #[arg(long, default_value_t = 0)]
    pub body_bytes: usize,
    /// File with a JSON list of kinds, in place of the flags for one kind
    #[arg(long)]
    pub kinds: Option<PathBuf>,
    /// Requests sent per second
    #[arg(long, default_value_t = 100.0)]
    pub rate: f64,
    /// Length of the run, in s
    #[arg(long, default_value_t = 10.0, value_parser = positive_seconds)]
    pub seconds: f64,
    /// How requests are spaced
    #[arg(long, value_enum, default_value = "poisson")]
    pub spacing: ArrivalSpacing,
    /// Time of a higher rate; may be repeated
    #[arg(long = "burst", value_name = "AT_MS:FOR_MS:FACTOR")]
    pub bursts: Vec<Burst>,
    /// Time that a request may take, in ms
    #[arg(long, default_value_t = 1_000)]
    pub timeout_ms: u64,
    /// Connections per target
    #[arg(long, default_value_t = 64)]
    pub connections: usize,
    /// Seed of times, kinds and targets
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Lists what was claimed about each request in the JSON report
    #[arg(long)]
    pub claims: bool,
}

fn positive_seconds(text: &str) -> Result<f64, String> {
    match text.parse() {
        Ok(seconds) if (0.0..1e6).contains(&seconds) => Ok(seconds),
        _ => Err("use a number of seconds from 0".to_owned()),
    }
}

/// Why arguments cannot be used.
#[derive(Debug, displaydoc::Display)]
pub enum ArgumentsError {
    /// kinds cannot be read from {file}: {cause}
    Kinds {
        /// File given.
        file: String,
        /// What the system or the parser reported.
        cause: std::io::Error,
    },
}

impl std::error::Error for ArgumentsError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Kinds { cause, .. } => Some(cause),
        }
    }
}

impl LoadArguments {
    fn kinds(&self) -> Result<Vec<RequestKind>, ArgumentsError> {
        let Some(file) = &self.kinds else {
            return Ok(vec![self.only_kind()]);
        };
        read_kinds(file).map_err(|cause| ArgumentsError::Kinds {
            file: file.display().to_string(),
            cause,
        })
    }

    fn only_kind(&self) -> RequestKind {
        RequestKind {
            name: String::new(),
            weight: 1,
            method: self.method.clone(),
            path: self.path.clone(),
            branch: self.branch.clone(),
            priority: self.priority.clone(),
            non_idempotent: self.non_idempotent,
            body_bytes: self.body_bytes,
            straight_to: None,
        }
    }
}

impl TryFrom<LoadArguments> for LoadSettings {
    type Error = ArgumentsError;

    fn try_from(arguments: LoadArguments) -> Result<Self, ArgumentsError> {
        let kinds = arguments.kinds()?;
        let route = if arguments.straight {
            Route::StraightToServer
        } else {
            Route::ThroughNodes
        };
        Ok(Self {
            targets: arguments.targets,
            route,
            kinds,
            rate_per_s: arguments.rate,
            duration_ms: (arguments.seconds * 1_000.0) as u64,
            spacing: arguments.spacing,
            bursts: arguments.bursts,
            timeout_ms: arguments.timeout_ms,
            connections: arguments.connections,
            seed: arguments.seed,
            records_claims: arguments.claims,
        })
    }
}
