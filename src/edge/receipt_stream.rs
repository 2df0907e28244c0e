//! TCP stream that records when bytes were last received on it.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::http1::LastReceipt;

/// A stream and the time of its last receipt.
#[derive(Debug)]
pub struct ReceiptStream {
    stream: TcpStream,
    last_receipt: LastReceipt,
}

impl ReceiptStream {
    /// Wraps a stream; the time is shared with the caller.
    pub fn new(stream: TcpStream, last_receipt: LastReceipt) -> Self {
        Self {
            stream,
            last_receipt,
        }
    }
}

impl AsyncRead for ReceiptStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        if buffer.filled().len() > filled_before {
            self.last_receipt.record();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ReceiptStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
