//! Crowds of clients that keep to no limit, against real node processes.
//!
//! The tests check what does not depend on the machine's speed: processes live, memory and open
//! descriptors stay within the limits of the settings, and ordinary requests are answered. They run
//! one at a time.

#[allow(dead_code, reason = "shared with other test programs")]
#[path = "../host_processes/addresses.rs"]
mod addresses;
#[allow(dead_code, reason = "shared with other test programs")]
#[path = "../host_processes/callers.rs"]
mod callers;
mod crowd;
#[path = "../support/eventually.rs"]
mod eventually;
mod forms;
mod hosts;
#[path = "../support/loopback.rs"]
mod loopback;
#[allow(dead_code, reason = "shared with other test programs")]
#[path = "../host_processes/operator.rs"]
mod operator;
#[allow(dead_code, reason = "shared with other test programs")]
#[path = "../support/program.rs"]
mod program;
#[allow(dead_code, reason = "shared with other test programs")]
#[path = "../host_processes/site.rs"]
mod site;
#[allow(dead_code, reason = "shared with other test programs")]
#[path = "../host_processes/system.rs"]
mod system;
