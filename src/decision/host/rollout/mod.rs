//! Decisions of a roll-out: how many requests a version on trial gets, whether it is bad, and when
//! it is completed or rolled back.

pub mod decider;
pub mod evidence;
pub mod exposure;
pub mod phase;
pub mod table;
pub mod trial;
pub mod verdict;
