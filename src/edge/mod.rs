//! What touches the outside: sockets, codecs and clocks.

pub mod gossip_codec;
mod gossip_wire;
