//! Bad input: a clear refusal, its counter, no panic, bounded memory.

mod caller_body;
mod caller_head;
mod counters;
mod gossip;
mod peer;
mod settings;
mod support;
mod ticket;
