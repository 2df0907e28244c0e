//! Reads and checks one branch's answers.

use std::collections::BTreeMap;
use std::fmt::Display;
use std::ops::RangeInclusive;

use serde::de::DeserializeOwned;
use serde_json::Value;

use super::questionnaire::{self as ask, QUESTIONS, Question};
use crate::model::answers::{Answers, KindPattern};

/// Bounds of requests at once.
const SLOTS: RangeInclusive<u32> = 1..=10_000;
/// Bounds of open connections.
const CONNECTIONS: RangeInclusive<u32> = 1..=100_000;
/// Bounds of the cold start's length, in ms.
const COLD_MS: RangeInclusive<u64> = 0..=600_000;
/// Bounds of the default deadline, in ms.
const DEADLINE_MS: RangeInclusive<u64> = 1..=300_000;
/// Bounds of a request's body, in bytes.
const BODY_BYTES: RangeInclusive<u64> = 0..=16_777_216;
/// Bounds of probes per second.
const PROBES_PER_S: RangeInclusive<u32> = 1..=100;
/// Bounds of a branch's weight.
const BRANCH_WEIGHT: RangeInclusive<u32> = 1..=100;
/// Bounds of the urgent share, in percent; all of it would be no order at all.
const URGENT_SHARE_PERCENT: RangeInclusive<u8> = 0..=80;
/// Methods that are idempotent by the HTTP standard and change nothing.
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// question {question}: found {found}; fits: {fits}
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display)]
pub struct AnswerError {
    /// Key of the question.
    pub question: String,
    /// What was found.
    pub found: String,
    /// What would fit.
    pub fits: String,
}

impl std::error::Error for AnswerError {}

impl AnswerError {
    /// An answer outside of what the question takes.
    pub fn new(question: &Question, found: impl Display) -> Self {
        Self::contradiction(question, found, question.fits)
    }

    /// An answer that does not go together with another one.
    pub fn contradiction(question: &Question, found: impl Display, fits: impl Display) -> Self {
        Self {
            question: question.key.to_owned(),
            found: found.to_string(),
            fits: fits.to_string(),
        }
    }
}

/// Reads answers from the JSON text of a file and checks them.
///
/// # Errors
/// One [`AnswerError`] for each answer that is missing, malformed or contradicts another.
pub fn from_json(text: &str) -> Result<Answers, Vec<AnswerError>> {
    let fields: BTreeMap<String, Value> =
        serde_json::from_str(text).map_err(|error| vec![not_an_object(&error)])?;
    let mut reader = Reader {
        fields,
        errors: Vec::new(),
    };
    reader.refuse_unknown_keys();
    let Some(answers) = reader.answers() else {
        return Err(reader.errors);
    };
    reader.errors.extend(check(&answers));
    if reader.errors.is_empty() {
        Ok(answers)
    } else {
        Err(reader.errors)
    }
}

fn not_an_object(error: &serde_json::Error) -> AnswerError {
    AnswerError {
        question: "all".to_owned(),
        found: error.to_string(),
        fits: "one JSON object with a key for each question".to_owned(),
    }
}

/// Takes answers out of a JSON object and collects what does not fit.
struct Reader {
    fields: BTreeMap<String, Value>,
    errors: Vec<AnswerError>,
}

impl Reader {
    fn refuse_unknown_keys(&mut self) {
        let known = QUESTIONS.map(|question| question.key);
        let unknown = self
            .fields
            .keys()
            .filter(|key| !known.contains(&key.as_str()));
        let errors = unknown.map(|key| AnswerError {
            question: key.clone(),
            found: "a key that no question has".to_owned(),
            fits: known.join(", "),
        });
        self.errors.extend(errors);
    }

    fn take<T: DeserializeOwned>(&mut self, question: &Question) -> Option<T> {
        let Some(value) = self.fields.get(question.key) else {
            self.errors.push(AnswerError::new(question, "no answer"));
            return None;
        };
        let answer = serde_json::from_value(value.clone());
        if answer.is_err() {
            self.errors.push(AnswerError::new(question, value));
        }
        answer.ok()
    }

    fn answers(&mut self) -> Option<Answers> {
        // All questions are read before the first missing answer ends the function.
        let service = self.take(&ask::SERVICE);
        let branch = self.take(&ask::BRANCH);
        let zones = self.take(&ask::ZONES);
        let urgent_kinds = self.take(&ask::URGENT_KINDS);
        let non_idempotent_kinds = self.take(&ask::NON_IDEMPOTENT_KINDS);
        let slots = self.take(&ask::SLOTS);
        let connections = self.take(&ask::CONNECTIONS);
        let cold_slots = self.take(&ask::COLD_SLOTS);
        let cold_ms = self.take(&ask::COLD_MS);
        let deadline_ms = self.take(&ask::DEADLINE_MS);
        let deadline_required = self.take(&ask::DEADLINE_REQUIRED);
        let body_bytes_max = self.take(&ask::BODY_BYTES_MAX);
        let probes_per_s = self.take(&ask::PROBES_PER_S);
        let branch_weight = self.take(&ask::BRANCH_WEIGHT);
        let urgent_share_percent = self.take(&ask::URGENT_SHARE_PERCENT);
        Some(Answers {
            service: service?,
            branch: branch?,
            zones: zones?,
            urgent_kinds: urgent_kinds?,
            non_idempotent_kinds: non_idempotent_kinds?,
            slots: slots?,
            connections: connections?,
            cold_slots: cold_slots?,
            cold_ms: cold_ms?,
            deadline_ms: deadline_ms?,
            deadline_required: deadline_required?,
            body_bytes_max: body_bytes_max?,
            probes_per_s: probes_per_s?,
            branch_weight: branch_weight?,
            urgent_share_percent: urgent_share_percent?,
        })
    }
}

/// Finds answers out of bounds, or else contradictions between answers.
pub fn check(answers: &Answers) -> Vec<AnswerError> {
    let mut errors = out_of_bounds(answers);
    if errors.is_empty() {
        errors.extend(contradicting_limits(answers));
        errors.extend(contradicting_kinds(answers));
    }
    errors
}

fn out_of_bounds(answers: &Answers) -> Vec<AnswerError> {
    let checks = [
        bound(&ask::SLOTS, answers.slots, &SLOTS),
        bound(&ask::CONNECTIONS, answers.connections, &CONNECTIONS),
        bound(&ask::COLD_SLOTS, answers.cold_slots, &SLOTS),
        bound(&ask::COLD_MS, answers.cold_ms, &COLD_MS),
        bound(&ask::DEADLINE_MS, answers.deadline_ms, &DEADLINE_MS),
        bound(&ask::BODY_BYTES_MAX, answers.body_bytes_max, &BODY_BYTES),
        bound(&ask::PROBES_PER_S, answers.probes_per_s, &PROBES_PER_S),
        bound(&ask::BRANCH_WEIGHT, answers.branch_weight, &BRANCH_WEIGHT),
        bound(
            &ask::URGENT_SHARE_PERCENT,
            answers.urgent_share_percent,
            &URGENT_SHARE_PERCENT,
        ),
    ];
    checks.into_iter().flatten().collect()
}

fn bound<T: PartialOrd + Display>(
    question: &Question,
    answer: T,
    fits: &RangeInclusive<T>,
) -> Option<AnswerError> {
    (!fits.contains(&answer)).then(|| AnswerError::new(question, answer))
}

fn contradicting_limits(answers: &Answers) -> Vec<AnswerError> {
    let Answers {
        slots,
        connections,
        cold_slots,
        ..
    } = answers;
    let mut errors = Vec::new();
    if answers.zones.is_empty() {
        errors.push(AnswerError::new(&ask::ZONES, "no zone"));
    }
    if cold_slots > slots {
        let fits = format!("at most {slots}, the answer to slots");
        errors.push(AnswerError::contradiction(
            &ask::COLD_SLOTS,
            cold_slots,
            fits,
        ));
    }
    if connections < slots {
        let fits = format!("at least {slots}, the answer to slots");
        errors.push(AnswerError::contradiction(
            &ask::CONNECTIONS,
            connections,
            fits,
        ));
    }
    errors
}

fn contradicting_kinds(answers: &Answers) -> Vec<AnswerError> {
    let mut errors = Vec::new();
    for kind in answers
        .urgent_kinds
        .iter()
        .filter(|kind| is_everything(kind))
    {
        let found = format!("{kind}, which makes everything urgent");
        let fits = "kinds below a path of their own, so that something is left to overtake";
        errors.push(AnswerError::contradiction(&ask::URGENT_KINDS, found, fits));
    }
    for kind in answers
        .non_idempotent_kinds
        .iter()
        .filter(|kind| is_safe(kind))
    {
        let fits = "kinds of POST, PUT, PATCH or DELETE; GET, HEAD and OPTIONS are idempotent \
                    by the HTTP standard and may be repeated by any client";
        errors.push(AnswerError::contradiction(
            &ask::NON_IDEMPOTENT_KINDS,
            kind,
            fits,
        ));
    }
    if answers.urgent_share_percent == 0 && !answers.urgent_kinds.is_empty() {
        let fits = "at least 1, since kinds of request are urgent";
        errors.push(AnswerError::contradiction(
            &ask::URGENT_SHARE_PERCENT,
            0,
            fits,
        ));
    }
    errors
}

fn is_everything(kind: &KindPattern) -> bool {
    kind.path_prefix.trim_end_matches('/').is_empty()
}

fn is_safe(kind: &KindPattern) -> bool {
    SAFE_METHODS.contains(&kind.method.as_ref())
}
