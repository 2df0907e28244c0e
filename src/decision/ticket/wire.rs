//! Binary encoding of a ticket's payload.

use serde::{Deserialize, Serialize};

use crate::model::ids::Incarnation;
use crate::model::names::{NAME_BYTES_MAX, ServerName, ServiceName};

use super::token::{Ticket, TicketError};

/// First byte of the payload; increased with each incompatible format.
const FORMAT_VERSION: u8 = 1;

/// Longest encoded 64-bit variable-length integer, in bytes.
const VARINT_BYTES_MAX: usize = 10;

/// Longest payload, in bytes: version, two names with a length byte each, three integers.
pub(super) const PAYLOAD_BYTES_MAX: usize = 1 + 2 * (1 + NAME_BYTES_MAX) + 3 * VARINT_BYTES_MAX;

#[derive(Serialize, Deserialize)]
struct TicketWire {
    executor: ServerName,
    incarnation: u64,
    service: ServiceName,
    serial: u64,
    expires_us: u64,
}

impl From<&Ticket> for TicketWire {
    fn from(ticket: &Ticket) -> Self {
        Self {
            executor: ticket.executor.clone(),
            incarnation: ticket.incarnation.0,
            service: ticket.service.clone(),
            serial: ticket.serial,
            expires_us: ticket.expires_us,
        }
    }
}

impl From<TicketWire> for Ticket {
    fn from(wire: TicketWire) -> Self {
        Self {
            executor: wire.executor,
            incarnation: Incarnation(wire.incarnation),
            service: wire.service,
            serial: wire.serial,
            expires_us: wire.expires_us,
        }
    }
}

/// Encodes a ticket's payload, version byte first.
pub(super) fn to_bytes(ticket: &Ticket) -> Vec<u8> {
    postcard::to_extend(&TicketWire::from(ticket), vec![FORMAT_VERSION])
        .expect("names and integers can always be encoded")
}

/// Decodes a ticket's payload; trailing bytes are an error.
pub(super) fn from_bytes(bytes: &[u8]) -> Result<Ticket, TicketError> {
    let (version, fields) = bytes.split_first().ok_or(TicketError::Malformed)?;
    if *version != FORMAT_VERSION {
        return Err(TicketError::UnknownVersion(*version));
    }
    match postcard::take_from_bytes::<TicketWire>(fields) {
        Ok((wire, [])) => Ok(wire.into()),
        Ok(_) | Err(_) => Err(TicketError::Malformed),
    }
}
