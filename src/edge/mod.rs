//! Network I/O: sockets, protocols and codecs.

pub mod answer_transport;
pub mod connections;
pub mod disconnect_hook;
pub mod gossip_codec;
mod gossip_wire;
pub mod handshake;
pub mod http1;
pub mod http_exchange;
pub mod http_server;
pub mod listen;
pub mod log_client;
pub mod peer_client;
pub mod peer_drain;
pub mod peer_rpc;
pub mod peer_server;
pub mod receipt_stream;
pub mod send_error;
pub mod server_pool;
pub mod shared_stream;
pub mod whole_response;
pub mod wire;
