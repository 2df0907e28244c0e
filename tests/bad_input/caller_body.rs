//! Bodies of callers' requests that are too long, cut or slow.

use std::sync::atomic::Ordering;

use tokio::io::AsyncWriteExt;

use crate::support::{
    BODIES_BYTES_MAX, BODY_BYTES_MAX, TestNode, cases, eventually, problem_of, read_to_end, start,
};

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
        let held = node.kernel().state.bodies_bytes.load(Ordering::Relaxed);
        assert!(held <= BODIES_BYTES_MAX as u64, "{held} bytes");
        drop(streams);
        node.assert_unharmed().await;
    }
}
