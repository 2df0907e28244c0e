//! Loopback addresses of one host; those that others reach lead through proxies.

use std::net::{IpAddr, SocketAddr};

use crate::loopback::unused_address;

const CALLER_PORT: u16 = 7_201;
const PEER_PORT: u16 = 7_202;
const READY_PORT: u16 = 7_203;
const ANNOUNCEMENT_PORT: u16 = 7_204;
/// UDP port of load reports.
pub const SHARED_PORT: u16 = 7_205;
const SERVER_PORT: u16 = 7_206;
const STORE_PORT: u16 = 7_207;

/// Where the parts of one host listen.
#[derive(Debug, Clone, Copy)]
pub struct HostAddresses {
    /// Address that other hosts know.
    pub public: IpAddr,
    /// Address behind the proxies.
    inner: IpAddr,
}

impl HostAddresses {
    /// Takes addresses that no other host uses.
    pub fn unused() -> Self {
        Self {
            public: unused_address(),
            inner: unused_address(),
        }
    }

    /// Callers' HTTP.
    pub fn callers(self) -> SocketAddr {
        SocketAddr::new(self.public, CALLER_PORT)
    }

    /// Requests of other nodes, as these know it.
    pub fn peers(self) -> SocketAddr {
        SocketAddr::new(self.public, PEER_PORT)
    }

    /// Requests of other nodes, behind the proxy.
    pub fn inner_peers(self) -> SocketAddr {
        SocketAddr::new(self.inner, PEER_PORT)
    }

    /// Whether callers may come.
    pub fn ready(self) -> SocketAddr {
        SocketAddr::new(self.public, READY_PORT)
    }

    /// Announcements of the backend server.
    pub fn announcements(self) -> SocketAddr {
        SocketAddr::new(self.public, ANNOUNCEMENT_PORT)
    }

    /// The backend server, as the node knows it.
    pub fn server(self) -> SocketAddr {
        SocketAddr::new(self.public, SERVER_PORT)
    }

    /// The backend server, behind the proxy.
    pub fn inner_server(self) -> SocketAddr {
        SocketAddr::new(self.inner, SERVER_PORT)
    }

    /// The log service, as the node knows it.
    pub fn store(self) -> SocketAddr {
        SocketAddr::new(self.public, STORE_PORT)
    }
}
