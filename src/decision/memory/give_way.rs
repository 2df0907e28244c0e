//! Which transfers give their memory up for another one.

use super::progress::Progress;

/// A transfer that holds memory.
#[derive(Debug, Clone, Copy)]
pub struct Holder<I> {
    /// Identifier of the transfer.
    pub id: I,
    /// Memory that it holds, in bytes.
    pub held_bytes: usize,
    /// How it gets on.
    pub progress: Progress,
}

/// Chooses stalled transfers that hold `needed_bytes` together, those without progress for the
/// longest time first; none if all stalled ones hold less.
pub fn choose_holders<I: Copy>(
    holders: impl Iterator<Item = Holder<I>>,
    needed_bytes: usize,
    now_us: u64,
) -> Vec<I> {
    let mut stalled: Vec<_> = holders
        .filter(|holder| holder.held_bytes > 0 && holder.progress.is_stalled(now_us))
        .collect();
    stalled.sort_by_key(|holder| std::cmp::Reverse(holder.progress.stalled_us(now_us)));
    let mut chosen = Vec::new();
    let mut freed_bytes = 0;
    for holder in stalled {
        if freed_bytes >= needed_bytes {
            break;
        }
        freed_bytes += holder.held_bytes;
        chosen.push(holder.id);
    }
    if freed_bytes < needed_bytes {
        chosen.clear();
    }
    chosen
}
