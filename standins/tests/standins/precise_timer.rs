//! The timer wakes every sleeper, none too early.

use std::sync::Arc;
use std::time::{Duration, Instant};

use standins::precise_timer::PreciseTimer;

use crate::support::cases;

cases! {
    sleepers_wake_no_sooner_than_their_time => {
        let timer = Arc::new(PreciseTimer::start().expect("timer starts"));
        let now = Instant::now();
        let sleepers = [3, 1, 2, 0].map(|ms| {
            let timer = Arc::clone(&timer);
            let due = now + Duration::from_millis(ms);
            tokio::spawn(async move {
                timer.sleep_until(due).await;
                Instant::now() >= due
            })
        });
        for sleeper in sleepers {
            assert!(sleeper.await.expect("sleeper wakes"));
        }
    }

    cancelled_sleeper_holds_up_no_other => {
        let timer = PreciseTimer::start().expect("timer starts");
        let now = Instant::now();
        let far = timer.sleep_until(now + Duration::from_hours(1));
        let near = timer.sleep_until(now + Duration::from_millis(2));
        tokio::select! {
            () = far => panic!("an hour has not passed"),
            () = near => (),
        }
        timer.sleep_until(now + Duration::from_millis(4)).await;
    }
}
