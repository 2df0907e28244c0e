//! Names of HTTP headers.

/// Branch that a request belongs to.
pub const BRANCH: &str = "bronzelock-branch";
/// Time left to answer, in ms.
pub const TIMEOUT_MS: &str = "bronzelock-timeout-ms";
/// Identifier of a request, 32 hexadecimal digits.
pub const REQUEST_ID: &str = "bronzelock-request-id";
/// Ticket of a non-idempotent request; on answers, one for the next request.
pub const TICKET: &str = "bronzelock-ticket";
/// `0` forbids retries in layers below (on requests) or above (on answers).
pub const RETRY_ALLOWANCE: &str = "bronzelock-retry-allowance";
/// The one backend server that a request must go to.
pub const SERVER: &str = "bronzelock-server";
/// Name of the backend server that answered.
pub const SERVED_BY: &str = "bronzelock-served-by";
/// Backend servers tried for the request.
pub const HOPS: &str = "bronzelock-hops";
/// A backend server's word that it shed the request without running it.
pub const NOT_RUN: &str = "bronzelock-not-run";
/// Key by which a caller repeats a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Urgency that a caller asks for (RFC 9218).
pub const PRIORITY: &str = "priority";

/// Headers that concern one connection and are never forwarded (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "proxy-connection",
];

/// Headers that each hop sets itself.
const HOP_HEADERS: [&str; 10] = [
    "host",
    "content-length",
    "expect",
    BRANCH,
    TIMEOUT_MS,
    REQUEST_ID,
    TICKET,
    SERVER,
    RETRY_ALLOWANCE,
    NOT_RUN,
];

/// Whether a header is passed on between caller and backend server.
pub fn is_forwarded(name: &str) -> bool {
    !CONNECTION_HEADERS.contains(&name) && !HOP_HEADERS.contains(&name)
}
