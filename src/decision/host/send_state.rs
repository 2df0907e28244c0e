//! Whether a request was sent to its backend server, or withdrawn before.

/// State of one request up to its first byte.
///
/// Of "sent" and "withdrawn" the one that comes first holds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SendState {
    is_sent: bool,
    is_abandoned: bool,
}

impl SendState {
    /// Records that the first byte is about to be written; returns false if it must not be.
    pub fn begin_send(&mut self) -> bool {
        self.is_sent |= !self.is_abandoned;
        self.is_sent
    }

    /// Records that no byte was written after all, since the connection had been closed.
    pub fn nothing_written(&mut self) {
        self.is_sent = false;
    }

    /// Records that nobody awaits the request any more.
    pub fn abandon(&mut self) {
        self.is_abandoned = true;
    }

    /// Whether the request is not sent and never will be.
    pub fn is_withdrawn(&self) -> bool {
        self.is_abandoned && !self.is_sent
    }
}
