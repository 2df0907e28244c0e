//! Answers to the questionnaire: what fits, what does not, and what is said about it.

mod common;

use bronzelock::operators::answers::from_json;
use bronzelock::operators::questionnaire::{QUESTIONS, as_text};
use common::HERD;
use serde_json::{Value, json};

/// The herd service's answers with some of them replaced, or removed by null.
fn herd_with(replaced: &Value) -> String {
    let mut answers: Value = serde_json::from_str(HERD).expect("the shipped file is JSON");
    let fields = answers
        .as_object_mut()
        .expect("the shipped file is an object");
    for (key, value) in replaced.as_object().expect("replaced answers") {
        match value {
            Value::Null => fields.remove(key),
            value => fields.insert(key.clone(), value.clone()),
        };
    }
    answers.to_string()
}

/// What an operator reads when these answers replace those of the herd service.
fn said(replaced: &Value) -> String {
    match from_json(&herd_with(replaced)) {
        Ok(_) => "fits".to_owned(),
        Err(errors) => errors
            .iter()
            .map(ToString::to_string)
            .collect::<Vec<_>>()
            .join("\n"),
    }
}

macro_rules! said_cases {
    ($($name:ident => $replaced:tt)+) => {
        cases! {
            $($name => { insta::assert_snapshot!(stringify!($name), said(&json!($replaced))); })+
        }
    };
}

said_cases! {
    unknown_key => { "slot": 12 }
    missing_answers => { "slots": null, "zones": null }
    wrong_types => { "slots": "twelve", "deadline_required": "no", "cold_ms": -1 }
    bad_names => { "service": "Herd Service", "zones": ["ratchaburi", "Nakhon Pathom"] }
    bad_kinds => { "urgent_kinds": ["GET"], "non_idempotent_kinds": ["SEND /gate"] }
    out_of_bounds => { "slots": 0, "probes_per_s": 1000, "urgent_share_percent": 100 }
    cold_above_slots => { "cold_slots": 13 }
    connections_below_slots => { "connections": 11 }
    everything_urgent => { "urgent_kinds": ["GET /", "POST /gate", "PUT //"] }
    non_idempotent_get => { "non_idempotent_kinds": ["GET /gate"] }
    urgent_without_share => { "urgent_share_percent": 0 }
    no_zone => { "zones": [] }
    deadline_zero => { "deadline_ms": 0 }
}

cases! {
    text_that_is_no_object => {
        let errors = from_json("[1]").expect_err("a list is no answers");
        insta::assert_snapshot!("text_that_is_no_object", errors[0]);
    }

    questionnaire_text => {
        insta::assert_snapshot!("questionnaire_text", as_text());
    }

    shipped_answers_fit_and_answer_each_question => {
        for name in ["herd", "parlour", "ductbook", "camlog"] {
            let path = format!("{}/examples/answers/{name}.json", env!("CARGO_MANIFEST_DIR"));
            let text = std::fs::read_to_string(path).expect("a shipped file");
            let answers = from_json(&text).expect("shipped answers fit");
            assert_eq!(answers.service.as_str(), name);
            let fields: Value = serde_json::from_str(&text).expect("JSON");
            let fields = fields.as_object().expect("an object");
            assert!(QUESTIONS.iter().all(|question| fields.contains_key(question.key)));
        }
    }

    example_of_each_question_is_json => {
        for question in QUESTIONS {
            serde_json::from_str::<Value>(question.example).expect(question.key);
        }
    }

    answers_survive_the_log => {
        let answers = common::herd();
        let text = serde_json::to_string(&answers).expect("answers become text");
        assert_eq!(from_json(&text), Ok(answers));
    }
}
