//! Stand-ins for the systems around bronzelock.
