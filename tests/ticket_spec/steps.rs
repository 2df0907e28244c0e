//! Steps that a state allows and what each does.

use bronzelock::decision::ticket::before_executor;
use bronzelock::model::reasons::{Refusal, RefusalReason, RunState};

use super::executor::{Executor, Job, LIFETIME_US, Reply, Stage};
use super::fault::Fault;
use super::message::{ExecutorIndex, Message, TicketId};
use super::world::World;

const ENTRY_NODES: [usize; 2] = [0, 1];

/// One event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The caller asks for a ticket.
    Ask { executor: ExecutorIndex },
    /// The caller sends its request, first or again.
    Send { entry_node: usize },
    /// A message arrives; a doubled one stays on its way.
    Deliver { message: Message, doubled: bool },
    /// An entry node refuses a request since it cannot reach the executor.
    EntryNodeRefuses { message: Message },
    /// The gate refuses a request that it has not claimed yet.
    RefuseUnclaimed { message: Message },
    /// The gate drops a queued request whose deadline lapsed.
    RefuseQueued { job: Job },
    /// The executor asks its table whether it may dispatch, for the first time or again.
    AskTable { job: Job },
    /// The first byte leaves for the backend server, which runs the request.
    FirstByte { job: Job },
    /// The backend server refuses the request as not run.
    Shed { job: Job },
    /// The backend server answers.
    Answer { job: Job },
    /// The connection to the backend server breaks.
    Lose { job: Job },
    /// The executor's timer drops what has expired.
    Expire { executor: ExecutorIndex },
    /// The executor loses its memory and starts anew.
    Crash { executor: ExecutorIndex },
    /// The executor stands still beyond the lifetime of every ticket.
    Pause { executor: ExecutorIndex },
}

/// Lists the steps that a state allows.
pub fn enabled(world: &World, fault: Fault) -> Vec<Step> {
    let mut steps = caller_steps(world, fault);
    for message in &world.network {
        steps.extend(message_steps(world, *message, fault));
    }
    for executor in &world.executors {
        steps.extend(executor.jobs.iter().flat_map(|job| job_steps(*job)));
        steps.extend(process_steps(world, executor));
    }
    steps
}

fn caller_steps(world: &World, fault: Fault) -> Vec<Step> {
    let mut steps = Vec::new();
    let may_ask = world.caller.ticket.is_none() || fault == Fault::CallerDropsTicket;
    if may_ask && world.left.asks > 0 {
        steps.extend([Step::Ask { executor: 0 }, Step::Ask { executor: 1 }]);
    }
    if world.caller.ticket.is_some() && world.left.sends > 0 {
        steps.extend(ENTRY_NODES.map(|entry_node| Step::Send { entry_node }));
    }
    steps
}

fn message_steps(world: &World, message: Message, fault: Fault) -> Vec<Step> {
    let mut steps = vec![Step::Deliver {
        message,
        doubled: false,
    }];
    if world.left.doubles > 0 {
        steps.push(Step::Deliver {
            message,
            doubled: true,
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
        Stage::Queued => vec![Step::RefuseQueued { job }, Step::AskTable { job }],
        Stage::Allowed => vec![Step::FirstByte { job }, Step::Shed { job }],
        Stage::Running => vec![
            Step::AskTable { job },
            Step::Answer { job },
            Step::Lose { job },
        ],
    }
}

fn process_steps(world: &World, executor: &Executor) -> Vec<Step> {
    let index = executor.index;
    let mut steps = Vec::new();
    if executor
        .table
        .next_expiry_us()
        .is_some_and(|expiry_us| expiry_us <= executor.now_us)
    {
        steps.push(Step::Expire { executor: index });
    }
    if world.left.crashes > 0 {
        steps.push(Step::Crash { executor: index });
    }
    if world.left.pauses > 0 {
        steps.push(Step::Pause { executor: index });
    }
    steps
}

/// State after a step.
pub fn take(world: &World, step: Step, fault: Fault) -> World {
    let mut next = world.clone();
    match step {
        Step::Ask { executor } => {
            next.left.asks -= 1;
            next.send(Message::Ask { executor });
        }
        Step::Send { entry_node } => send(&mut next, entry_node),
        Step::Deliver { message, doubled } => {
            if doubled {
                next.left.doubles -= 1;
            } else {
                remove(&mut next, message);
            }
            deliver(&mut next, message, fault);
        }
        Step::EntryNodeRefuses { message } => entry_node_refuses(&mut next, message, fault),
        Step::RefuseUnclaimed { message } => {
            remove(&mut next, message);
            if let Message::Request { ticket, .. } = message {
                next.say_not_run(ticket);
            }
        }
        Step::RefuseQueued { job } => refuse(&mut next, job, RefusalReason::DeadlineLapsed, fault),
        Step::Shed { job } => refuse(&mut next, job, RefusalReason::ServerShed, fault),
        Step::AskTable { job } => ask_table(&mut next, job, fault),
        Step::FirstByte { job } => {
            next.history.runs.push(job.ticket);
            executor(&mut next, job.ticket).set_stage(job, Stage::Running);
        }
        Step::Answer { job } => executor(&mut next, job.ticket).answer(job, fault),
        Step::Lose { job } if fault == Fault::RetryAfterDispatch => {
            executor(&mut next, job.ticket).set_stage(job, Stage::Allowed);
        }
        Step::Lose { job } => executor(&mut next, job.ticket).lose(job),
        Step::Expire { executor } => {
            let now_us = next.executors[executor].now_us;
            next.executors[executor].table.expire(now_us);
        }
        Step::Crash { executor } => {
            next.left.crashes -= 1;
            let old = &next.executors[executor];
            next.executors[executor] = Executor::new(executor, old.incarnation + 1, old.now_us);
        }
        Step::Pause { executor } => {
            next.left.pauses -= 1;
            next.executors[executor].now_us += LIFETIME_US;
        }
    }
    next
}

fn send(next: &mut World, entry_node: usize) {
    if let Some(ticket) = next.caller.ticket {
        next.left.sends -= 1;
        next.send(Message::Request { entry_node, ticket });
    }
}

fn remove(next: &mut World, message: Message) {
    if let Ok(position) = next.network.binary_search(&message) {
        next.network.remove(position);
    }
}

fn executor(next: &mut World, ticket: TicketId) -> &mut Executor {
    &mut next.executors[ticket.executor]
}

fn deliver(next: &mut World, message: Message, fault: Fault) {
    match message {
        Message::Ask { executor } => {
            if let Some(ticket) = next.executors[executor].issue() {
                next.send(Message::Grant { ticket });
            }
        }
        Message::Grant { ticket } => {
            if next.caller.ticket.is_none() || fault == Fault::CallerDropsTicket {
                next.caller.ticket = Some(ticket);
            }
        }
        Message::Request { entry_node, ticket } => {
            let reply = executor(next, ticket).receive(ticket, fault);
            pass_back(next, entry_node, ticket, reply, fault);
        }
        Message::NotRun { ticket } => {
            if next.caller.ticket == Some(ticket) {
                next.caller.ticket = None;
            }
        }
    }
}

fn pass_back(next: &mut World, entry_node: usize, ticket: TicketId, reply: Reply, fault: Fault) {
    match reply {
        Reply::Nothing | Reply::OwnAnswer => {}
        Reply::CrossedAnswer => next.history.crossed_answer = true,
        Reply::NotRun if fault == Fault::EntryNodeTakesFreshTicket => {
            let other = &mut next.executors[1 - ticket.executor];
            if let Some(ticket) = other.issue() {
                next.send(Message::Request { entry_node, ticket });
            }
            next.say_not_run(ticket);
        }
        Reply::NotRun => next.say_not_run(ticket),
    }
}

fn entry_node_refuses(next: &mut World, message: Message, fault: Fault) {
    remove(next, message);
    let Message::Request { ticket, .. } = message else {
        return;
    };
    let refusal = Refusal {
        reason: RefusalReason::PeerUnreachable,
        run_state: RunState::NotRun,
        retry_after_ms: None,
    };
    let said = match fault {
        Fault::EntryNodeClaimsNotRun => refusal,
        _ => before_executor(refusal),
    };
    if said.run_state == RunState::NotRun {
        next.say_not_run(ticket);
    }
}

fn refuse(next: &mut World, job: Job, reason: RefusalReason, fault: Fault) {
    executor(next, job.ticket).refuse(job, reason, fault);
    next.say_not_run(job.ticket);
}

fn ask_table(next: &mut World, job: Job, fault: Fault) {
    let executor = executor(next, job.ticket);
    if executor.may_dispatch(job, fault) {
        let late = job.ticket.expires_us <= executor.now_us;
        executor.set_stage(job, Stage::Allowed);
        next.history.late_dispatch |= late;
    } else if job.stage == Stage::Queued {
        refuse(next, job, RefusalReason::TicketExpired, fault);
    }
}
