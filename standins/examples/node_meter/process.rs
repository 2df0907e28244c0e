//! Processor time and memory of a process as the kernel counts them.

use std::io;

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_S: f64 = 100.0;
/// Fields of `/proc/PID/stat` after the command's name that hold user and system time.
const USER_TICKS_FIELD: usize = 11;
const SYSTEM_TICKS_FIELD: usize = 12;

/// Processor time of a process since its start, in s.
pub fn cpu_s(pid: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| {
        fields
            .get(index)
            .and_then(|field| field.parse::<u64>().ok())
    };
    let user = ticks(USER_TICKS_FIELD);
    let system = ticks(SYSTEM_TICKS_FIELD);
    let total = user.zip(system).map(|(user, system)| user + system);
    let total = total.ok_or_else(|| io::Error::other(format!("stat of {pid} is unreadable")))?;
    Ok(total as f64 / TICKS_PER_S)
}

/// Resident memory of a process, in KiB.
pub fn resident_kib(pid: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let field = line.and_then(|rest| rest.split_whitespace().next());
    let kib = field.and_then(|field| field.parse().ok());
    kib.ok_or_else(|| io::Error::other(format!("status of {pid} is unreadable")))
}

/// Load average of the machine over one minute.
pub fn load_average() -> io::Result<String> {
    let text = std::fs::read_to_string("/proc/loadavg")?;
    Ok(text.split_whitespace().next().unwrap_or("?").to_owned())
}
