//! Sockets that listen for connections.

use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// Connections that wait to be accepted at most.
pub const BACKLOG: u32 = 1_024;

/// Binds an address, also one that connections of an earlier run still use.
///
/// # Errors
/// The system's error when the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
