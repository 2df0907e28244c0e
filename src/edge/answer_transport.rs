//! RPC transport that tracks which calls of a connection are still to be answered.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use futures::future::BoxFuture;
use futures::{FutureExt, Sink, Stream};
use tarpc::{ClientMessage, Response};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::connections::{UnwrittenAnswer, UnwrittenAnswers};

/// A call that has been received and not answered.
#[derive(Debug)]
struct OpenCall {
    /// Time from which the caller no longer waits.
    deadline: Instant,
    unwritten: UnwrittenAnswer,
}

/// Server side of a transport, with the calls whose answers are not written yet.
///
/// Once it drains and all calls are answered, it reads as if the peer had closed the connection. A peer
/// that closes it before is gone: nobody reads the answers, so reading fails as after a reset.
/// Calls that the peer cancels and calls past their deadline get no answer and are not counted.
pub struct AnswerTransport<T> {
    inner: T,
    unwritten: UnwrittenAnswers,
    open: HashMap<u64, OpenCall>,
    /// Answers in the write buffer.
    buffered: Vec<UnwrittenAnswer>,
    /// Number of answers of which the caller still asks for the rest.
    unread_count: Arc<AtomicUsize>,
    /// Resolves when the connection is to end; `None` afterwards.
    drain_signal: Option<BoxFuture<'static, ()>>,
    /// Cancelled when nothing more is read, or the transport is dropped.
    ended: DropGuard,
}

impl<T> fmt::Debug for AnswerTransport<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("AnswerTransport")
            .field("open", &self.open)
            .field("buffered", &self.buffered)
            .finish_non_exhaustive()
    }
}

impl<T> AnswerTransport<T> {
    /// Wraps a transport that drains once `drain_signal` resolves.
    ///
    /// `ended` is cancelled once nothing more is read from it.
    pub fn new(
        inner: T,
        unwritten: UnwrittenAnswers,
        ended: CancellationToken,
        drain_signal: impl Future<Output = ()> + Send + 'static,
    ) -> Self {
        Self {
            inner,
            unwritten,
            open: HashMap::new(),
            buffered: Vec::new(),
            unread_count: Arc::default(),
            drain_signal: Some(drain_signal.boxed()),
            ended: ended.drop_guard(),
        }
    }

    /// Keeps the connection as long as `unread_count` is above zero.
    #[must_use]
    pub fn while_unread(mut self, unread_count: Arc<AtomicUsize>) -> Self {
        self.unread_count = unread_count;
        self
    }

    fn received<Req>(&mut self, message: &ClientMessage<Req>) {
        match message {
            ClientMessage::Request(request) => {
                let call = OpenCall {
                    deadline: request.context.deadline,
                    unwritten: self.unwritten.add(),
                };
                self.open.insert(request.id, call);
            }
            ClientMessage::Cancel { request_id, .. } => {
                self.open.remove(request_id);
            }
            _ => {}
        }
    }

    fn forget_expired(&mut self) {
        let now = Instant::now();
        self.open.retain(|_id, call| call.deadline > now);
    }

    fn is_draining(&mut self, context: &mut Context<'_>) -> bool {
        let Some(signal) = &mut self.drain_signal else {
            return true;
        };
        let resolved = signal.poll_unpin(context).is_ready();
        if resolved {
            self.drain_signal = None;
        }
        resolved
    }

    fn owes_answers(&self) -> bool {
        !self.open.is_empty()
            || !self.buffered.is_empty()
            || self.unread_count.load(Ordering::Relaxed) > 0
    }

    fn end(&self) {
        self.ended.token().cancel();
    }
}

impl<T, Req> Stream for AnswerTransport<T>
where
    T: Stream<Item = io::Result<ClientMessage<Req>>> + Unpin,
{
    type Item = io::Result<ClientMessage<Req>>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.forget_expired();
        let is_draining = self.is_draining(context);
        let received = match Pin::new(&mut self.inner).poll_next(context) {
            Poll::Ready(None) if !self.open.is_empty() => {
                Some(Err(io::ErrorKind::ConnectionAborted.into()))
            }
            Poll::Ready(received) => received,
            Poll::Pending if is_draining && !self.owes_answers() => None,
            Poll::Pending => return Poll::Pending,
        };
        match &received {
            Some(Ok(message)) => self.received(message),
            Some(Err(_)) | None => self.end(),
        }
        Poll::Ready(received)
    }
}

impl<T, Resp> Sink<Response<Resp>> for AnswerTransport<T>
where
    T: Sink<Response<Resp>, Error = io::Error> + Unpin,
{
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_ready(context)
    }

    fn start_send(mut self: Pin<&mut Self>, response: Response<Resp>) -> io::Result<()> {
        let answered = self.open.remove(&response.request_id);
        self.buffered.extend(answered.map(|call| call.unwritten));
        Pin::new(&mut self.inner).start_send(response)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.inner).poll_flush(context))?;
        let was_buffered = !self.buffered.is_empty();
        self.buffered.clear();
        if was_buffered && self.drain_signal.is_none() {
            // The stream may end now.
            context.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
