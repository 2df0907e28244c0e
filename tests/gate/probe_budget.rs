//! Probe budget: never exceeds its rate, and skips probes that traffic has answered.

use bronzelock::decision::probe_budget::ProbeBudget;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use crate::support::MS;

/// Length of one second, in µs.
const SECOND_US: u64 = 1_000 * MS;

macro_rules! budget_cases {
    ($($name:ident($per_s:expr) => |$budget:ident| $body:block)+) => {
        $(#[test]
        fn $name() {
            let mut $budget = ProbeBudget::new($per_s);
            $body
        })+
    };
}

budget_cases! {
    zero_rate_grants_nothing(0) => |budget| {
        assert!((0..100).all(|second| !budget.allow(second * SECOND_US, None)));
    }

    unused_seconds_are_not_saved(5) => |budget| {
        let at_us = 100 * SECOND_US;
        let granted = (0..100).filter(|_| budget.allow(at_us, None)).count();
        assert_eq!(granted, 1);
    }

    probe_answered_by_traffic_is_not_charged(5) => |budget| {
        assert!(!budget.allow(SECOND_US, Some(SECOND_US - 100 * MS)));
        assert!(!budget.allow(SECOND_US + 99 * MS, Some(SECOND_US - 100 * MS)));
        assert!(budget.allow(SECOND_US + 100 * MS, Some(SECOND_US - 100 * MS)));
    }

    old_traffic_does_not_replace_a_probe(5) => |budget| {
        assert!(budget.allow(10 * SECOND_US, Some(9 * SECOND_US)));
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_second_grants_more_than_the_rate(
        per_s in 0_u32..20,
        gaps_us in prop::collection::vec(0_u64..120_000, 1..300),
    ) {
        let mut budget = ProbeBudget::new(per_s);
        let mut now_us = 0;
        let mut granted_us = Vec::new();
        for gap_us in gaps_us {
            now_us += gap_us;
            if budget.allow(now_us, None) {
                granted_us.push(now_us);
            }
        }
        for &from_us in &granted_us {
            let in_second = granted_us.iter().filter(|&&at_us| {
                (from_us..from_us + SECOND_US).contains(&at_us)
            });
            prop_assert!(in_second.count() <= per_s as usize);
        }
    }
}
