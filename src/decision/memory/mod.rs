//! Who gets the memory of a process: its split by purpose, and what gives way when it runs short.

mod give_way;
mod places;
mod progress;
mod split;

pub use give_way::{Holder, choose_holders};
pub use places::{Activity, choose_connection};
pub use progress::{Progress, STALLED_AFTER_US};
pub use split::{BASE_BYTES, CONNECTION_BYTES, MemorySplit};
