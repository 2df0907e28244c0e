//! The questions that a team answers, one set for each service and branch.

use serde::Serialize;

/// One question of the questionnaire; scripts read it as JSON.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Question {
    /// Key of the answer in the JSON file.
    pub key: &'static str,
    /// The question itself.
    pub text: &'static str,
    /// What to consider before answering.
    pub help: &'static str,
    /// Answers that fit.
    pub fits: &'static str,
    /// An answer as it would stand in the file.
    pub example: &'static str,
}

const NAME_FITS: &str = "a name of 1 to 64 characters out of a-z, 0-9, '-', '.' and '_'";
const KINDS_FIT: &str = "a list of kinds such as \"POST /gate\": a method in capitals, a space \
                         and a path that begins with '/'";

/// Asks for the service.
pub const SERVICE: Question = Question {
    key: "service",
    text: "Which service do the answers describe?",
    help: "Callers name it in each request. Each branch of a service answers separately.",
    fits: NAME_FITS,
    example: "\"herd\"",
};
/// Asks for the branch.
pub const BRANCH: Question = Question {
    key: "branch",
    text: "Which branch do you answer for?",
    help: "The branch's share of the service is kept fair against the other branches.",
    fits: NAME_FITS,
    example: "\"ratchaburi-dairy\"",
};
/// Asks for the availability zones.
pub const ZONES: Question = Question {
    key: "zones",
    text: "In which availability zones do backend servers of the service stand?",
    help: "Name all of them, also a zone that is out of service at the moment.",
    fits: "a list of at least one zone, each a name of a-z, 0-9, '-', '.' and '_'",
    example: "[\"ratchaburi\", \"saraburi\", \"nakhon-pathom\"]",
};
/// Asks for the urgent kinds of request.
pub const URGENT_KINDS: Question = Question {
    key: "urgent_kinds",
    text: "Which kinds of request go before all others?",
    help: "Name few: urgent work only overtakes ordinary work. The longest matching path \
           decides. An empty list means that nothing is urgent.",
    fits: KINDS_FIT,
    example: "[\"GET /lookup\"]",
};
/// Asks for the non-idempotent kinds of request.
pub const NON_IDEMPOTENT_KINDS: Question = Question {
    key: "non_idempotent_kinds",
    text: "Which kinds of request must never run twice?",
    help: "Name each command whose repetition does harm. It is run at most once; when its \
           answer is lost, the caller is told that the outcome is unknown. POST and PATCH are \
           always treated so, named or not; name a PUT or DELETE that needs it.",
    fits: KINDS_FIT,
    example: "[\"POST /gate\"]",
};
/// Asks for the slots of a warm backend server.
pub const SLOTS: Question = Question {
    key: "slots",
    text: "How many requests at once does one warm backend server bear?",
    help: "More than this are never sent to it. When branches answer differently, the lowest \
           answer is in force.",
    fits: "a whole number from 1 to 10000",
    example: "12",
};
/// Asks for the connections of a backend server.
pub const CONNECTIONS: Question = Question {
    key: "connections",
    text: "How many open connections does one backend server bear?",
    help: "At least as many as slots. The lowest answer of all branches is in force.",
    fits: "a whole number from 1 to 100000, not below slots",
    example: "220",
};
/// Asks for the slots of a cold backend server.
pub const COLD_SLOTS: Question = Question {
    key: "cold_slots",
    text: "How many requests at once does one backend server bear in its cold start?",
    help: "A backend server that has just started gets no more than this and then gradually \
           more. The lowest answer of all branches is in force.",
    fits: "a whole number from 1 up to the answer to slots",
    example: "2",
};
/// Asks for the length of the cold start.
pub const COLD_MS: Question = Question {
    key: "cold_ms",
    text: "How long does a cold start take, in ms?",
    help: "The longest answer of all branches is in force.",
    fits: "a whole number from 0 to 600000",
    example: "20000",
};
/// Asks for the default deadline.
pub const DEADLINE_MS: Question = Question {
    key: "deadline_ms",
    text: "How long may a request take when it states no deadline, in ms?",
    help: "What cannot finish in time is refused early. The longest answer of all branches is \
           in force.",
    fits: "a whole number from 1 to 300000",
    example: "2000",
};
/// Asks whether callers must state a deadline.
pub const DEADLINE_REQUIRED: Question = Question {
    key: "deadline_required",
    text: "Must callers state a deadline in each request?",
    help: "With true, a request without a deadline is refused. One branch that says true \
           decides for the service.",
    fits: "true or false",
    example: "false",
};
/// Asks for the longest body.
pub const BODY_BYTES_MAX: Question = Question {
    key: "body_bytes_max",
    text: "How long may the body of a request be, in bytes?",
    help: "Longer ones are refused with status 413. The largest answer of all branches is in \
           force.",
    fits: "a whole number from 0 to 16777216",
    example: "65536",
};
/// Asks for the budget of measuring.
pub const PROBES_PER_S: Question = Question {
    key: "probes_per_s",
    text: "How many health and load probes per second may one backend server get?",
    help: "The budget for measuring. Probes whose answer the traffic already gave are skipped. \
           The lowest answer of all branches is in force.",
    fits: "a whole number from 1 to 100",
    example: "2",
};
/// Asks for the weight of the branch.
pub const BRANCH_WEIGHT: Question = Question {
    key: "branch_weight",
    text: "Which weight has the branch among the branches of the service?",
    help: "A branch of weight 2 gets twice as much as one of weight 1 while both have work.",
    fits: "a whole number from 1 to 100",
    example: "1",
};
/// Asks for the bound of urgent work.
pub const URGENT_SHARE_PERCENT: Question = Question {
    key: "urgent_share_percent",
    text: "How much of the branch's share may go first as urgent work, in percent?",
    help: "Urgent work beyond it waits like ordinary work, so that urgent work of one branch \
           cannot starve the others.",
    fits: "a whole number from 0 to 80, above 0 when a kind is urgent",
    example: "40",
};

/// All questions in the order in which they are asked.
pub const QUESTIONS: [Question; 15] = [
    SERVICE,
    BRANCH,
    ZONES,
    URGENT_KINDS,
    NON_IDEMPOTENT_KINDS,
    SLOTS,
    CONNECTIONS,
    COLD_SLOTS,
    COLD_MS,
    DEADLINE_MS,
    DEADLINE_REQUIRED,
    BODY_BYTES_MAX,
    PROBES_PER_S,
    BRANCH_WEIGHT,
    URGENT_SHARE_PERCENT,
];

/// The questionnaire as text for a team to read.
pub fn as_text() -> String {
    let mut parts = vec!["Write the answers as one JSON object with these keys.\n".to_owned()];
    parts.extend(QUESTIONS.iter().enumerate().map(|(index, question)| {
        let Question {
            key,
            text,
            help,
            fits,
            example,
        } = question;
        let number = index + 1;
        format!("{number}. {text}\n   {help}\n   Fits: {fits}.\n   Example: \"{key}\": {example}\n")
    }));
    parts.join("\n")
}
