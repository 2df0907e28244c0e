//! RPC transport that tracks which calls of a connection are still to be answered.

use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use futures::{Sink, Stream};
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
/// Calls that the peer cancels and calls past their deadline get no answer and are not counted.
#[derive(Debug)]
pub struct AnswerTransport<T> {
    inner: T,
    unwritten: UnwrittenAnswers,
    open: HashMap<u64, OpenCall>,
    /// Answers in the write buffer.
    buffered: Vec<UnwrittenAnswer>,
    /// Cancelled when nothing more is read, or the transport is dropped.
    ended: DropGuard,
}

impl<T> AnswerTransport<T> {
    /// Wraps a transport; `ended` is cancelled once nothing more is read from it.
    pub fn new(inner: T, unwritten: UnwrittenAnswers, ended: CancellationToken) -> Self {
        Self {
            inner,
            unwritten,
            open: HashMap::new(),
            buffered: Vec::new(),
            ended: ended.drop_guard(),
        }
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
        let received = ready!(Pin::new(&mut self.inner).poll_next(context));
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
        self.buffered.clear();
        Poll::Ready(Ok(()))
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(context)
    }
}
