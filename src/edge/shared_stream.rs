//! TCP stream that can be checked for unread data while a server owns it.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::TcpStream;

/// Size of the buffer for discarded data, in bytes.
const DISCARD_BUFFER_BYTES: usize = 1_024;

/// Handle to a shared TCP stream, which is closed when the last handle is dropped.
#[derive(Debug, Clone)]
pub struct SharedStream(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    has_been_read: AtomicBool,
}

impl SharedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Shared {
            stream,
            has_been_read: AtomicBool::new(false),
        }))
    }

    /// Closes the write side and discards incoming data until the peer closes the connection.
    ///
    /// Returns the number of bytes discarded. A peer that closes at the end of the data has received
    /// all of it; to close a socket with unread data would reset the connection instead.
    ///
    /// # Errors
    /// Returns the I/O error of a connection that broke before.
    pub async fn close_delivered(mut self) -> io::Result<usize> {
        self.shutdown().await?;
        let mut discarded_bytes = 0;
        let mut buffer = [0; DISCARD_BUFFER_BYTES];
        loop {
            match self.read(&mut buffer).await? {
                0 => return Ok(discarded_bytes),
                count => discarded_bytes += count,
            }
        }
    }

    /// Whether any byte has been read.
    pub fn has_been_read(&self) -> bool {
        self.0.has_been_read.load(Ordering::Relaxed)
    }

    /// Whether the socket's receive buffer holds unread bytes.
    ///
    /// Peeks at the socket directly, because tokio learns of new data only at its next I/O poll.
    pub fn has_unread(&self) -> bool {
        let mut first = [MaybeUninit::uninit()];
        SockRef::from(&self.0.stream)
            .peek(&mut first)
            .is_ok_and(|count| count > 0)
    }
}

impl AsyncRead for SharedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.stream.poll_read_ready(context))?;
            match self.0.stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    self.0.has_been_read.fetch_or(count > 0, Ordering::Relaxed);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for SharedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.stream.poll_write_ready(context))?;
            match self.0.stream.try_write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&self.0.stream).shutdown(Shutdown::Write))
    }
}
