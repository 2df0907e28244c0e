//! Group membership and failure detection with SWIM (Das, Gupta, Motivala 2002).
//!
//! Uses SWIM's suspicion mechanism; revisions are its incarnation numbers. Membership only guides
//! routing; no guarantee depends on it. The load of each node is constant: one probe per period,
//! and gossip within a byte budget. See `docs/design/membership.md`.

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
