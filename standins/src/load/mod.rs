//! Open-loop load generator: callers that send at set times, whatever the answers do.

mod answer_check;
mod arguments;
mod arrivals;
mod call;
mod claims;
mod kinds;
mod outcome;
mod pacer;
mod pool;
mod prepare;
mod problem;
mod report;
mod run;
mod settings;
mod tally;
mod tickets;

pub use arguments::{ArgumentsError, LoadArguments};
pub use arrivals::{ArrivalSpacing, Burst, BurstError};
pub use claims::{Claim, RequestClaim};
pub use kinds::{RequestKind, read_kinds};
pub use prepare::LoadError;
pub use report::{KindReport, Latencies, LoadReport, LostCount, ReasonCount, ServerCount};
pub use report::{SecondReport, StatusCount};
pub use run::run;
pub use settings::{LoadSettings, Route};
