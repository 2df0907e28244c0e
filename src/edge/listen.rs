//! Listening sockets.

use std::io::ErrorKind;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

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

/// Accepts the connections in the listener's queue, then closes the listener.
///
/// Asks the socket directly, because tokio learns of new connections only at its next I/O poll,
/// and closing the listener resets those that are still queued.
///
/// # Errors
/// Returns the I/O error of the socket; connections accepted before it are closed.
pub fn accept_pending(listener: TcpListener) -> std::io::Result<Vec<(TcpStream, SocketAddr)>> {
    let listener = listener.into_std()?;
    let mut streams = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, peer)) => {
                stream.set_nonblocking(true)?;
                streams.push((TcpStream::from_std(stream)?, peer));
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Ok(streams),
            Err(error) => return Err(error),
        }
    }
}
