//! Selects the nodes of an availability zone that read the log for the others.
//!
//! Uses rendezvous hashing (highest random weight; Thaler, Ravishankar 1998): each node ranks all
//! live nodes by a hash of their names. Nodes with the same view of the membership select the same
//! readers. Where views differ, slightly more or fewer nodes read the log, which is harmless.

use crate::model::names::ServerName;

fn weight(server: &ServerName) -> [u8; 32] {
    *blake3::hash(server.as_str().as_bytes()).as_bytes()
}

/// Whether `own` is among the `readers_max` live nodes with the highest weights.
pub fn is_reader<'a>(
    own: &ServerName,
    others: impl Iterator<Item = &'a ServerName>,
    readers_max: usize,
) -> bool {
    let own_weight = weight(own);
    let heavier = others.filter(|other| weight(other) > own_weight).count();
    heavier < readers_max
}
