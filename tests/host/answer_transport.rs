//! Ends of connections between nodes while answers are awaited or unwritten.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bronzelock::edge::answer_transport::AnswerTransport;
use bronzelock::edge::connections::UnwrittenAnswers;
use futures::channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures::{FutureExt, Sink, SinkExt, Stream, StreamExt};
use tarpc::{ClientMessage, Request, Response};
use tokio_util::sync::CancellationToken;

/// Time that a caller waits for an answer, longer than any test.
const LONG: Duration = Duration::from_mins(1);

type Message = io::Result<ClientMessage<u32>>;

/// Connection whose write buffer is emptied only while `is_writable`.
struct Wire {
    received: UnboundedReceiver<Message>,
    is_writable: bool,
}

impl Stream for Wire {
    type Item = Message;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Message>> {
        self.received.poll_next_unpin(context)
    }
}

impl Sink<Response<u32>> for Wire {
    type Error = io::Error;

    fn poll_ready(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn start_send(self: Pin<&mut Self>, _response: Response<u32>) -> io::Result<()> {
        Ok(())
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.is_writable {
            Poll::Ready(Ok(()))
        } else {
            Poll::Pending
        }
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// A transport that drains from the start, and what surrounds it.
struct Draining {
    transport: AnswerTransport<Wire>,
    peer: UnboundedSender<Message>,
    unwritten: UnwrittenAnswers,
    ended: CancellationToken,
}

impl Draining {
    fn new(is_writable: bool) -> Self {
        let (peer, received) = unbounded();
        let wire = Wire {
            received,
            is_writable,
        };
        let (unwritten, ended) = (UnwrittenAnswers::default(), CancellationToken::new());
        let drain_signal = std::future::ready(());
        let transport = AnswerTransport::new(wire, unwritten.clone(), ended.clone(), drain_signal);
        Self {
            transport,
            peer,
            unwritten,
            ended,
        }
    }

    /// Receives a call that waits for so long.
    fn receive_call(&mut self, id: u64, wait: Duration) {
        let mut context = tarpc::context::Context::current();
        context.deadline = Instant::now() + wait;
        self.receive(ClientMessage::Request(Request {
            context,
            id,
            message: 7,
        }));
    }

    fn receive(&mut self, message: ClientMessage<u32>) {
        self.peer.unbounded_send(Ok(message)).expect("a receiver");
        let received = self.transport.next().now_or_never();
        assert!(matches!(received, Some(Some(Ok(_message)))), "not received");
    }

    /// Whether it reads as closed.
    fn has_ended(&mut self) -> bool {
        let next = self.transport.next().now_or_never();
        let closed = matches!(next, Some(None));
        assert_eq!(closed, self.ended.is_cancelled());
        closed
    }

    fn answer(&mut self, request_id: u64) {
        let message = Ok(7);
        let sent = self.transport.send(Response {
            request_id,
            message,
        });
        drop(sent.now_or_never());
    }
}

/// Guards against work for a node that has closed its connection before the answer.
#[test]
fn a_peer_that_closes_with_an_open_call_is_gone() {
    let mut draining = Draining::new(true);
    draining.receive_call(1, LONG);
    draining.peer.close_channel();
    let received = draining.transport.next().now_or_never();
    assert!(matches!(received, Some(Some(Err(_gone)))));
    assert!(draining.ended.is_cancelled());
}

/// Guards against a stop that drops a connection on which a request runs.
#[test]
fn a_draining_connection_stays_open_until_its_call_is_answered() {
    let mut draining = Draining::new(true);
    draining.receive_call(1, LONG);
    assert!(!draining.has_ended());
    assert_eq!(draining.unwritten.count(), 1);
    draining.answer(1);
    assert!(draining.has_ended());
    assert_eq!(draining.unwritten.count(), 0);
}

/// Guards against a stop that drops a connection whose answers are still in the write buffer.
#[test]
fn a_draining_connection_stays_open_while_an_answer_is_unwritten() {
    let mut draining = Draining::new(false);
    draining.receive_call(1, LONG);
    draining.answer(1);
    assert!(!draining.has_ended());
    assert_eq!(draining.unwritten.count(), 1);
}

/// Guards against a stop that waits for calls whose caller has left.
#[test]
fn a_draining_connection_does_not_wait_for_a_cancelled_call() {
    let mut draining = Draining::new(true);
    draining.receive_call(1, LONG);
    draining.receive(ClientMessage::Cancel {
        trace_context: tarpc::trace::Context::default(),
        request_id: 1,
    });
    assert!(draining.has_ended());
}

/// Guards against a stop that waits for calls whose time is over.
#[test]
fn a_draining_connection_does_not_wait_for_an_expired_call() {
    let mut draining = Draining::new(true);
    draining.receive_call(1, Duration::ZERO);
    assert!(draining.has_ended());
}

/// Guards against a call that had arrived before the end and is neither run nor refused.
#[test]
fn a_draining_connection_takes_what_has_arrived_before_it_ends() {
    let mut draining = Draining::new(true);
    draining.receive_call(1, LONG);
    draining.answer(1);
    draining.receive_call(2, LONG);
    assert!(!draining.has_ended());
}
