//! Which nodes are there: SWIM with suspicion and revisions (Das, Gupta, Motivala 2002).
//!
//! Membership steers routing only; no promise rests on it. Every node sends a constant load: one
//! probe a period, and gossip within a byte budget. See `docs/design/membership.md`.

mod digest;
mod events;
mod machine;
mod member;
mod message;
mod packing;
mod prober;
mod receive;
mod send;
mod settings;
mod sync;
mod table;
mod tick;
mod update_queue;

pub use events::{MembershipAction, MembershipEvent};
pub use machine::Membership;
pub use member::{Member, MemberState};
pub use message::{BUCKETS, Body, DATAGRAM_BYTES_MAX, Message};
pub use settings::MembershipSettings;
