//! The proxy's faults, as the kernel of a client sees them.

use std::io::ErrorKind;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use standins::proxy::{ConnectionFault, Direction, LinkState, Proxy};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::support::{cases, loopback};

/// Time limit on unacknowledged data in these tests.
const USER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two keep-alive probes, the shortest that a kernel takes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time after which a connection counts as never given up.
const GIVEN_UP_WITHIN: Duration = Duration::from_secs(20);

/// Time in which the proxy's task injects a fault.
const INJECTED_WITHIN: Duration = Duration::from_millis(50);

/// A proxy in front of a server.
struct Link {
    proxy: Proxy,
    listener: TcpListener,
}

impl Link {
    async fn start() -> Self {
        let listener = TcpListener::bind(loopback()).await.expect("a listener");
        let server = listener.local_addr().expect("an address");
        let proxy = Proxy::start(loopback(), server).await.expect("a proxy");
        Self { proxy, listener }
    }

    /// Opens a connection; the client's end and the server's.
    async fn connect(&self) -> (TcpStream, TcpStream) {
        let opened = TcpStream::connect(self.proxy.address());
        let (client, server) = tokio::join!(opened, self.listener.accept());
        let client = client.expect("a connection");
        let keep_alive = TcpKeepalive::new()
            .with_time(PROBE_PERIOD)
            .with_interval(PROBE_PERIOD);
        let socket = SockRef::from(&client);
        socket
            .set_tcp_user_timeout(Some(USER_TIMEOUT))
            .and_then(|()| socket.set_tcp_keepalive(&keep_alive))
            .expect("the options are set");
        (client, server.expect("a connection").0)
    }

    async fn silence(&self) {
        self.proxy.inject(ConnectionFault::Silence);
        tokio::time::sleep(INJECTED_WITHIN).await;
    }
}

/// Error that ends a read on the connection.
async fn read_error(client: &mut TcpStream) -> Option<ErrorKind> {
    let read = timeout(GIVEN_UP_WITHIN, client.read_u8()).await;
    read.ok()?.err().map(|error| error.kind())
}

cases! {
    a_silent_connection_acknowledges_no_data => {
        let link = Link::start().await;
        let (mut client, _server) = link.connect().await;
        link.silence().await;
        client.write_all(b"data").await.expect("the kernel takes data");
        assert_eq!(read_error(&mut client).await, Some(ErrorKind::TimedOut));
    }

    a_silent_connection_answers_no_keep_alive_probe => {
        let link = Link::start().await;
        let (mut client, _server) = link.connect().await;
        link.silence().await;
        assert_eq!(read_error(&mut client).await, Some(ErrorKind::TimedOut));
    }

    a_cut_connection_acknowledges_no_data => {
        let link = Link::start().await;
        let (mut client, _server) = link.connect().await;
        link.proxy.set_state(LinkState::Cut(Direction::Forward));
        tokio::time::sleep(INJECTED_WITHIN).await;
        client.write_all(b"data").await.expect("the kernel takes data");
        assert_eq!(read_error(&mut client).await, Some(ErrorKind::TimedOut));
    }

    data_of_a_cut_connection_arrives_after_the_cut => {
        let link = Link::start().await;
        let (mut client, mut server) = link.connect().await;
        link.proxy.set_state(LinkState::Cut(Direction::Back));
        tokio::time::sleep(INJECTED_WITHIN).await;
        server.write_u8(7).await.expect("the kernel takes data");
        let early = timeout(INJECTED_WITHIN, client.read_u8()).await;
        assert!(early.is_err(), "{early:?}");
        link.proxy.set_state(LinkState::Open);
        let read = timeout(GIVEN_UP_WITHIN, client.read_u8()).await;
        assert!(matches!(read, Ok(Ok(7))), "{read:?}");
    }

    a_connection_opened_after_a_silence_works => {
        let link = Link::start().await;
        let _silent = link.connect().await;
        link.silence().await;
        let (mut client, mut server) = link.connect().await;
        server.write_u8(7).await.expect("a byte is written");
        let read = timeout(GIVEN_UP_WITHIN, client.read_u8()).await;
        assert!(matches!(read, Ok(Ok(7))), "{read:?}");
    }
}
