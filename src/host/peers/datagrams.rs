//! Socket over which all parts of a node send datagrams to other nodes.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, OnceLock};

use tokio::net::UdpSocket;

/// Sends datagrams from the shared port; drops them before the port is bound.
#[derive(Debug)]
pub struct Datagrams {
    port: u16,
    socket: OnceLock<Arc<UdpSocket>>,
}

impl Datagrams {
    /// Creates a sender to the shared port of other nodes.
    pub fn new(port: u16) -> Self {
        Self {
            port,
            socket: OnceLock::new(),
        }
    }

    /// Sets the socket; the first one stays.
    pub fn bind(&self, socket: &Arc<UdpSocket>) {
        self.socket.get_or_init(|| Arc::clone(socket));
    }

    /// Sends a datagram; one that cannot be sent is lost like any other.
    pub async fn send(&self, ip: IpAddr, datagram: &[u8]) {
        let Some(socket) = self.socket.get() else {
            return;
        };
        if let Err(error) = socket
            .send_to(datagram, SocketAddr::new(ip, self.port))
            .await
        {
            log::debug!("datagrams: send failed (peer {ip}): {error}");
        }
    }
}
