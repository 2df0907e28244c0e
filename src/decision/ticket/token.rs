//! Tickets and their authenticated text encoding.

use blake3::{Hash, OUT_LEN};

use crate::model::ids::Incarnation;
use crate::model::names::{ServerName, ServiceName};

use super::key::TicketKey;
use super::wire::{self, PAYLOAD_BYTES_MAX};

/// Longest encoded ticket, in bytes: payload and authentication code in hexadecimal.
pub const TICKET_TEXT_BYTES_MAX: usize = 2 * (PAYLOAD_BYTES_MAX + OUT_LEN);

/// Permission to run one non-idempotent request on one incarnation of one executor.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ticket {
    /// Node that issued the ticket, the only one that may run its request.
    pub executor: ServerName,
    /// Incarnation of that node's process.
    pub incarnation: Incarnation,
    /// Service that the request must be for.
    pub service: ServiceName,
    /// Serial number of the ticket within the incarnation.
    pub serial: u64,
    /// End of the ticket's lifetime, in µs of the executor's monotonic clock.
    pub expires_us: u64,
}

/// Why a text is not a ticket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, displaydoc::Display)]
pub enum TicketError {
    /// ticket has {0} bytes, more than the longest ticket
    TooLong(usize),
    /// ticket is not an even number of lowercase hexadecimal digits
    NotHex,
    /// ticket is shorter than its authentication code
    TooShort,
    /// ticket's authentication code does not match
    AuthenticationFailed,
    /// ticket's payload is malformed
    Malformed,
    /// ticket has format version {0}, which this node does not support
    UnknownVersion(u8),
}

impl std::error::Error for TicketError {}

impl Ticket {
    /// Encodes the ticket for the `Bronzelock-Ticket` header, authenticated with the key.
    pub fn encode(&self, key: &TicketKey) -> String {
        let mut bytes = wire::to_bytes(self);
        let mac = key.mac(&bytes);
        bytes.extend_from_slice(mac.as_bytes());
        encode_hex(&bytes)
    }

    /// Decodes a ticket and verifies its authentication code in constant time.
    ///
    /// # Errors
    /// [`TicketError`] when the text is too long, malformed or authenticated with another key.
    pub fn decode(text: &str, key: &TicketKey) -> Result<Self, TicketError> {
        if text.len() > TICKET_TEXT_BYTES_MAX {
            return Err(TicketError::TooLong(text.len()));
        }
        let bytes = decode_hex(text).ok_or(TicketError::NotHex)?;
        let (payload, mac) = bytes
            .split_last_chunk::<OUT_LEN>()
            .ok_or(TicketError::TooShort)?;
        if key.mac(payload) != Hash::from_bytes(*mac) {
            return Err(TicketError::AuthenticationFailed);
        }
        wire::from_bytes(payload)
    }
}

fn encode_hex(bytes: &[u8]) -> String {
    use std::fmt::Write as _;

    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        write!(text, "{byte:02x}").expect("writing to a String cannot fail");
    }
    text
}

fn decode_hex(text: &str) -> Option<Vec<u8>> {
    let (pairs, remainder) = text.as_bytes().as_chunks::<2>();
    if !remainder.is_empty() {
        return None;
    }
    pairs
        .iter()
        .map(|[high, low]| Some(hex_digit(*high)? << 4 | hex_digit(*low)?))
        .collect()
}

fn hex_digit(character: u8) -> Option<u8> {
    match character {
        b'0'..=b'9' => Some(character - b'0'),
        b'a'..=b'f' => Some(character - b'a' + 10),
        _ => None,
    }
}
