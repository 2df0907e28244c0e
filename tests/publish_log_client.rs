//! The log client against a fake server that answers, refuses or closes the connection.

mod common;

use std::net::SocketAddr;

use bronzelock::agreement::catch_up::StoredRecord;
use bronzelock::agreement::publish::NotAcceptedReason;
use bronzelock::edge::log_client::{LogClient, LogError, LogStep, LogTimeouts};
use common::block_on;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

const TIMEOUTS: LogTimeouts = LogTimeouts {
    connect_ms: 5_000,
    append_ms: 5_000,
    read_ms: 5_000,
};

/// Serves one connection: reads until `until` arrives, sends `answer` and closes.
///
/// The task returns the request.
async fn serve_once(until: &'static str, answer: &'static str) -> (SocketAddr, JoinHandle<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let task = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let mut request = Vec::new();
        while !String::from_utf8_lossy(&request).contains(until) {
            let read = socket.read_buf(&mut request).await.expect("a request");
            assert!(
                read > 0,
                "the client closed the connection before the request was complete"
            );
        }
        socket
            .write_all(answer.as_bytes())
            .await
            .expect("the answer is sent");
        String::from_utf8(request).expect("the request is UTF-8")
    });
    (address, task)
}

fn client(address: SocketAddr) -> LogClient {
    LogClient::new(address, "config", TIMEOUTS)
}

async fn append_against(answer: &'static str) -> (Result<u64, LogError>, String) {
    let (address, task) = serve_once("{\"a\":1}", answer).await;
    let result = client(address).append("{\"a\":1}").await;
    (result, task.await.expect("the fake server did not panic"))
}

cases! {
    append_returns_the_offset => {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"offset\":41}";
        let (result, request) = block_on(append_against(answer));
        assert_eq!(result.expect("appended"), 41);
        assert!(request.starts_with("POST /streams/config/records HTTP/1.1\r\n"), "{request}");
        assert!(request.ends_with("\r\n\r\n{\"a\":1}"), "the record is sent unchanged: {request}");
    }

    read_returns_a_page => {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 67\r\n\r\n\
            {\"earliest\":3,\"next\":9,\"records\":[{\"offset\":7,\"data\":\"{\\\"x\\\":1}\"}]}";
        let (page, request) = block_on(async {
            let (address, task) = serve_once("\r\n\r\n", answer).await;
            let page = client(address).read(7, 100, 250).await;
            (page.expect("a page"), task.await.expect("the fake server did not panic"))
        });
        let line = "GET /streams/config/records?from=7&max=100&wait_ms=250 HTTP/1.1\r\n";
        assert!(request.starts_with(line), "{request}");
        assert_eq!((page.from, page.earliest, page.next), (7, 3, 9));
        assert_eq!(page.records, [StoredRecord { offset: 7, text: "{\"x\":1}".to_owned() }]);
    }

    unavailable_log_appends_nothing => {
        let answer = "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        let error = block_on(append_against(answer)).0.expect_err("refused");
        assert_eq!(error.not_appended(), Some(NotAcceptedReason::LogDown));
    }

    log_over_its_append_limit_appends_nothing => {
        let answer = "HTTP/1.1 429 Too Many Requests\r\ncontent-length: 0\r\n\r\n";
        let error = block_on(append_against(answer)).0.expect_err("refused");
        assert_eq!(error.not_appended(), Some(NotAcceptedReason::OverAppendLimit));
    }

    connection_closed_without_an_answer_is_unknown => {
        let error = block_on(append_against("")).0.expect_err("cut");
        assert_eq!(error.not_appended(), None);
        assert_eq!(error.step, LogStep::Append);
        let text = error.to_string();
        assert!(text.starts_with("appending to the log at 127.0.0.1:"), "{text}");
    }

    truncated_answer_is_unknown => {
        let answer = "HTTP/1.1 200 OK\r\ncontent-length: 13\r\n\r\n{\"offs";
        let error = block_on(append_against(answer)).0.expect_err("cut");
        assert_eq!(error.not_appended(), None);
    }

    internal_error_of_the_log_is_unknown => {
        let answer = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n";
        let error = block_on(append_against(answer)).0.expect_err("failed");
        assert_eq!(error.not_appended(), None);
    }

    append_without_an_answer_times_out_as_unknown => {
        let error = block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            let timeouts = LogTimeouts { append_ms: 20, ..TIMEOUTS };
            LogClient::new(address, "config", timeouts).append("{}").await.expect_err("no answer")
        });
        assert_eq!(error.not_appended(), None);
        assert!(error.to_string().ends_with("no answer within 20 ms"), "{error}");
    }

    unreachable_log_appends_nothing => {
        let error = block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("a bound address");
            drop(listener);
            client(address).append("{}").await.expect_err("nothing listens on the port")
        });
        assert_eq!(error.step, LogStep::Connect);
        assert_eq!(error.not_appended(), Some(NotAcceptedReason::LogUnreachable));
    }
}
