//! Usual run times, and what they are taken for before and right after the first answers.

use std::sync::Arc;

use bronzelock::decision::host::run_times::{AverageRun, RunTimes};

const MS: u64 = 1_000;

/// Pattern: all nodes restart, and the first requests come before any answer is known.
#[test]
fn before_the_first_answer_a_run_takes_a_part_of_its_objective() {
    let run_times = RunTimes::default();
    let short_us = run_times.usual_us("status", 250 * MS);
    let long_us = run_times.usual_us("trend", 1_500 * MS);
    assert!((60_000.0..125_000.0).contains(&short_us), "{short_us} µs");
    assert!((400_000.0..750_000.0).contains(&long_us), "{long_us} µs");
}

#[test]
fn the_first_answer_replaces_the_assumption() {
    let mut run_times = RunTimes::default();
    run_times.record(&Arc::from("status"), 400 * MS, 4.0);
    let usual_us = run_times.usual_us("status", 900 * MS);
    assert!((usual_us - 100_000.0).abs() < 1.0, "{usual_us} µs");
}

#[test]
fn the_first_runs_count_alike_and_later_ones_move_the_average() {
    let mut average = AverageRun::default();
    assert_eq!(average.get(), None);
    for usual_us in [100.0, 300.0] {
        average.record(usual_us);
    }
    assert_eq!(average.get(), Some(200.0));
    for _ in 0..200 {
        average.record(500.0);
    }
    let now_us = average.get().expect("runs were recorded");
    assert!((490.0..500.1).contains(&now_us), "{now_us} µs");
}

/// Guards against a stopping node that knows nothing of how long answers take to arrive.
#[test]
fn an_answer_takes_its_run_and_its_transfer() {
    let mut run_times = RunTimes::default();
    let route = Arc::from("bundle");
    assert_eq!(run_times.answer_us(&route), None);
    run_times.record(&route, 200 * MS, 1.0);
    assert_eq!(run_times.answer_us(&route), None);
    run_times.record_answer(&route, 650 * MS);
    assert_eq!(run_times.answer_us(&route), Some(650_000.0));
}
