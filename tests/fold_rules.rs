//! Rules of the configuration fold and of catching up with the log.

mod common;

use bronzelock::agreement::catch_up::{CatchUp, Page, Progress, StoredRecord};
use bronzelock::agreement::change::ChangeAction;
use bronzelock::agreement::fold::{Applied, Fold};
use bronzelock::agreement::outcome::{OUTCOMES_MAX, Outcome};
use bronzelock::agreement::record::{Record, RecordError, RecordWire};
use bronzelock::agreement::snapshot::Snapshot;
use bronzelock::model::ids::ConfigVersion;
use common::{change, change_text, herd, zone};

fn zone_out(id: &str, base: u64, name: &str) -> Record {
    Record::Change(change(id, base, ChangeAction::ZoneOut(zone(name))))
}

fn snapshot_record(fold: &Fold) -> Record {
    Record::Snapshot(Box::new(fold.snapshot()))
}

fn fold_of(records: &[Record]) -> Fold {
    let mut fold = Fold::new();
    for (offset, record) in records.iter().enumerate() {
        fold.apply(offset as u64, record);
    }
    fold
}

fn page(earliest: u64, texts: &[String], next: u64) -> Page {
    let first = next - texts.len() as u64;
    let stored = |(index, text): (usize, &String)| StoredRecord {
        offset: first + index as u64,
        text: text.clone(),
    };
    Page {
        from: 0,
        earliest,
        next,
        records: texts.iter().enumerate().map(stored).collect(),
    }
}

cases! {
    first_change_on_a_base_wins => {
        let mut fold = Fold::new();
        assert_eq!(
            fold.apply(0, &zone_out("a", 0, "saraburi")),
            Applied::Accepted(ConfigVersion(1))
        );
        let Applied::Rejected(rejection) = fold.apply(1, &zone_out("b", 0, "ratchaburi")) else {
            panic!("the second change with the same base was not rejected");
        };
        assert_eq!(rejection.winner.0.as_ref(), "a");
        assert_eq!(rejection.winner_author.as_ref(), "operator of a");
        assert_eq!(rejection.version, ConfigVersion(1));
        assert!(fold.config().zones_out.contains(&zone("saraburi")));
        assert!(!fold.config().zones_out.contains(&zone("ratchaburi")));
    }

    rejection_names_the_winner_on_the_same_base => {
        let mut fold = fold_of(&[zone_out("a", 0, "saraburi"), zone_out("b", 1, "ratchaburi")]);
        let Applied::Rejected(rejection) = fold.apply(2, &zone_out("c", 0, "tema")) else {
            panic!("a change with an old base was not rejected");
        };
        assert_eq!(rejection.winner.0.as_ref(), "a");
        assert_eq!(rejection.version, ConfigVersion(2));
    }

    repeated_change_has_no_effect => {
        let mut fold = fold_of(&[zone_out("a", 0, "saraburi")]);
        assert_eq!(fold.apply(1, &zone_out("a", 0, "saraburi")), Applied::Duplicate);
        assert_eq!(fold.apply(0, &zone_out("z", 1, "tema")), Applied::Duplicate);
        assert_eq!(fold.version(), ConfigVersion(1));
        assert_eq!(fold.next_offset(), 2);
    }

    repeated_change_has_no_effect_after_a_snapshot => {
        let mut fold = Fold::new();
        assert!(fold.adopt(fold_of(&[zone_out("a", 0, "saraburi")]).snapshot()));
        assert_eq!(fold.apply(1, &zone_out("a", 0, "saraburi")), Applied::Duplicate);
    }

    forgotten_change_is_rejected_by_its_base => {
        let mut records = vec![zone_out("a", 0, "saraburi")];
        records.extend((1..=OUTCOMES_MAX as u64).map(|n| zone_out(&format!("c{n}"), n, "tema")));
        let mut fold = fold_of(&records);
        assert_eq!(fold.outcome(&common::change("a", 0, ChangeAction::ZoneIn(zone("x"))).id), None);
        let config = fold.config();
        let again = fold.apply(records.len() as u64, &zone_out("a", 0, "saraburi"));
        assert!(matches!(again, Applied::Rejected(_)), "{again:?}");
        assert_eq!(fold.config(), config);
    }

    change_on_a_future_base_is_invalid => {
        let mut fold = Fold::new();
        assert_eq!(fold.apply(0, &zone_out("a", 3, "tema")), Applied::Invalid(ConfigVersion(0)));
        assert_eq!(fold.next_offset(), 1);
    }

    invalid_answers_make_the_change_invalid => {
        let mut answers = herd();
        answers.cold_slots = answers.slots + 1;
        let put = ChangeAction::PutAnswers(Box::new(answers));
        let mut fold = Fold::new();
        let applied = fold.apply(0, &Record::Change(change("a", 0, put)));
        assert_eq!(applied, Applied::Invalid(ConfigVersion(0)));
        assert!(fold.config().services.is_empty());
    }

    service_is_removed_with_its_last_branch => {
        let answers = herd();
        let (service, branch) = (answers.service.clone(), answers.branch.clone());
        let put = ChangeAction::PutAnswers(Box::new(answers));
        let mut fold = fold_of(&[Record::Change(change("a", 0, put))]);
        assert!(fold.config().services.contains_key(&service));
        let remove = ChangeAction::RemoveBranch { service, branch };
        let record = Record::Change(change("b", 1, remove));
        assert_eq!(fold.apply(1, &record), Applied::Accepted(ConfigVersion(2)));
        assert!(fold.config().services.is_empty());
    }

    missing_records_are_a_gap => {
        let mut fold = fold_of(&[zone_out("a", 0, "saraburi")]);
        assert_eq!(fold.apply(3, &zone_out("b", 1, "tema")), Applied::Gap);
        assert_eq!(fold.version(), ConfigVersion(1));
        assert_eq!(fold.next_offset(), 1);
    }

    late_snapshot_neither_hides_nor_overrides_a_newer_change => {
        let early = fold_of(&[zone_out("a", 0, "saraburi")]);
        let mut running = fold_of(&[zone_out("a", 0, "saraburi"), zone_out("b", 1, "tema")]);
        assert_eq!(running.apply(2, &snapshot_record(&early)), Applied::SnapshotStale);
        assert_eq!(running.version(), ConfigVersion(2));

        let mut starting = Fold::new();
        let adopted = starting.apply(2, &snapshot_record(&early));
        assert_eq!(adopted, Applied::SnapshotAdopted(ConfigVersion(1)));
        assert_eq!(starting.next_offset(), 1, "the change at offset 1 is still to be read");
        starting.apply(1, &zone_out("b", 1, "tema"));
        starting.apply(2, &snapshot_record(&early));
        assert_eq!(starting.snapshot(), running.snapshot());
    }

    snapshot_that_claims_to_cover_its_own_record_is_ignored => {
        let self_covering = Snapshot {
            next_offset: 9,
            ..fold_of(&[zone_out("a", 0, "tema")]).snapshot()
        };
        let mut fold = Fold::new();
        assert_eq!(
            fold.apply(5, &Record::Snapshot(Box::new(self_covering))),
            Applied::SnapshotStale
        );
        assert_eq!(fold.version(), ConfigVersion(0));
    }

    records_covered_by_a_peers_snapshot_have_no_effect => {
        let records = [
            zone_out("a", 0, "saraburi"),
            zone_out("b", 0, "tema"),
            zone_out("c", 1, "x"),
        ];
        let peer = fold_of(&records);
        let mut fold = Fold::new();
        assert!(fold.adopt(peer.snapshot()));
        for (offset, record) in records.iter().enumerate() {
            assert_eq!(fold.apply(offset as u64, record), Applied::Duplicate);
        }
        assert_eq!(fold.snapshot(), peer.snapshot());
    }

    older_or_equal_snapshot_is_not_adopted => {
        let old = fold_of(&[zone_out("a", 0, "saraburi")]).snapshot();
        let mut fold = fold_of(&[zone_out("a", 0, "saraburi"), zone_out("b", 1, "tema")]);
        assert!(!fold.adopt(old));
        let same = fold.snapshot();
        assert!(!fold.adopt(same));
        assert_eq!(fold.version(), ConfigVersion(2));
    }

    start_on_a_trimmed_log_without_snapshot_is_a_gap => {
        let texts = [change_text(&change("b", 1, ChangeAction::ZoneOut(zone("tema"))))];
        let mut fold = Fold::new();
        let result = CatchUp::default().on_page(&mut fold, &page(1, &texts, 2)).expect("readable");
        assert_eq!(result.progress, Progress::Gap { needed: 0, earliest: 1 });
        assert_eq!(fold.version(), ConfigVersion(0));
    }

    starting_node_is_ready_only_at_the_end_of_the_log => {
        let early = fold_of(&[zone_out("a", 0, "saraburi")]);
        let late = change("c", 2, ChangeAction::ZoneOut(zone("x")));
        let texts = [RecordWire::from(&early.snapshot()).to_text(), change_text(&late)];
        let mut fold = Fold::new();
        let mut catch_up = CatchUp::default();
        let gap = catch_up.on_page(&mut fold, &page(2, &texts, 4)).expect("readable");
        assert!(matches!(gap.progress, Progress::Gap { .. }), "{gap:?}");
        assert!(!catch_up.is_ready(), "version 1 may be older than what callers already saw");

        let first = [change_text(&change("a", 0, ChangeAction::ZoneOut(zone("x"))))];
        let longer = Page { next: 2, ..page(0, &first, 1) };
        let (mut fold, mut catch_up) = (Fold::new(), CatchUp::default());
        catch_up.on_page(&mut fold, &longer).expect("readable");
        assert!(!catch_up.is_ready(), "another record is still to be read");
        catch_up.on_page(&mut fold, &page(0, &first, 1)).expect("readable");
        assert!(catch_up.is_ready());
    }

    records_are_live_only_for_a_reader_that_was_at_the_end => {
        let (mut fold, mut catch_up) = (Fold::new(), CatchUp::default());
        let texts = [RecordWire::from(&Fold::new().snapshot()).to_text()];
        let first = catch_up.on_page(&mut fold, &page(0, &texts, 1)).expect("readable");
        assert!(!first.live, "the age of the snapshot is unknown");
        assert_eq!(first.progress, Progress::CaughtUp);
        let later = [change_text(&change("a", 0, ChangeAction::ZoneOut(zone("x"))))];
        let second = catch_up.on_page(&mut fold, &page(0, &later, 2)).expect("readable");
        assert!(second.live);
    }

    peers_state_makes_a_starting_node_ready => {
        let mut catch_up = CatchUp::default();
        assert!(!catch_up.is_ready());
        catch_up.on_adopted();
        assert!(catch_up.is_ready());
    }

    start_on_a_fully_trimmed_log_is_a_gap => {
        let result = CatchUp::default().on_page(&mut Fold::new(), &page(7, &[], 7));
        let progress = result.expect("readable").progress;
        assert_eq!(progress, Progress::Gap { needed: 0, earliest: 7 });
    }

    snapshot_whose_next_record_was_trimmed_is_a_gap => {
        let early = fold_of(&[zone_out("a", 0, "saraburi")]);
        let texts = [RecordWire::from(&early.snapshot()).to_text()];
        let mut fold = Fold::new();
        let result = CatchUp::default().on_page(&mut fold, &page(4, &texts, 5)).expect("readable");
        assert_eq!(result.progress, Progress::Gap { needed: 1, earliest: 4 });
    }

    shorter_log_is_reported_and_the_version_stays => {
        let mut fold = fold_of(&[zone_out("a", 0, "saraburi"), zone_out("b", 1, "tema")]);
        let texts = [change_text(&change("z", 0, ChangeAction::ZoneIn(zone("tema"))))];
        let result = CatchUp::default().on_page(&mut fold, &page(0, &texts, 1)).expect("readable");
        assert_eq!(result.progress, Progress::LogShorter { covered: 2, next: 1 });
        assert_eq!(fold.version(), ConfigVersion(2));
    }

    unreadable_text_is_skipped_and_newer_format_stops_the_reader => {
        let texts = ["not json".to_owned(), r#"{"wire_version":9,"body":{"fly":1}}"#.to_owned()];
        let mut fold = Fold::new();
        let result = CatchUp::default().on_page(&mut fold, &page(0, &texts, 2));
        assert_eq!(result, Err(RecordError::NewerWireVersion(9)));
        assert_eq!(fold.next_offset(), 1);
    }

    outcome_is_found_by_id => {
        let fold = fold_of(&[zone_out("a", 0, "saraburi"), zone_out("b", 0, "tema")]);
        let entries: Vec<_> = fold.outcomes().collect();
        assert_eq!(entries[0].outcome, Outcome::Accepted(ConfigVersion(1)));
        assert!(matches!(entries[1].outcome, Outcome::Rejected(_)));
        assert_eq!(fold.outcome(&entries[0].id), Some(&entries[0].outcome));
    }
}
