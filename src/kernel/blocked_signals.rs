//! Holds back the stop signals of a process until their handlers are installed.

use std::io::Error;
use std::mem::MaybeUninit;
use std::ptr;

/// Signals that a starting process would miss, or be ended by.
const SIGNALS: [libc::c_int; 3] = [libc::SIGTERM, libc::SIGINT, libc::SIGHUP];

/// Blocks the signals on the current thread, and on those that it starts, until it is dropped.
///
/// A signal that arrives meanwhile is delivered then.
pub struct BlockedSignals {
    previous: libc::sigset_t,
}

impl std::fmt::Debug for BlockedSignals {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("BlockedSignals").finish_non_exhaustive()
    }
}

impl BlockedSignals {
    /// Blocks the signals.
    ///
    /// # Errors
    /// The system's error if the signal mask cannot be changed.
    pub fn block() -> std::io::Result<Self> {
        let mut blocked = MaybeUninit::uninit();
        let mut previous = MaybeUninit::uninit();
        // SAFETY: `sigemptyset` initializes the set, and `sigaddset` gets only valid signal numbers.
        let blocked = unsafe {
            libc::sigemptyset(blocked.as_mut_ptr());
            for signal in SIGNALS {
                libc::sigaddset(blocked.as_mut_ptr(), signal);
            }
            blocked.assume_init()
        };
        // SAFETY: both pointers are valid, and `previous` is written to if the call succeeds.
        let error = unsafe {
            libc::pthread_sigmask(libc::SIG_BLOCK, &raw const blocked, previous.as_mut_ptr())
        };
        if error != 0 {
            return Err(Error::from_raw_os_error(error));
        }
        Ok(Self {
            // SAFETY: the call has succeeded.
            previous: unsafe { previous.assume_init() },
        })
    }
}

impl Drop for BlockedSignals {
    fn drop(&mut self) {
        // SAFETY: the set is that of an earlier call, and no previous set is asked for.
        let error = unsafe {
            libc::pthread_sigmask(libc::SIG_SETMASK, &raw const self.previous, ptr::null_mut())
        };
        if error != 0 {
            let error = Error::from_raw_os_error(error);
            log::error!("signals: failed to restore the signal mask: {error}");
        }
    }
}
