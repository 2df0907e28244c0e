//! Callers, messages on their way, entry nodes and executors.

use std::array;

use bronzelock::decision::ticket::{Ticket, TicketKey, before_executor};
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};
use proptest_state_machine::StateMachineTest;

use super::event::{CALLERS, EXECUTORS, Event, Events, Pick};
use super::executor::{Executor, Spoken, executor_name, told};
use super::message::{CallerIndex, Message, Reply, Request, Told, Work};
use super::oracle::Oracle;
use crate::fuzzing::seen;

#[derive(Debug)]
struct Caller {
    work: Work,
    ticket: Option<String>,
}

/// The whole system and what really happened in it.
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

    fn take(&mut self, event: &Event) {
        match *event {
            Event::Call { caller, executor } => self.call(caller, executor),
            Event::Misuse { caller } => self.misuse(caller),
            Event::Abandon { caller } => self.begin_next_work(caller),
            Event::Deliver { pick } => {
                if let Some(message) = self.pick(pick) {
                    self.deliver(message);
                }
            }
            Event::Double { pick } => {
                if let Some(message) = self.pick(pick) {
                    self.network.push(message.clone());
                    self.deliver(message);
                }
            }
            Event::Lose { pick } => drop(self.pick(pick)),
            Event::Damage { pick } => self.damage(pick),
            Event::Unreachable { pick } => self.unreachable(pick),
            Event::Act {
                executor,
                pick,
                act,
            } => {
                let spoken = self.executors[executor].act(pick, act, &mut self.oracle);
                for spoken in spoken {
                    self.pass_back(spoken);
                }
            }
            Event::Expire { executor } => self.executors[executor].expire(),
            Event::Pass { executor, time_us } => self.executors[executor].pass(time_us),
            Event::Crash { executor } => self.executors[executor].crash(),
        }
    }

    /// Takes a message out, so that any order of arrival can happen.
    fn pick(&mut self, pick: Pick) -> Option<Message> {
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
            None => Message::Bare {
                caller,
                work,
                executor,
            },
        };
        self.network.push(message);
    }

    fn misuse(&mut self, caller: CallerIndex) {
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

    fn damage(&mut self, pick: Pick) {
        let count = self.network.len();
        if count == 0 {
            return;
        }
        if let Message::Request(request) = &mut self.network[pick % count] {
            let at = pick % request.ticket.len();
            let other = if request.ticket.as_bytes()[at] == b'0' {
                "1"
            } else {
                "0"
            };
            request.ticket.replace_range(at..=at, other);
        }
    }

    fn unreachable(&mut self, pick: Pick) {
        match self.pick(pick) {
            Some(Message::Request(request)) => {
                let refusal = Refusal {
                    reason: RefusalReason::PeerUnreachable,
                    run_state: RunState::NotRun,
                    retry_after_ms: None,
                };
                let told = told(before_executor(refusal));
                self.pass_back(Spoken { request, told });
            }
            Some(message) => self.network.push(message),
            None => {}
        }
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Bare {
                caller,
                work,
                executor,
            } => {
                let told = self.executors[executor].issue(&self.key);
                let ticket = None;
                self.network.push(Message::Reply(Reply {
                    caller,
                    work,
                    ticket,
                    told,
                }));
            }
            Message::Request(request) => self.forward(request),
            Message::Reply(reply) => self.hear(reply),
        }
    }

    /// Sends a request to the executor that its ticket names.
    fn forward(&mut self, request: Request) {
        let Ok(ticket) = Ticket::decode(&request.ticket, &self.key) else {
            seen::note(RefusalReason::TicketInvalid.as_str());
            self.pass_back(Spoken {
                request,
                told: Told::Unknown,
            });
            return;
        };
        let named = (0..EXECUTORS).find(|index| executor_name(*index) == ticket.executor);
        let executor = &mut self.executors[named.expect("genuine tickets name an executor")];
        if let Some(spoken) = executor.receive(request, &ticket) {
            self.pass_back(spoken);
        }
    }

    fn pass_back(&mut self, Spoken { request, told }: Spoken) {
        if told == Told::NotRun {
            self.oracle.said_not_run(&request.ticket);
        }
        self.network.push(Message::Reply(Reply {
            caller: request.caller,
            work: request.work,
            ticket: Some(request.ticket),
            told,
        }));
    }

    /// A caller heeds only replies to its present work and ticket.
    fn hear(&mut self, reply: Reply) {
        let caller = &mut self.callers[reply.caller];
        if reply.work != caller.work || reply.ticket != caller.ticket {
            return;
        }
        match reply.told {
            Told::Ticket(ticket) => caller.ticket = Some(ticket),
            Told::NotRun => caller.ticket = None,
            Told::Unknown => {}
            Told::Answer(body) => {
                self.oracle.answered(reply.work, &body);
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
        system.take(&event);
        system
    }

    fn check_invariants(system: &Self, (): &()) {
        system.executors.iter().for_each(Executor::check_bounds);
    }
}
