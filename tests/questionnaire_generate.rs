//! Generating a service from its branches' answers.

mod common;

use std::sync::Arc;

use bronzelock::agreement::change::ChangeAction;
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::record::Record;
use bronzelock::model::answers::{Answers, KindPattern};
use bronzelock::model::config::{Config, RequestKind, ServiceConfig};
use bronzelock::model::names::BranchName;
use bronzelock::model::request::{Effect, Urgency};
use bronzelock::operators::difference::difference;
use bronzelock::operators::generate::{generate, notices};
use common::{change, herd, zone};

fn kind(text: &str) -> KindPattern {
    text.parse().expect("a kind")
}

fn second_branch() -> Answers {
    let mut answers = herd();
    answers.branch = BranchName::new("saraburi-dairy").expect("a name");
    answers.slots = 9;
    answers.cold_ms = 30_000;
    answers.branch_weight = 2;
    answers.urgent_kinds = [kind("GET /gate")].into();
    answers.non_idempotent_kinds = [kind("POST /")].into();
    answers
}

/// The configuration after accepting answers in order.
fn config_of(all: &[Answers]) -> Arc<Config> {
    let mut fold = Fold::new();
    for (offset, answers) in all.iter().enumerate() {
        let put = ChangeAction::PutAnswers(Box::new(answers.clone()));
        let record = Record::Change(change(&format!("put {offset}"), offset as u64, put));
        fold.apply(offset as u64, &record);
    }
    assert_eq!(fold.version().0, all.len() as u64, "every answer fits");
    fold.config()
}

fn herd_service(config: &Config) -> &ServiceConfig {
    &config.services[&herd().service]
}

fn rule<'a>(service: &'a ServiceConfig, name: &str) -> Option<&'a RequestKind> {
    service.kinds.iter().find(|kind| kind.name.as_ref() == name)
}

cases! {
    /// A change of these results needs a new record wire version.
    results_of_the_generator_are_pinned => {
        let config = config_of(&[herd(), second_branch()]);
        insta::assert_json_snapshot!("generated_herd", herd_service(&config));
    }

    fold_takes_what_the_generator_showed => {
        let shown = generate(&Config::default(), &herd()).expect("the answers fit");
        assert_eq!(herd_service(&config_of(&[herd()])), &shown);
    }

    careful_answer_is_in_force_where_branches_disagree => {
        let config = config_of(&[herd()]);
        let yours = second_branch();
        let service = generate(&config, &yours).expect("the answers fit");
        assert_eq!((service.capacity.slots, service.capacity.cold_ms), (9, 30_000));
        let said: Vec<String> = notices(&config, &yours).iter().map(ToString::to_string).collect();
        insta::assert_snapshot!("notices", said.join("\n"));
    }

    order_of_branches_does_not_matter => {
        let one = config_of(&[herd(), second_branch()]);
        let other = config_of(&[second_branch(), herd()]);
        assert_eq!(one.services, other.services);
    }

    withdrawn_kind_leaves_with_the_only_branch_that_named_it => {
        let mut without = second_branch();
        without.urgent_kinds.clear();
        let config = config_of(&[herd(), second_branch(), without]);
        let service = herd_service(&config);
        assert!(rule(service, "GET /gate").is_none());
        assert!(rule(service, "GET /lookup").is_some(), "the other branch still names it");
    }

    longer_rule_keeps_what_a_shorter_one_says => {
        let mut answers = herd();
        answers.urgent_kinds = [kind("POST /gate/flood")].into();
        answers.non_idempotent_kinds = [kind("POST /gate")].into();
        let service = generate(&Config::default(), &answers).expect("the answers fit");
        let flood = rule(&service, "POST /gate/flood").expect("a rule");
        assert_eq!((flood.urgency, flood.effect), (Urgency::Urgent, Effect::NonIdempotent));
        let gate = rule(&service, "POST /gate").expect("a rule");
        assert_eq!((gate.urgency, gate.effect), (Urgency::Ordinary, Effect::NonIdempotent));
        assert_eq!(service.kinds[0].name, flood.name, "the longest path comes first");
    }

    urgent_command_stays_non_idempotent => {
        let mut answers = herd();
        answers.urgent_kinds = [kind("POST /dispatch"), kind("PATCH /pulls")].into();
        let service = generate(&Config::default(), &answers).expect("the answers fit");
        for name in ["POST /dispatch", "PATCH /pulls"] {
            let rule = rule(&service, name).expect("a rule");
            assert_eq!((rule.urgency, rule.effect), (Urgency::Urgent, Effect::NonIdempotent));
        }
    }

    rule_covers_whole_path_segments_only => {
        let mut answers = herd();
        answers.urgent_kinds = [kind("PUT /look")].into();
        answers.non_idempotent_kinds = [kind("PUT /lookup"), kind("PUT /look/up")].into();
        let service = generate(&Config::default(), &answers).expect("the answers fit");
        assert_eq!(rule(&service, "PUT /lookup").expect("a rule").urgency, Urgency::Ordinary);
        assert_eq!(rule(&service, "PUT /look/up").expect("a rule").urgency, Urgency::Urgent);
    }

    difference_reads_line_by_line => {
        let before = config_of(&[herd()]);
        let mut after = Config::clone(&config_of(&[herd(), second_branch()]));
        after.zones_out.insert(zone("saraburi"));
        insta::assert_snapshot!("difference", difference(&before, &after));
        assert_eq!(difference(&before, &before), "no difference");
    }

    difference_shows_a_new_service => {
        let text = difference(&Config::default(), &config_of(&[herd()]));
        assert!(text.starts_with("+ service herd: "), "{text}");
    }
}
