//! Which nodes of an availability zone read the log for the others.
//!
//! Highest random weight (Thaler, Ravishankar 1998): each node ranks all live ones by a hash of
//! their names. Nodes that see the same members choose the same readers; where views differ, a
//! few more or fewer read, which is harmless.

use crate::model::names::ServerName;

fn weight(server: &ServerName) -> [u8; 32] {
    *blake3::hash(server.as_str().as_bytes()).as_bytes()
}

/// Whether `own` is among the `readers_max` live nodes of the highest weight.
pub fn is_reader<'a>(
    own: &ServerName,
    others: impl Iterator<Item = &'a ServerName>,
    readers_max: usize,
) -> bool {
    let own_weight = weight(own);
    let heavier = others.filter(|other| weight(other) > own_weight).count();
    heavier < readers_max
}
