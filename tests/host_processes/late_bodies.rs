//! Requests that are on their way when a node that stops closes callers' connections.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::operator::HOST_NAME;
use crate::site::Place;
use crate::system::{System, place};

/// A host where callers are, and the only host of the service that they ask.
const HOSTS: [Place; 2] = [
    place("parlour-1", "parlour", "ratchaburi"),
    place("herd-1", "herd", "saraburi"),
];
const ENTRY: usize = 0;

/// Time after the start in which hosts learn of each other and backend servers warm up.
const SETTLED_AFTER: Duration = Duration::from_secs(3);

/// Time after SIGTERM at which the head of a request comes: before callers' connections close.
const HEAD_AFTER: Duration = Duration::from_millis(2_600);

/// Time from the head to the body, which comes after the close.
const BODY_AFTER: Duration = Duration::from_millis(250);

/// Guards against requests that are cut without an answer since their body comes after the close.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_whose_body_comes_after_the_close_is_answered() {
    let system = System::start_at(&HOSTS).await;
    system.wait_until_ready().await;
    tokio::time::sleep(SETTLED_AFTER).await;
    let node = system.sites[ENTRY].lock().await.addresses.callers();
    let late_body = async {
        tokio::time::sleep(HEAD_AFTER).await;
        let mut stream = TcpStream::connect(node).await.expect("the node accepts");
        let head = format!(
            "POST /gate/late-body HTTP/1.1\r\nHost: {HOST_NAME}\r\nContent-Length: 4\r\n\
             Bronzelock-Request-Id: late-body\r\nBronzelock-Request-Deadline: 1500\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.expect("written");
        tokio::time::sleep(BODY_AFTER).await;
        stream.write_all(b"cow7").await.expect("written");
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer).await;
        read.expect("the connection ends without a reset");
        String::from_utf8_lossy(&answer).into_owned()
    };
    let stop = async { system.sites[ENTRY].lock().await.shut_node_down().await };
    let (exit, answer) = tokio::join!(stop, late_body);
    assert_eq!(exit, None, "the node ended badly");
    assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
}
