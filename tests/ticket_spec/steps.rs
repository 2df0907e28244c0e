//! Steps enabled in a state, and their effects.

use bronzelock::decision::ticket::with_unknown_run_state;
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};

use super::executor::{Executor, Job, LIFETIME_US, Reply, Stage};
use super::fault::Fault;
use super::message::{ExecutorIndex, Message, TicketId};
use super::world::World;

const ENTRY_NODES: [usize; 2] = [0, 1];

/// Step from one state to the next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The caller requests a ticket.
    RequestTicket { executor: ExecutorIndex },
    /// The caller sends its request, for the first time or as a repeat.
    SendRequest { entry_node: usize },
    /// A message arrives; when duplicated, it also stays in the network.
    Deliver { message: Message, duplicated: bool },
    /// An entry node refuses a request because it cannot reach the executor.
    EntryNodeRefuses { message: Message },
    /// The gate refuses a request whose ticket it has not claimed yet.
    RefuseUnclaimed { message: Message },
    /// The gate refuses a queued request whose deadline has passed.
    RefuseQueued { job: Job },
    /// The executor asks its table whether it may dispatch, first or again.
    TryDispatch { job: Job },
    /// The first byte is sent to the backend server, which runs the request.
    SendFirstByte { job: Job },
    /// The backend server refuses the request as not run.
    Shed { job: Job },
    /// The backend server answers.
    Answer { job: Job },
    /// The connection to the backend server breaks.
    LoseConnection { job: Job },
    /// The executor's timer removes expired tickets.
    Expire { executor: ExecutorIndex },
    /// The executor loses its memory and restarts.
    Crash { executor: ExecutorIndex },
    /// The executor pauses until every issued ticket has expired.
    Pause { executor: ExecutorIndex },
}

/// Lists the steps enabled in a state.
pub fn enabled(world: &World, fault: Fault) -> Vec<Step> {
    let mut steps = caller_steps(world, fault);
    for message in &world.network {
        steps.extend(message_steps(world, *message, fault));
    }
    for executor in &world.executors {
        steps.extend(executor.jobs.iter().flat_map(|job| job_steps(*job)));
        steps.extend(executor_steps(world, executor));
    }
    steps
}

fn caller_steps(world: &World, fault: Fault) -> Vec<Step> {
    let mut steps = Vec::new();
    let may_request_ticket = world.caller.ticket.is_none() || fault == Fault::CallerDropsTicket;
    if may_request_ticket && world.remaining.ticket_requests > 0 {
        steps.extend([
            Step::RequestTicket { executor: 0 },
            Step::RequestTicket { executor: 1 },
        ]);
    }
    if world.caller.ticket.is_some() && world.remaining.sends > 0 {
        steps.extend(ENTRY_NODES.map(|entry_node| Step::SendRequest { entry_node }));
    }
    steps
}

fn message_steps(world: &World, message: Message, fault: Fault) -> Vec<Step> {
    let mut steps = vec![Step::Deliver {
        message,
        duplicated: false,
    }];
    if world.remaining.duplicates > 0 {
        steps.push(Step::Deliver {
            message,
            duplicated: true,
        });
    }
    if matches!(message, Message::Request { .. }) {
        steps.push(Step::EntryNodeRefuses { message });
        if fault == Fault::RefuseBeforeClaim {
            steps.push(Step::RefuseUnclaimed { message });
        }
    }
    steps
}

fn job_steps(job: Job) -> Vec<Step> {
    match job.stage {
        Stage::Queued => vec![Step::RefuseQueued { job }, Step::TryDispatch { job }],
        Stage::Allowed => vec![Step::SendFirstByte { job }, Step::Shed { job }],
        Stage::Running => vec![
            Step::TryDispatch { job },
            Step::Answer { job },
            Step::LoseConnection { job },
        ],
    }
}

fn executor_steps(world: &World, executor: &Executor) -> Vec<Step> {
    let index = executor.index;
    let mut steps = Vec::new();
    if executor
        .table
        .next_expiry_us()
        .is_some_and(|expiry_us| expiry_us <= executor.now_us)
    {
        steps.push(Step::Expire { executor: index });
    }
    if world.remaining.crashes > 0 {
        steps.push(Step::Crash { executor: index });
    }
    if world.remaining.pauses > 0 {
        steps.push(Step::Pause { executor: index });
    }
    steps
}

/// Returns the state after a step.
pub fn apply(world: &World, step: Step, fault: Fault) -> World {
    let mut next = world.clone();
    match step {
        Step::RequestTicket { executor } => {
            next.remaining.ticket_requests -= 1;
            next.send(Message::TicketRequest { executor });
        }
        Step::SendRequest { entry_node } => send_request(&mut next, entry_node),
        Step::Deliver {
            message,
            duplicated,
        } => {
            if duplicated {
                next.remaining.duplicates -= 1;
            } else {
                remove_message(&mut next, message);
            }
            deliver(&mut next, message, fault);
        }
        Step::EntryNodeRefuses { message } => entry_node_refuses(&mut next, message, fault),
        Step::RefuseUnclaimed { message } => {
            remove_message(&mut next, message);
            if let Message::Request { ticket, .. } = message {
                next.report_not_run(ticket);
            }
        }
        Step::RefuseQueued { job } => refuse(&mut next, job, RefusalReason::DeadlineLapsed, fault),
        Step::Shed { job } => refuse(&mut next, job, RefusalReason::ServerShed, fault),
        Step::TryDispatch { job } => try_dispatch(&mut next, job, fault),
        Step::SendFirstByte { job } => {
            next.history.runs.push(job.ticket);
            executor_of(&mut next, job.ticket).set_stage(job, Stage::Running);
        }
        Step::Answer { job } => executor_of(&mut next, job.ticket).answer(job, fault),
        Step::LoseConnection { job } if fault == Fault::RetryAfterDispatch => {
            executor_of(&mut next, job.ticket).set_stage(job, Stage::Allowed);
        }
        Step::LoseConnection { job } => executor_of(&mut next, job.ticket).lose_connection(job),
        Step::Expire { executor } => {
            let now_us = next.executors[executor].now_us;
            next.executors[executor].table.expire(now_us);
        }
        Step::Crash { executor } => {
            next.remaining.crashes -= 1;
            let old = &next.executors[executor];
            next.executors[executor] = Executor::new(executor, old.incarnation + 1, old.now_us);
        }
        Step::Pause { executor } => {
            next.remaining.pauses -= 1;
            next.executors[executor].now_us += LIFETIME_US;
        }
    }
    next
}

fn send_request(next: &mut World, entry_node: usize) {
    if let Some(ticket) = next.caller.ticket {
        next.remaining.sends -= 1;
        next.send(Message::Request { entry_node, ticket });
    }
}

fn remove_message(next: &mut World, message: Message) {
    if let Ok(position) = next.network.binary_search(&message) {
        next.network.remove(position);
    }
}

fn executor_of(next: &mut World, ticket: TicketId) -> &mut Executor {
    &mut next.executors[ticket.executor]
}

fn deliver(next: &mut World, message: Message, fault: Fault) {
    match message {
        Message::TicketRequest { executor } => {
            if let Some(ticket) = next.executors[executor].issue() {
                next.send(Message::IssuedTicket { ticket });
            }
        }
        Message::IssuedTicket { ticket } => {
            if next.caller.ticket.is_none() || fault == Fault::CallerDropsTicket {
                next.caller.ticket = Some(ticket);
            }
        }
        Message::Request { entry_node, ticket } => {
            let reply = executor_of(next, ticket).receive(ticket, fault);
            return_reply(next, entry_node, ticket, reply, fault);
        }
        Message::NotRun { ticket } => {
            if next.caller.ticket == Some(ticket) {
                next.caller.ticket = None;
            }
        }
    }
}

fn return_reply(next: &mut World, entry_node: usize, ticket: TicketId, reply: Reply, fault: Fault) {
    match reply {
        Reply::Inconclusive | Reply::OwnAnswer => {}
        Reply::CrossedAnswer => next.history.crossed_answer = true,
        Reply::NotRun if fault == Fault::EntryNodeTakesFreshTicket => {
            let other = &mut next.executors[1 - ticket.executor];
            if let Some(ticket) = other.issue() {
                next.send(Message::Request { entry_node, ticket });
            }
            next.report_not_run(ticket);
        }
        Reply::NotRun => next.report_not_run(ticket),
    }
}

fn entry_node_refuses(next: &mut World, message: Message, fault: Fault) {
    remove_message(next, message);
    let Message::Request { ticket, .. } = message else {
        return;
    };
    let refusal = Refusal {
        reason: RefusalReason::PeerUnreachable,
        run_state: RunState::NotRun,
        retry_after_ms: None,
    };
    let sent = match fault {
        Fault::EntryNodeClaimsNotRun => refusal,
        _ => with_unknown_run_state(refusal),
    };
    if sent.run_state == RunState::NotRun {
        next.report_not_run(ticket);
    }
}

fn refuse(next: &mut World, job: Job, reason: RefusalReason, fault: Fault) {
    executor_of(next, job.ticket).refuse(job, reason, fault);
    next.report_not_run(job.ticket);
}

fn try_dispatch(next: &mut World, job: Job, fault: Fault) {
    let executor = executor_of(next, job.ticket);
    if executor.may_dispatch(job, fault) {
        let late = job.ticket.expires_us <= executor.now_us;
        executor.set_stage(job, Stage::Allowed);
        next.history.late_dispatch |= late;
    } else if job.stage == Stage::Queued {
        refuse(next, job, RefusalReason::TicketExpired, fault);
    }
}
