//! Compares what callers were told with what backend servers ran.

use std::collections::HashMap;

use crate::backend_server::Witness;
use crate::load::{Claim, RequestClaim};

/// Promise that was broken.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, displaydoc::Display)]
pub enum Violation {
    #[displaydoc("key {idempotency_key} ran {runs} times")]
    /// A key ran more than once.
    KeyRanTwice {
        /// Key of the non-idempotent request.
        idempotency_key: String,
        /// Runs on all backend servers.
        runs: u32,
    },
    #[displaydoc("request {request_id} was refused as not run and ran {runs} times")]
    /// A request was refused as not run and ran.
    RefusedAndRan {
        /// Request id.
        request_id: String,
        /// Runs on all backend servers.
        runs: u32,
    },
    #[displaydoc("request {request_id} was answered and ran nowhere")]
    /// A request was answered and ran nowhere.
    AnsweredWithoutRun {
        /// Request id.
        request_id: String,
    },
}

impl std::error::Error for Violation {}

/// Finds every broken promise, sorted.
///
/// The witnesses have to be those of all backend servers, with all their runs, taken when
/// nothing is in flight any more.
pub fn violations(claims: &[RequestClaim], witnesses: &[Witness]) -> Vec<Violation> {
    let runs = Runs::of(witnesses);
    let broken_claims = claims.iter().filter_map(|claim| runs.broken_claim(claim));
    let mut found: Vec<Violation> = broken_claims.chain(runs.repeated_keys()).collect();
    found.sort_unstable();
    found
}

/// Runs summed over backend servers.
#[derive(Debug, Default)]
struct Runs<'a> {
    by_request: HashMap<&'a str, u32>,
    by_key: HashMap<&'a str, u32>,
}

impl<'a> Runs<'a> {
    fn of(witnesses: &'a [Witness]) -> Self {
        let mut runs = Self::default();
        for witness in witnesses {
            for entry in &witness.runs_by_request {
                *runs.by_request.entry(&entry.request_id).or_default() += entry.runs;
            }
            for entry in &witness.runs_by_key {
                *runs.by_key.entry(&entry.idempotency_key).or_default() += entry.runs;
            }
        }
        runs
    }

    fn broken_claim(&self, claim: &RequestClaim) -> Option<Violation> {
        let request_id = claim.request_id.clone();
        let runs = self
            .by_request
            .get(request_id.as_str())
            .copied()
            .unwrap_or(0);
        match (claim.claim, runs) {
            (Claim::NotRun, 1..) => Some(Violation::RefusedAndRan { request_id, runs }),
            (Claim::Done, 0) => Some(Violation::AnsweredWithoutRun { request_id }),
            (Claim::NotRun | Claim::Done | Claim::Unknown, _) => None,
        }
    }

    fn repeated_keys(&self) -> impl Iterator<Item = Violation> {
        let repeated = self.by_key.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(key, runs)| {
            let idempotency_key = (*key).to_owned();
            Violation::KeyRanTwice {
                idempotency_key,
                runs: *runs,
            }
        })
    }
}
