//! Publishing one change: appended at most once, outcome found by id.

mod common;

use bronzelock::agreement::change::{Change, ChangeAction};
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::publish::{
    Action, Event, NotAcceptedReason, PublishAttempt, PublishOutcome,
};
use bronzelock::agreement::record::Record;
use bronzelock::model::ids::ConfigVersion;
use common::{change, zone};
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"bronzelock publishing changes 01";
const SEQUENCES: u32 = 3_000;

fn own_change() -> Change {
    change("mine", 0, ChangeAction::ZoneOut(zone("saraburi")))
}

fn competing_change(id: &str, base: u64) -> Record {
    Record::Change(change(id, base, ChangeAction::ZoneOut(zone("tema"))))
}

/// Attempt whose append is in progress.
fn appending_attempt(fold: &Fold) -> PublishAttempt {
    let mut attempt = PublishAttempt::new(own_change());
    assert_eq!(attempt.on(Event::ReadToEnd, fold), Action::Append);
    attempt
}

cases! {
    change_is_accepted_once_the_fold_has_applied_it => {
        let mut fold = Fold::new();
        let mut attempt = appending_attempt(&fold);
        assert_eq!(attempt.on(Event::Appended { offset: 0 }, &fold), Action::ReadToEnd);
        assert!(!attempt.is_done(), "a durable record is not yet accepted");
        fold.apply(0, &Record::Change(own_change()));
        let accepted = Action::Report(PublishOutcome::Accepted(ConfigVersion(1)));
        assert_eq!(attempt.on(Event::FoldAdvanced, &fold), accepted);
    }

    lost_answer_is_resolved_by_reading => {
        let mut fold = Fold::new();
        let mut attempt = appending_attempt(&fold);
        assert_eq!(attempt.on(Event::AppendLost, &fold), Action::ReadToEnd);
        assert_eq!(attempt.on(Event::ReadToEnd, &fold), Action::Wait);
        assert_eq!(
            attempt.on(Event::DeadlinePassed, &fold),
            Action::Report(PublishOutcome::Unknown)
        );
        fold.apply(0, &Record::Change(own_change()));
        let accepted = Action::Report(PublishOutcome::Accepted(ConfigVersion(1)));
        assert_eq!(attempt.on(Event::FoldAdvanced, &fold), accepted);
    }

    lost_answer_is_resolved_by_another_change_on_the_base => {
        let mut fold = Fold::new();
        let mut attempt = appending_attempt(&fold);
        attempt.on(Event::AppendLost, &fold);
        fold.apply(0, &competing_change("theirs", 0));
        let Action::Report(PublishOutcome::Rejected(rejection)) =
            attempt.on(Event::FoldAdvanced, &fold)
        else {
            panic!("another change has the same base, so this one is rejected wherever it arrives");
        };
        assert_eq!(rejection.winner.0.as_ref(), "theirs");
        fold.apply(1, &Record::Change(own_change()));
        assert_eq!(fold.version(), ConfigVersion(1), "a late append has no effect");
    }

    superseded_base_is_rejected_without_an_append => {
        let mut fold = Fold::new();
        fold.apply(0, &competing_change("theirs", 0));
        let mut attempt = PublishAttempt::new(own_change());
        let action = attempt.on(Event::ReadToEnd, &fold);
        assert!(matches!(action, Action::Report(PublishOutcome::Rejected(_))), "{action:?}");
    }

    refusal_by_the_log_is_reported_as_not_accepted => {
        let fold = Fold::new();
        let reason = NotAcceptedReason::LogDown;
        let refused = Action::Report(PublishOutcome::NotAccepted(reason));
        assert_eq!(appending_attempt(&fold).on(Event::AppendRefused(reason), &fold), refused);
        let mut reading = PublishAttempt::new(own_change());
        assert_eq!(reading.on(Event::ReadFailed(reason), &fold), refused);
    }

    deadline_before_the_append_is_not_accepted => {
        let fold = Fold::new();
        let mut attempt = PublishAttempt::new(own_change());
        let too_slow = PublishOutcome::NotAccepted(NotAcceptedReason::ReadTooSlow);
        assert_eq!(attempt.on(Event::DeadlinePassed, &fold), Action::Report(too_slow.clone()));
        assert_eq!(
            attempt.on(Event::ReadToEnd, &fold),
            Action::Report(too_slow),
            "no append after the deadline"
        );
    }

    change_on_a_future_version_is_invalid => {
        let fold = Fold::new();
        let ahead = change("mine", 4, ChangeAction::ZoneIn(zone("tema")));
        let mut attempt = PublishAttempt::new(ahead);
        let invalid = Action::Report(PublishOutcome::Invalid(ConfigVersion(0)));
        assert_eq!(attempt.on(Event::ReadToEnd, &fold), invalid);
    }

    repeat_of_an_accepted_change_is_not_appended_again => {
        let mut fold = Fold::new();
        fold.apply(0, &Record::Change(own_change()));
        fold.apply(1, &competing_change("theirs", 1));
        let accepted = Action::Report(PublishOutcome::Accepted(ConfigVersion(1)));
        assert_eq!(PublishAttempt::new(own_change()).on(Event::ReadToEnd, &fold), accepted);
    }

    random_events_append_at_most_once_and_report_the_outcome_of_the_log => {
        let config = RunnerConfig {
            cases: SEQUENCES,
            failure_persistence: None,
            ..RunnerConfig::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let steps = proptest::collection::vec(0..7_u8, 1..24);
        TestRunner::new_with_rng(config, rng)
            .run(&steps, |steps| run(&steps))
            .expect("the properties hold for every sequence of events");
    }
}

/// Reports random events to an attempt.
///
/// Its append takes effect at once, later or never.
fn run(steps: &[u8]) -> Result<(), TestCaseError> {
    let mut fold = Fold::new();
    let mut attempt = PublishAttempt::new(own_change());
    let mut log = Vec::new();
    let (mut appends, mut in_progress, mut delayed) = (0, false, false);
    let mut reports = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        let event = match step {
            0 => Event::ReadToEnd,
            1 if in_progress => {
                log.push(Record::Change(own_change()));
                in_progress = false;
                Event::Appended {
                    offset: log.len() as u64 - 1,
                }
            }
            2 if in_progress => {
                (in_progress, delayed) = (false, true);
                Event::AppendLost
            }
            3 if delayed => {
                log.push(Record::Change(own_change()));
                delayed = false;
                Event::FoldAdvanced
            }
            4 => {
                log.push(competing_change(
                    &format!("other {index}"),
                    fold.version().0,
                ));
                Event::FoldAdvanced
            }
            5 => Event::DeadlinePassed,
            6 if in_progress => {
                in_progress = false;
                Event::AppendRefused(NotAcceptedReason::LogDown)
            }
            _ => Event::FoldAdvanced,
        };
        for offset in fold.next_offset()..log.len() as u64 {
            fold.apply(offset, &log[offset as usize]);
        }
        match attempt.on(event, &fold) {
            Action::Append => (appends, in_progress) = (appends + 1, true),
            Action::Report(report) => reports.push(report),
            Action::Wait | Action::ReadToEnd => {}
        }
    }
    prop_assert!(appends <= 1, "appended {appends} times");
    check_reports(&reports, &mut log, &mut fold, delayed)
}

/// Carries out a delayed append and compares the reports with the fold.
fn check_reports(
    reports: &[PublishOutcome],
    log: &mut Vec<Record>,
    fold: &mut Fold,
    delayed: bool,
) -> Result<(), TestCaseError> {
    if delayed {
        log.push(Record::Change(own_change()));
        fold.apply(log.len() as u64 - 1, &log[log.len() - 1]);
    }
    let final_reports = reports
        .iter()
        .filter(|report| **report != PublishOutcome::Unknown);
    let final_reports: Vec<&PublishOutcome> = final_reports.collect();
    prop_assert!(
        final_reports.windows(2).all(|pair| pair[0] == pair[1]),
        "{:?}",
        final_reports
    );
    let accepted = fold.config().zones_out.contains(&zone("saraburi"));
    match final_reports.last() {
        Some(PublishOutcome::Accepted(_)) => prop_assert!(accepted),
        Some(_) => prop_assert!(!accepted, "{:?}", final_reports),
        None => {}
    }
    Ok(())
}
