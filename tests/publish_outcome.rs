//! Publishing one change: appended at most once, resolved by its id.

mod common;

use bronzelock::agreement::change::{Change, ChangeAction};
use bronzelock::agreement::fold::Fold;
use bronzelock::agreement::publish::{Action, Event, NotAcceptedReason, Publication, Publish};
use bronzelock::agreement::record::Record;
use bronzelock::model::ids::ConfigVersion;
use common::{change, zone};
use proptest::prelude::*;
use proptest::test_runner::{Config as RunnerConfig, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"bronzelock publishing changes 01";
const SEQUENCES: u32 = 3_000;

fn mine() -> Change {
    change("mine", 0, ChangeAction::ZoneOut(zone("saraburi")))
}

fn other(id: &str, base: u64) -> Record {
    Record::Change(change(id, base, ChangeAction::ZoneOut(zone("tema"))))
}

/// A publication whose append is under way.
fn appending(fold: &Fold) -> Publish {
    let mut publish = Publish::new(mine());
    assert_eq!(publish.on(Event::ReadToEnd, fold), Action::Append);
    publish
}

cases! {
    accepted_once_the_fold_has_it => {
        let mut fold = Fold::new();
        let mut publish = appending(&fold);
        assert_eq!(publish.on(Event::Appended { offset: 0 }, &fold), Action::ReadToEnd);
        assert!(!publish.is_done(), "durable alone is not accepted");
        fold.apply(0, &Record::Change(mine()));
        let accepted = Action::Report(Publication::Accepted(ConfigVersion(1)));
        assert_eq!(publish.on(Event::FoldMoved, &fold), accepted);
    }

    lost_answer_is_resolved_by_reading => {
        let mut fold = Fold::new();
        let mut publish = appending(&fold);
        assert_eq!(publish.on(Event::AppendLost, &fold), Action::ReadToEnd);
        assert_eq!(publish.on(Event::ReadToEnd, &fold), Action::Wait);
        assert_eq!(
            publish.on(Event::DeadlinePassed, &fold),
            Action::Report(Publication::Unknown)
        );
        fold.apply(0, &Record::Change(mine()));
        let accepted = Action::Report(Publication::Accepted(ConfigVersion(1)));
        assert_eq!(publish.on(Event::FoldMoved, &fold), accepted);
    }

    lost_answer_is_settled_by_another_change_on_the_base => {
        let mut fold = Fold::new();
        let mut publish = appending(&fold);
        publish.on(Event::AppendLost, &fold);
        fold.apply(0, &other("theirs", 0));
        let Action::Report(Publication::Rejected(rejection)) =
            publish.on(Event::FoldMoved, &fold)
        else {
            panic!("the base is taken, so the change is rejected wherever it arrives");
        };
        assert_eq!(rejection.winner.0.as_ref(), "theirs");
        fold.apply(1, &Record::Change(mine()));
        assert_eq!(fold.version(), ConfigVersion(1), "a late arrival changes nothing");
    }

    taken_base_is_rejected_without_an_append => {
        let mut fold = Fold::new();
        fold.apply(0, &other("theirs", 0));
        let mut publish = Publish::new(mine());
        let action = publish.on(Event::ReadToEnd, &fold);
        assert!(matches!(action, Action::Report(Publication::Rejected(_))), "{action:?}");
    }

    log_that_refuses_is_told_as_not_accepted => {
        let fold = Fold::new();
        let reason = NotAcceptedReason::LogDown;
        let refused = Action::Report(Publication::NotAccepted(reason));
        assert_eq!(appending(&fold).on(Event::AppendRefused(reason), &fold), refused);
        let mut reading = Publish::new(mine());
        assert_eq!(reading.on(Event::ReadFailed(reason), &fold), refused);
    }

    deadline_before_the_append_is_not_accepted => {
        let fold = Fold::new();
        let mut publish = Publish::new(mine());
        let late = Publication::NotAccepted(NotAcceptedReason::ReadTooSlow);
        assert_eq!(publish.on(Event::DeadlinePassed, &fold), Action::Report(late.clone()));
        assert_eq!(publish.on(Event::ReadToEnd, &fold), Action::Report(late), "no append after");
    }

    change_on_a_version_that_nobody_made_is_invalid => {
        let fold = Fold::new();
        let ahead = change("mine", 4, ChangeAction::ZoneIn(zone("tema")));
        let mut publish = Publish::new(ahead);
        let invalid = Action::Report(Publication::Invalid(ConfigVersion(0)));
        assert_eq!(publish.on(Event::ReadToEnd, &fold), invalid);
    }

    repeat_of_an_accepted_change_is_not_appended_again => {
        let mut fold = Fold::new();
        fold.apply(0, &Record::Change(mine()));
        fold.apply(1, &other("theirs", 1));
        let accepted = Action::Report(Publication::Accepted(ConfigVersion(1)));
        assert_eq!(Publish::new(mine()).on(Event::ReadToEnd, &fold), accepted);
    }

    random_events_append_once_and_report_what_the_log_says => {
        let config = RunnerConfig {
            cases: SEQUENCES,
            failure_persistence: None,
            ..RunnerConfig::default()
        };
        let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
        let steps = proptest::collection::vec(0..7_u8, 1..24);
        TestRunner::new_with_rng(config, rng)
            .run(&steps, |steps| run(&steps))
            .expect("every sequence holds");
    }
}

/// Feeds random events; the append takes effect now, later or never.
fn run(steps: &[u8]) -> Result<(), TestCaseError> {
    let mut fold = Fold::new();
    let mut publish = Publish::new(mine());
    let mut log = Vec::new();
    let (mut appends, mut under_way, mut late) = (0, false, false);
    let mut reports = Vec::new();
    for (index, step) in steps.iter().enumerate() {
        let event = match step {
            0 => Event::ReadToEnd,
            1 if under_way => {
                log.push(Record::Change(mine()));
                under_way = false;
                Event::Appended {
                    offset: log.len() as u64 - 1,
                }
            }
            2 if under_way => {
                (under_way, late) = (false, true);
                Event::AppendLost
            }
            3 if late => {
                log.push(Record::Change(mine()));
                late = false;
                Event::FoldMoved
            }
            4 => {
                log.push(other(&format!("other {index}"), fold.version().0));
                Event::FoldMoved
            }
            5 => Event::DeadlinePassed,
            6 if under_way => {
                under_way = false;
                Event::AppendRefused(NotAcceptedReason::LogDown)
            }
            _ => Event::FoldMoved,
        };
        for offset in fold.next_offset()..log.len() as u64 {
            fold.apply(offset, &log[offset as usize]);
        }
        match publish.on(event, &fold) {
            Action::Append => (appends, under_way) = (appends + 1, true),
            Action::Report(report) => reports.push(report),
            Action::Wait | Action::ReadToEnd => {}
        }
    }
    prop_assert!(appends <= 1, "appended {appends} times");
    check_reports(&reports, &mut log, &mut fold, late)
}

/// Lets a late append arrive and compares every report with the fold's outcome.
fn check_reports(
    reports: &[Publication],
    log: &mut Vec<Record>,
    fold: &mut Fold,
    late: bool,
) -> Result<(), TestCaseError> {
    if late {
        log.push(Record::Change(mine()));
        fold.apply(log.len() as u64 - 1, &log[log.len() - 1]);
    }
    let said = reports
        .iter()
        .filter(|report| **report != Publication::Unknown);
    let said: Vec<&Publication> = said.collect();
    prop_assert!(said.windows(2).all(|pair| pair[0] == pair[1]), "{:?}", said);
    let accepted = fold.config().zones_out.contains(&zone("saraburi"));
    match said.last() {
        Some(Publication::Accepted(_)) => prop_assert!(accepted),
        Some(_) => prop_assert!(!accepted, "{:?}", said),
        None => {}
    }
    Ok(())
}
