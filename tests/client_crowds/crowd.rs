//! Clients that send as they like and keep their connections open.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::forms::Form;

/// Time that a crowd has to send what the node takes.
const SENDS_FOR: Duration = Duration::from_secs(6);

/// Time between two bytes of a client that drips.
const DRIP_PERIOD: Duration = Duration::from_millis(200);

/// Length of the answers of which a client keeps the beginning, in bytes.
const KEPT_BYTES_MAX: usize = 64 << 10;

/// Statuses that promise that a request has not run.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A number of clients of one form.
#[derive(Debug, Clone, Copy)]
pub struct Part {
    pub form: Form,
    pub clients: usize,
}

/// Clients that have come.
#[derive(Debug)]
pub struct Crowd {
    leave: CancellationToken,
    /// Number of clients that still have something to send.
    sending: watch::Sender<usize>,
    clients: Vec<JoinHandle<Option<String>>>,
}

impl Crowd {
    /// Lets clients come to a node; each has an identifier that begins with `name`.
    pub fn come(node: SocketAddr, name: &str, parts: &[Part]) -> Self {
        let leave = CancellationToken::new();
        let count = parts.iter().map(|part| part.clients).sum();
        let sending = watch::Sender::new(count);
        let forms = parts
            .iter()
            .flat_map(|part| std::iter::repeat_n(part.form, part.clients));
        let clients = forms.enumerate().map(|(number, form)| {
            let client = Client {
                node,
                id: format!("{name}-{form:?}-{number}"),
                form,
                leave: leave.clone(),
                sending: sending.clone(),
            };
            tokio::spawn(client.run())
        });
        Self {
            clients: clients.collect(),
            sending,
            leave,
        }
    }

    /// Waits until all have sent what they have, or what the node takes.
    pub async fn sent(&self) {
        let mut sending = self.sending.subscribe();
        let all = sending.wait_for(|count| *count == 0);
        if tokio::time::timeout(SENDS_FOR, all).await.is_err() {
            println!("{} clients are still sending", *self.sending.borrow());
        }
    }

    /// Lets all leave; tells the identifiers of requests that were refused as not run.
    pub async fn leave(self) -> Vec<String> {
        self.leave.cancel();
        let refused = join_all(self.clients).await;
        let refused = refused.into_iter().map(|client| client.expect("no panic"));
        refused.flatten().collect()
    }
}

struct Client {
    node: SocketAddr,
    id: String,
    form: Form,
    leave: CancellationToken,
    sending: watch::Sender<usize>,
}

impl Client {
    /// Tells its identifier if the first answer refuses its request as not run.
    async fn run(self) -> Option<String> {
        let mut received = Vec::new();
        tokio::select! {
            () = self.attend(&mut received) => {}
            () = self.leave.cancelled() => {}
        }
        let status = status_of(&received)?;
        NOT_RUN_STATUSES.contains(&status).then_some(self.id)
    }

    async fn attend(&self, received: &mut Vec<u8>) {
        let Ok(stream) = TcpStream::connect(self.node).await else {
            return self.has_sent();
        };
        let (input, mut output) = stream.into_split();
        let send = async {
            for write in self.form.writes(&self.id) {
                if output.write_all(&write).await.is_err() {
                    break;
                }
            }
            self.has_sent();
            if self.form.drips() {
                drip(&mut output).await;
            }
        };
        let receive = async {
            if self.form.reads() {
                read_until_close(input, received).await;
            } else {
                let _kept_open = input;
                std::future::pending::<()>().await;
            }
        };
        tokio::join!(send, receive);
        std::future::pending::<()>().await;
    }

    fn has_sent(&self) {
        self.sending.send_modify(|count| *count -= 1);
    }
}

async fn drip(output: &mut OwnedWriteHalf) {
    while output.write_all(b"x").await.is_ok() {
        tokio::time::sleep(DRIP_PERIOD).await;
    }
}

async fn read_until_close(mut input: OwnedReadHalf, received: &mut Vec<u8>) {
    let mut buffer = vec![0; 16 << 10];
    while let Ok(count @ 1..) = input.read(&mut buffer).await {
        if received.len() < KEPT_BYTES_MAX {
            received.extend_from_slice(&buffer[..count]);
        }
    }
}

/// Status in the first line of what was received.
fn status_of(received: &[u8]) -> Option<u16> {
    let text = String::from_utf8_lossy(received.get(..12)?);
    text.strip_prefix("HTTP/1.1 ")?.parse().ok()
}
