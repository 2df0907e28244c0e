//! Heads of callers' requests that are malformed, cut, slow, too long or name what is unknown.

use tokio::io::AsyncWriteExt;

use crate::support::{TestNode, cases, problem_of, read_to_end, start};

const BROKEN: &str = "caller.broken";
/// Longer than the longest head that a node takes, in bytes.
const LONG_HEAD_BYTES: usize = 100 << 10;

/// Sends a request with one header and checks its refusal and the counter.
async fn refused(node: &TestNode, path: &str, header: &str, status: u16, reason: &str) {
    let counter = format!("refused.{reason}");
    let before = node.counter(&counter);
    let runs = node.runs();
    let request =
        format!("GET {path} HTTP/1.1\r\nhost: t\r\nconnection: close\r\n{header}\r\n\r\n");
    let answer = node
        .exchange(request.as_bytes())
        .await
        .expect("a connection");
    let (code, problem) = problem_of(&answer);
    assert_eq!(
        (code, problem["reason"].as_str()),
        (status, Some(reason)),
        "{answer}"
    );
    assert_eq!(problem["not_run"], true, "{answer}");
    assert_eq!(node.counter(&counter), before + 1, "{counter}");
    assert_eq!(node.runs(), runs);
}

cases! {
    requests_that_name_the_unknown_or_malformed_are_refused_as_not_run => {
        let node = start().await;
        refused(&node, "/nowhere/7", "accept: a", 404, "unknown-service").await;
        refused(&node, "/UPPER%20CASE/7", "accept: a", 404, "unknown-service").await;
        refused(&node, "/herd/7", "bronzelock-branch: nobody", 400, "unknown-branch").await;
        refused(&node, "/herd/7", "bronzelock-branch: \u{e9}", 400, "bad-request").await;
        refused(&node, "/herd/7", "bronzelock-request-id: 12", 400, "bad-request").await;
        refused(&node, "/herd/7", "bronzelock-timeout-ms: soon", 400, "bad-request").await;
        refused(&node, "/herd/7", "bronzelock-timeout-ms: -1", 400, "bad-request").await;
        refused(&node, "/herd/7", "bronzelock-timeout-ms: 0", 504, "deadline-lapsed").await;
        refused(&node, "/herd/7", "bronzelock-server: herd-9", 404, "unknown-server").await;
        let long_key = format!("idempotency-key: {}", "k".repeat(1_000));
        refused(&node, "/herd/7", &long_key, 400, "bad-request").await;
        node.assert_unharmed().await;
    }

    malformed_head_is_answered_with_400_and_counted => {
        let node = start().await;
        let answer = node.exchange(b"\x00\xffNONSENSE\r\n\r\n").await.expect("a connection");
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
        node.wait_for_counter(BROKEN, 1).await;
        node.assert_unharmed().await;
    }

    oversized_head_is_refused_and_counted => {
        let node = start().await;
        let mut stream = node.connect().await.expect("a connection");
        let head = format!("GET /herd/7 HTTP/1.1\r\nx: {}", "x".repeat(LONG_HEAD_BYTES));
        // The node may close before it has read everything.
        if let Err(error) = stream.write_all(head.as_bytes()).await {
            eprintln!("the rest was not taken: {error}");
        }
        let answer = read_to_end(&mut stream).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 431"), "{answer}");
        node.wait_for_counter(BROKEN, 1).await;
        node.assert_unharmed().await;
    }

    truncated_head_ends_the_connection_and_is_counted => {
        let node = start().await;
        let mut stream = node.connect().await.expect("a connection");
        stream.write_all(b"GET /herd/7 HTTP/1.1\r\nhos").await.expect("written");
        stream.shutdown().await.expect("half closed");
        let answer = read_to_end(&mut stream).await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        node.wait_for_counter(BROKEN, 1).await;
        node.assert_unharmed().await;
    }

    slow_head_ends_the_connection_and_is_counted => {
        let node = start().await;
        let mut stream = node.connect().await.expect("a connection");
        stream.write_all(b"GET /herd/7 HTTP/1.1\r\nhos").await.expect("written");
        let answer = read_to_end(&mut stream).await;
        assert!(!answer.starts_with("HTTP/1.1 200"), "{answer}");
        node.wait_for_counter(BROKEN, 1).await;
        node.assert_unharmed().await;
    }
}
