//! The log keeps offsets and shows its faults.

use std::time::Duration;

use hyper::StatusCode;
use standins::http::client::ClientStep;
use standins::log_service::{Appended, DownMode, Faults, LogService, Offset, Page};
use tokio::task::JoinHandle;

use crate::support::{ask, cases, eventually, get, loopback, try_ask, with_body};

const RECORDS: &str = "/streams/config/records";

async fn start(faults: Faults) -> LogService {
    LogService::start(loopback(), faults)
        .await
        .expect("log starts")
}

async fn append(log: &LogService, data: &str) -> Offset {
    let answer = ask(log.address(), with_body("POST", RECORDS, data)).await;
    let appended: Appended = serde_json::from_slice(&answer.body).expect("offset");
    appended.offset
}

async fn append_status(log: &LogService, data: &str) -> StatusCode {
    ask(log.address(), with_body("POST", RECORDS, data))
        .await
        .status
}

async fn read(log: &LogService, query: &str) -> Page {
    let answer = ask(log.address(), get(&format!("{RECORDS}?{query}"))).await;
    serde_json::from_slice(&answer.body).expect("page")
}

/// Starts a read that waits for the first record.
async fn start_waiting_read(log: &LogService) -> JoinHandle<Page> {
    let address = log.address();
    let waiting = tokio::spawn(async move {
        let answer = ask(address, get(&format!("{RECORDS}?from=0&wait_ms=60000"))).await;
        serde_json::from_slice(&answer.body).expect("page")
    });
    eventually("read waits", || log.stats().waiting_reads == 1).await;
    waiting
}

fn data(page: &Page) -> Vec<&str> {
    page.records
        .iter()
        .map(|record| record.data.as_ref())
        .collect()
}

cases! {
    appends_get_consecutive_offsets => {
        let log = start(Faults::default()).await;
        assert_eq!(append(&log, "a").await, Offset(0));
        assert_eq!(append(&log, "b").await, Offset(1));
        let page = read(&log, "from=1").await;
        assert_eq!((page.earliest, page.next), (Offset(0), Offset(2)));
        assert_eq!(page.records[0].offset, Offset(1));
        assert_eq!(data(&page), ["b"]);
        assert_eq!(data(&read(&log, "from=0&max=1").await), ["a"]);
        log.stop().await;
    }

    streams_are_apart => {
        let log = start(Faults::default()).await;
        append(&log, "a").await;
        let answer = ask(log.address(), get("/streams/members/records?from=0")).await;
        let page: Page = serde_json::from_slice(&answer.body).expect("page");
        assert_eq!(page.next, Offset(0));
        log.stop().await;
    }

    waiting_read_gets_the_next_append => {
        let log = start(Faults::default()).await;
        let waiting = start_waiting_read(&log).await;
        append(&log, "late").await;
        let page = waiting.await.expect("read ends");
        assert_eq!(data(&page), ["late"]);
        log.stop().await;
    }

    waiting_read_is_answered_at_the_stop => {
        let log = start(Faults::default()).await;
        let waiting = start_waiting_read(&log).await;
        log.stop().await;
        let page = waiting.await.expect("read ends");
        assert_eq!((data(&page).len(), page.next), (0, Offset(0)));
    }

    count_retention_shows_a_gap => {
        let log = start(Faults { retention_records: Some(2), ..Faults::default() }).await;
        for text in ["a", "b", "c", "d"] {
            append(&log, text).await;
        }
        let page = read(&log, "from=0").await;
        assert_eq!((page.earliest, page.next), (Offset(2), Offset(4)));
        assert_eq!(data(&page), ["c", "d"]);
        log.stop().await;
    }

    age_retention_forgets_and_keeps_offsets => {
        let log = start(Faults { retention_ms: Some(1), ..Faults::default() }).await;
        append(&log, "a").await;
        tokio::time::sleep(Duration::from_millis(5)).await;
        let page = read(&log, "from=0").await;
        assert_eq!((page.earliest, page.next), (Offset(1), Offset(1)));
        log.set_faults(Faults::default());
        assert_eq!(append(&log, "b").await, Offset(1));
        log.stop().await;
    }

    refusing_log_takes_nothing => {
        let log = start(Faults { down: DownMode::Refuse, ..Faults::default() }).await;
        assert_eq!(append_status(&log, "a").await, StatusCode::SERVICE_UNAVAILABLE);
        let restored = with_body("PUT", "/faults", "{}");
        assert_eq!(ask(log.address(), restored).await.status, StatusCode::OK);
        assert_eq!(append(&log, "b").await, Offset(0));
        assert_eq!(log.stats().refused_down, 1);
        log.stop().await;
    }

    hanging_log_takes_nothing => {
        let log = start(Faults { down: DownMode::Hang, ..Faults::default() }).await;
        let address = log.address();
        let hanging = tokio::spawn(try_ask(address, with_body("POST", RECORDS, "a")));
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert!(!hanging.is_finished());
        log.stop().await;
        let lost = hanging.await.expect("append ends").expect_err("no answer");
        assert_eq!(lost.step, ClientStep::Head);
    }

    lost_answer_took_effect => {
        let log = start(Faults { lose_answer_percent: 100, ..Faults::default() }).await;
        let lost = try_ask(log.address(), with_body("POST", RECORDS, "a")).await;
        assert_eq!(lost.expect_err("no answer").step, ClientStep::Head);
        assert_eq!(data(&read(&log, "from=0").await), ["a"]);
        let stats = log.stats();
        assert_eq!((stats.appends, stats.answers_lost, stats.reads), (1, 1, 1));
        assert_eq!((stats.appended_bytes, stats.read_bytes), (1, 1));
        log.stop().await;
    }

    append_over_the_limit_is_refused => {
        let log = start(Faults { appends_per_s: Some(0), ..Faults::default() }).await;
        assert_eq!(append_status(&log, "a").await, StatusCode::OK);
        assert_eq!(append_status(&log, "b").await, StatusCode::TOO_MANY_REQUESTS);
        assert_eq!(data(&read(&log, "from=0").await), ["a"]);
        log.stop().await;
    }

    malformed_read_is_refused => {
        let log = start(Faults::default()).await;
        let answer = ask(log.address(), get(&format!("{RECORDS}?from=x"))).await;
        assert_eq!(answer.status, StatusCode::BAD_REQUEST);
        log.stop().await;
    }
}
