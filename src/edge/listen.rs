//! Listening sockets.

use std::net::SocketAddr;

use tokio::net::TcpSocket;

/// Maximum number of connections waiting to be accepted.
pub const BACKLOG: u32 = 1_024;

/// Binds an address.
///
/// Sets `SO_REUSEADDR`, so that binding works while connections of an earlier run still exist.
///
/// # Errors
/// The system's error if the address cannot be bound.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}
