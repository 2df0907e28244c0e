//! System under test: callers, messages in transit, entry nodes and executors.

use std::array;

use bronzelock::decision::ticket::{Ticket, TicketKey, with_unknown_run_state};
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use proptest_state_machine::StateMachineTest;

use super::event::{CALLERS, EXECUTORS, Event, Events, Pick};
use super::executor::{Executor, Response, executor_name, reply_content};
use super::message::{CallerIndex, Message, Reply, ReplyContent, Request, Work};
use super::oracle::Oracle;
use crate::fuzzing::seen;

#[derive(Debug)]
struct Caller {
    work: Work,
    ticket: Option<String>,
}

/// Whole system, with an oracle that records what really happened.
#[derive(Debug)]
pub struct System {
    key: TicketKey,
    callers: [Caller; CALLERS],
    executors: [Executor; EXECUTORS],
    network: Vec<Message>,
    oracle: Oracle,
    next_work: u64,
}

impl System {
    fn new() -> Self {
        let caller = |index| Caller {
            work: Work(index as u64),
            ticket: None,
        };
        Self {
            key: TicketKey::from_secret("fuzz"),
            callers: array::from_fn(caller),
            executors: array::from_fn(Executor::new),
            network: Vec::new(),
            oracle: Oracle::default(),
            next_work: CALLERS as u64,
        }
    }

    fn new_work(&mut self) -> Work {
        self.next_work += 1;
        Work(self.next_work)
    }

    fn handle(&mut self, event: &Event) {
        match *event {
            Event::Call { caller, executor } => self.call(caller, executor),
            Event::ReuseTicket { caller } => self.reuse_ticket(caller),
            Event::Abandon { caller } => self.begin_next_work(caller),
            Event::Deliver { pick } => {
                if let Some(message) = self.take_message(pick) {
                    self.deliver(message);
                }
            }
            Event::Duplicate { pick } => {
                if let Some(message) = self.take_message(pick) {
                    self.network.push(message.clone());
                    self.deliver(message);
                }
            }
            Event::Lose { pick } => drop(self.take_message(pick)),
            Event::CorruptTicket { pick } => self.corrupt_ticket(pick),
            Event::Unreachable { pick } => self.refuse_unreachable(pick),
            Event::AdvanceJob {
                executor,
                pick,
                action,
            } => {
                let replies = self.executors[executor].advance_job(pick, action, &mut self.oracle);
                for reply in replies {
                    self.send_reply(reply);
                }
            }
            Event::Expire { executor } => self.executors[executor].expire(),
            Event::AdvanceClock { executor, time_us } => self.executors[executor].advance(time_us),
            Event::Crash { executor } => self.executors[executor].crash(),
        }
    }

    /// Takes any one message out, so that every order of arrival can occur.
    fn take_message(&mut self, pick: Pick) -> Option<Message> {
        let count = self.network.len();
        (count > 0).then(|| self.network.swap_remove(pick % count))
    }

    fn call(&mut self, caller: CallerIndex, executor: usize) {
        let Caller { work, ticket } = &self.callers[caller];
        let work = *work;
        let message = match ticket.clone() {
            Some(ticket) => Message::Request(Request {
                caller,
                work,
                ticket,
            }),
            None => Message::TicketRequest {
                caller,
                work,
                executor,
            },
        };
        self.network.push(message);
    }

    fn reuse_ticket(&mut self, caller: CallerIndex) {
        if let Some(ticket) = self.callers[caller].ticket.clone() {
            let work = self.new_work();
            let request = Request {
                caller,
                work,
                ticket,
            };
            self.network.push(Message::Request(request));
        }
    }

    fn begin_next_work(&mut self, caller: CallerIndex) {
        let work = self.new_work();
        self.callers[caller] = Caller { work, ticket: None };
    }

    fn corrupt_ticket(&mut self, pick: Pick) {
        let count = self.network.len();
        if count == 0 {
            return;
        }
        if let Message::Request(request) = &mut self.network[pick % count] {
            let position = pick % request.ticket.len();
            let digit = if request.ticket.as_bytes()[position] == b'0' {
                "1"
            } else {
                "0"
            };
            request.ticket.replace_range(position..=position, digit);
        }
    }

    fn refuse_unreachable(&mut self, pick: Pick) {
        match self.take_message(pick) {
            Some(Message::Request(request)) => {
                let refusal = Refusal {
                    reason: RefusalReason::PeerUnreachable,
                    run_state: RunState::NotRun,
                    retry_after_ms: None,
                };
                let content = reply_content(with_unknown_run_state(refusal));
                self.send_reply(Response { request, content });
            }
            Some(message) => self.network.push(message),
            None => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::TicketRequest {
                caller,
                work,
                executor,
            } => {
                let content = self.executors[executor].issue(&self.key);
                let ticket = None;
                self.network.push(Message::Reply(Reply {
                    caller,
                    work,
                    ticket,
                    content,
                }));
            }
            Message::Request(request) => self.forward(request),
            Message::Reply(reply) => self.receive_reply(reply),
        }
    }

    /// Forwards a request to the executor that its ticket names.
    fn forward(&mut self, request: Request) {
        let Ok(ticket) = Ticket::decode(&request.ticket, &self.key) else {
            seen::note(RefusalReason::TicketInvalid.as_str());
            self.send_reply(Response {
                request,
                content: ReplyContent::Unknown,
            });
            return;
        };
        let executor_index = (0..EXECUTORS).find(|index| executor_name(*index) == ticket.executor);
        let executor =
            &mut self.executors[executor_index.expect("authenticated tickets name an executor")];
        if let Some(reply) = executor.receive(request, &ticket) {
            self.send_reply(reply);
        }
    }

    fn send_reply(&mut self, Response { request, content }: Response) {
        if content == ReplyContent::NotRun {
            self.oracle.record_not_run(&request.ticket);
        }
        self.network.push(Message::Reply(Reply {
            caller: request.caller,
            work: request.work,
            ticket: Some(request.ticket),
            content,
        }));
    }

    /// Handles a reply; a caller ignores replies to earlier work or another ticket.
    fn receive_reply(&mut self, reply: Reply) {
        let caller = &mut self.callers[reply.caller];
        if reply.work != caller.work || reply.ticket != caller.ticket {
            return;
        }
        match reply.content {
            ReplyContent::Ticket(ticket) => caller.ticket = Some(ticket),
            ReplyContent::NotRun => caller.ticket = None,
            ReplyContent::Unknown => {}
            ReplyContent::Answer(body) => {
                self.oracle.check_answer(reply.work, &body);
                seen::note("answer");
                self.begin_next_work(reply.caller);
            }
        }
    }
}

impl StateMachineTest for System {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test((): &()) -> Self {
        Self::new()
    }

    fn apply(mut system: Self, (): &(), event: Event) -> Self {
        system.handle(&event);
        system
    }

    fn check_invariants(system: &Self, (): &()) {
        system.executors.iter().for_each(Executor::check_bounds);
    }
}
