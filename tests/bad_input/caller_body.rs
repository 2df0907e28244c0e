//! Bodies of callers' requests that are too long, cut or slow.

use std::time::Duration;

use tokio::io::AsyncWriteExt;

use crate::support::{
    BODIES_BYTES_MAX, BODY_BYTES_MAX, TestNode, cases, eventually, problem_of, read_to_end, start,
};

/// Time after which a body without progress has stalled.
const STALLED: Duration = Duration::from_millis(1_200);

/// Requests whose bodies together exceed what the node holds.
const MANY: usize = 6;

fn head(length: &str, timeout_ms: u64) -> String {
    format!(
        "PUT /herd/7 HTTP/1.1\r\nhost: t\r\nconnection: close\r\n{length}\r\n\
         bronzelock-timeout-ms: {timeout_ms}\r\n\r\n"
    )
}

async fn refused(node: &TestNode, request: &str, status: u16, reason: &str) {
    let mut stream = node.connect().await.expect("a connection");
    if let Err(error) = stream.write_all(request.as_bytes()).await {
        eprintln!("the rest was not taken: {error}");
    }
    let answer = read_to_end(&mut stream).await;
    let (code, problem) = problem_of(&answer);
    assert_eq!(
        (code, problem["reason"].as_str()),
        (status, Some(reason)),
        "{answer}"
    );
    assert_eq!(problem["not_run"], true);
}

cases! {
    oversized_body_is_refused_with_413_and_counted => {
        let node = start().await;
        let runs = node.runs();
        let length = BODY_BYTES_MAX + 1;
        let declared = head(&format!("content-length: {length}"), 5_000) + &"x".repeat(length);
        refused(&node, &declared, 413, "body-too-large").await;
        let chunk = format!("{length:x}\r\n{}\r\n0\r\n\r\n", "x".repeat(length));
        let chunked = head("transfer-encoding: chunked", 5_000) + &chunk;
        refused(&node, &chunked, 413, "body-too-large").await;
        assert_eq!(node.counter("refused.body-too-large"), 2);
        assert_eq!(node.runs(), runs);
        node.assert_unharmed().await;
    }

    slow_body_is_refused_at_its_deadline_and_counted => {
        let node = start().await;
        let runs = node.runs();
        let begun = head("content-length: 100", 200) + "only a part";
        refused(&node, &begun, 504, "deadline-lapsed").await;
        assert_eq!(node.counter("refused.deadline-lapsed"), 1);
        assert_eq!(node.runs(), runs);
        node.assert_unharmed().await;
    }

    truncated_body_never_runs => {
        let node = start().await;
        let runs = node.runs();
        let mut stream = node.connect().await.expect("a connection");
        let begun = head("content-length: 100", 5_000) + "only a part";
        stream.write_all(begun.as_bytes()).await.expect("written");
        stream.shutdown().await.expect("half closed");
        let answer = read_to_end(&mut stream).await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        eventually("it is counted", || {
            node.counter("refused.bad-request") + node.counter("caller.broken") > 0
        }).await;
        assert_eq!(node.runs(), runs);
        node.assert_unharmed().await;
    }

    bodies_that_wait_are_held_within_the_bound => {
        let node = start().await;
        let part = "x".repeat(BODY_BYTES_MAX - 1);
        let begun = head(&format!("content-length: {BODY_BYTES_MAX}"), 20_000) + &part;
        let mut streams = Vec::new();
        for _ in 0..MANY {
            let mut stream = node.connect().await.expect("a connection");
            stream.write_all(begun.as_bytes()).await.expect("written");
            streams.push(stream);
        }
        let whole = BODIES_BYTES_MAX / BODY_BYTES_MAX;
        node.wait_for_counter("refused.queue-full", (MANY - whole) as u64).await;
        let held = node.kernel().state.bodies.reserved_bytes();
        assert!(held <= BODIES_BYTES_MAX, "{held} bytes");
        drop(streams);
        node.assert_unharmed().await;
    }

    // Bodies short of their end kept all others out until their deadlines.
    bodies_that_stall_give_way_to_others => {
        let node = start().await;
        let part = "x".repeat(BODY_BYTES_MAX - 1);
        let begun = head(&format!("content-length: {BODY_BYTES_MAX}"), 60_000) + &part;
        let mut streams = Vec::new();
        for _ in 0..BODIES_BYTES_MAX / BODY_BYTES_MAX {
            let mut stream = node.connect().await.expect("a connection");
            stream.write_all(begun.as_bytes()).await.expect("written");
            streams.push(stream);
        }
        tokio::time::sleep(STALLED).await;
        let whole = begun.clone() + "x";
        let answer = node.exchange(whole.as_bytes()).await.expect("a connection");
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
        let given_up = read_to_end(&mut streams[0]).await;
        let (code, problem) = problem_of(&given_up);
        assert_eq!((code, problem["not_run"].as_bool()), (503, Some(true)), "{given_up}");
        drop(streams);
        node.assert_unharmed().await;
    }
}
