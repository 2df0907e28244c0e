//! Command line of bronzelock.

fn main() {}
