//! Generates a service's configuration from the answers of its branches.
//!
//! A service has one set of backend servers, so its branches must share their limits. Where
//! they answer differently the careful answer is in force, and [`notices`] says which: a
//! conflict that were an error could only be solved by all branches at the same moment.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::sync::Arc;

use super::answers::{AnswerError, check};
use super::questionnaire::{self as ask, Question};
use crate::model::answers::{Answers, KindPattern};
use crate::model::config::{
    BranchShare, Config, RequestKind, ServerCapacity, ServiceConfig, has_path_prefix,
};
use crate::model::names::BranchName;
use crate::model::request::{Effect, Urgency};

/// Methods that are not idempotent by RFC 9110, section 9.2.2, among those of a kind.
const UNSAFE_TO_REPEAT: [&str; 2] = ["POST", "PATCH"];

/// Answers of all branches of one service.
pub type BranchAnswers = BTreeMap<BranchName, Arc<Answers>>;

/// question {question}: {branch} answered {other}, you answered {yours}; {effective} is in force
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct Notice {
    /// Key of the question.
    pub question: &'static str,
    /// Branch that answered differently.
    pub branch: BranchName,
    /// Its answer.
    pub other: String,
    /// The answer that is being generated.
    pub yours: String,
    /// The answer that the service gets.
    pub effective: String,
}

/// Generates the service that `answers` is for, together with its other branches.
///
/// # Errors
/// Every answer that is out of bounds or contradicts another.
pub fn generate(config: &Config, answers: &Answers) -> Result<ServiceConfig, Vec<AnswerError>> {
    let errors = check(answers);
    if !errors.is_empty() {
        return Err(errors);
    }
    let branches = with_branch(config, answers);
    from_branches(&branches).ok_or_else(Vec::new)
}

/// Generates a service from the answers of its branches; none when there are none.
pub fn from_branches(branches: &BranchAnswers) -> Option<ServiceConfig> {
    let all = || branches.values();
    Some(ServiceConfig {
        branches: branches
            .iter()
            .map(|(name, answers)| (name.clone(), share(answers)))
            .collect(),
        zones: all()
            .flat_map(|answers| answers.zones.iter().cloned())
            .collect(),
        kinds: kinds(branches),
        capacity: server_capacity(branches)?,
        deadline_ms: all().map(|answers| answers.deadline_ms).max()?,
        deadline_required: all().any(|answers| answers.deadline_required),
        body_bytes_max: all().map(|answers| answers.body_bytes_max).max()?,
    })
}

/// Says where other branches of the service answered differently, and what is in force.
pub fn notices(config: &Config, answers: &Answers) -> Vec<Notice> {
    let branches = with_branch(config, answers);
    let Some(service) = from_branches(&branches) else {
        return Vec::new();
    };
    let others = branches.iter().filter(|(name, _)| **name != answers.branch);
    others
        .flat_map(|(name, other)| notices_of(name, other, answers, &service))
        .collect()
}

fn with_branch(config: &Config, answers: &Answers) -> BranchAnswers {
    let mut branches = config
        .answers
        .get(&answers.service)
        .cloned()
        .unwrap_or_default();
    branches.insert(answers.branch.clone(), Arc::new(answers.clone()));
    branches
}

fn share(answers: &Answers) -> BranchShare {
    BranchShare {
        weight: answers.branch_weight,
        urgent_share_percent: answers.urgent_share_percent,
    }
}

fn server_capacity(branches: &BranchAnswers) -> Option<ServerCapacity> {
    let all = || branches.values();
    Some(ServerCapacity {
        slots: all().map(|answers| answers.slots).min()?,
        connections: all().map(|answers| answers.connections).min()?,
        cold_slots: all().map(|answers| answers.cold_slots).min()?,
        cold_ms: all().map(|answers| answers.cold_ms).max()?,
        probes_per_s: all().map(|answers| answers.probes_per_s).min()?,
    })
}

/// One rule for each kind that any branch named, the longest path first.
fn kinds(branches: &BranchAnswers) -> Vec<RequestKind> {
    let all = || branches.values();
    let urgent: BTreeSet<&KindPattern> = all().flat_map(|answers| &answers.urgent_kinds).collect();
    let non_idempotent: BTreeSet<&KindPattern> = all()
        .flat_map(|answers| &answers.non_idempotent_kinds)
        .collect();
    let named: BTreeSet<&KindPattern> = urgent.union(&non_idempotent).copied().collect();
    let rule = |kind: &&KindPattern| RequestKind {
        name: Arc::from(kind.to_string()),
        method: Arc::clone(&kind.method),
        path_prefix: Arc::clone(&kind.path_prefix),
        urgency: if covered(kind, &urgent) {
            Urgency::Urgent
        } else {
            Urgency::Ordinary
        },
        effect: effect(kind, &non_idempotent),
    };
    let mut rules: Vec<RequestKind> = named.iter().map(rule).collect();
    rules.sort_by_key(|rule| Reverse(rule.path_prefix.len()));
    rules
}

/// A command of POST or PATCH stays non-idempotent when it is named as urgent only.
fn effect(kind: &KindPattern, non_idempotent: &BTreeSet<&KindPattern>) -> Effect {
    let by_method = UNSAFE_TO_REPEAT.contains(&kind.method.as_ref());
    if by_method || covered(kind, non_idempotent) {
        Effect::NonIdempotent
    } else {
        Effect::Idempotent
    }
}

/// Whether one of the patterns covers the kind, so that a longer rule loses nothing.
fn covered(kind: &KindPattern, patterns: &BTreeSet<&KindPattern>) -> bool {
    patterns.iter().any(|pattern| {
        pattern.method == kind.method && has_path_prefix(&kind.path_prefix, &pattern.path_prefix)
    })
}

fn notices_of(
    branch: &BranchName,
    other: &Answers,
    yours: &Answers,
    service: &ServiceConfig,
) -> Vec<Notice> {
    let capacity = &service.capacity;
    let compared = [
        compare(
            branch,
            &ask::SLOTS,
            &other.slots,
            &yours.slots,
            &capacity.slots,
        ),
        compare(
            branch,
            &ask::CONNECTIONS,
            &other.connections,
            &yours.connections,
            &capacity.connections,
        ),
        compare(
            branch,
            &ask::COLD_SLOTS,
            &other.cold_slots,
            &yours.cold_slots,
            &capacity.cold_slots,
        ),
        compare(
            branch,
            &ask::COLD_MS,
            &other.cold_ms,
            &yours.cold_ms,
            &capacity.cold_ms,
        ),
        compare(
            branch,
            &ask::DEADLINE_MS,
            &other.deadline_ms,
            &yours.deadline_ms,
            &service.deadline_ms,
        ),
        compare(
            branch,
            &ask::DEADLINE_REQUIRED,
            &other.deadline_required,
            &yours.deadline_required,
            &service.deadline_required,
        ),
        compare(
            branch,
            &ask::BODY_BYTES_MAX,
            &other.body_bytes_max,
            &yours.body_bytes_max,
            &service.body_bytes_max,
        ),
        compare(
            branch,
            &ask::PROBES_PER_S,
            &other.probes_per_s,
            &yours.probes_per_s,
            &capacity.probes_per_s,
        ),
    ];
    compared.into_iter().flatten().collect()
}

fn compare<T: PartialEq + Display>(
    branch: &BranchName,
    question: &Question,
    other: &T,
    yours: &T,
    effective: &T,
) -> Option<Notice> {
    (other != yours).then(|| Notice {
        question: question.key,
        branch: branch.clone(),
        other: other.to_string(),
        yours: yours.to_string(),
        effective: effective.to_string(),
    })
}
